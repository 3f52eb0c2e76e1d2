package revision

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "revision")
}

var _ = Describe("Version", func() {
	for _, c := range []struct {
		name  string
		a, b  Version
		newer bool // a supersedes b
	}{
		{"a higher number of the same era", Version{1, 8}, Version{1, 7}, true},
		{"the same version", Version{1, 7}, Version{1, 7}, false},
		{"a lower number of the same era", Version{1, 6}, Version{1, 7}, false},
		// Guards against numbers of two eras that are compared.
		{"a lower number of a later era", Version{2, 3}, Version{1, 7}, true},
		{"a higher number of an earlier era", Version{1, 9}, Version{2, 7}, false},
		{"the number of a lost version that was given out again", Version{2, 7}, Version{1, 7}, true},
		{"a store that states no era", Version{0, 8}, Version{0, 7}, true},
		{"any version, if there was none", Version{0, 1}, Version{}, true},
	} {
		It("supersedes only what is older: "+c.name, func() {
			Expect(c.a.NewerThan(c.b)).To(Equal(c.newer))
		})
	}

	It("is continued by responses of its own era only", func() {
		Expect(Version{2, 7}.Continues(2)).To(Succeed())
		Expect(Version{2, 7}.Continues(3)).To(MatchError(&StepBackError{From: 2, To: 3}))
		Expect(Version{2, 7}.Continues(0)).To(MatchError(&StepBackError{From: 2, To: 0}))
	})
})

var _ = Describe("Version between VMs", func() {
	for _, c := range []struct {
		version Version
		encoded string
	}{{Version{0, 7}, "7"}, {Version{2, 7}, `{"era":2,"number":7}`}} {
		It("is understood by VMs of all versions of the program as far as the store states no era: "+c.encoded, func() {
			raw, err := json.Marshal(c.version)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(raw)).To(Equal(c.encoded))
			var decoded Version
			Expect(json.Unmarshal(raw, &decoded)).To(Succeed())
			Expect(decoded).To(Equal(c.version))
		})
	}

	It("is an error if it is malformed", func() {
		var v Version
		Expect(json.Unmarshal([]byte(`"seven"`), &v)).NotTo(Succeed())
	})
})

var _ = Describe("Tracker", func() {
	type step struct {
		era         Era
		steppedBack bool
		err         error
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"a store that states no era never steps back", []step{{0, false, nil}, {0, false, nil}}},
		{"the first response is no step back", []step{{4, false, nil}, {4, false, nil}}},
		{"each higher era is one", []step{{1, false, nil}, {2, true, nil}, {2, false, nil}, {3, true, nil}}},
		{"an era may be missed", []step{{1, false, nil}, {3, true, nil}}},
		{"an older response that comes late is outdated", []step{{1, false, nil}, {2, true, nil}, {1, false, &OutdatedError{1, 2}}, {2, false, nil}}},
		{"a response without an era, among others, is outdated", []step{{1, false, nil}, {0, false, &OutdatedError{0, 1}}, {1, false, nil}}},
		{"an era that a store begins to state is a step back", []step{{0, false, nil}, {1, true, nil}}},
	} {
		It(c.name, func() {
			t := &Tracker{}
			for _, s := range c.steps {
				back, err := t.Observe(s.era)
				Expect(back).To(Equal(s.steppedBack))
				if s.err == nil {
					Expect(err).NotTo(HaveOccurred())
				} else {
					Expect(err).To(MatchError(s.err))
				}
			}
		})
	}
})
