package quarantine

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// longPrompt returns the features of a prompt with many parts.
func longPrompt(kind string, parts int) []Feature {
	var features []Feature
	for i := range parts {
		features = append(features, Feature(fmt.Sprintf("part:%s-%d", kind, i)))
	}
	return features
}

var _ = Describe("A report of a crash of long prompts", func() {
	// Guards against a part that is never found because there is no room for all parts.
	for _, c := range []struct {
		name   string
		known  bool // the other parts are known as sound
		shared bool // all prompts have the same other parts
		vms    int
	}{
		{"whose other parts are known as sound", true, true, 3},
		{"whose other parts are known as sound, in a large fleet", true, true, 295},
		{"that share all other parts, unknown before", false, true, 3},
		{"that share nothing else, unknown before", false, false, 3},
		{"that share nothing else, unknown before, in a large fleet", false, false, 295},
	} {
		It("names a deadly part of prompts "+c.name, func() {
			f := newTestFleet(c.vms)
			const slots, most = 8, 40
			crashes := 0
			for f.allowed(deadly) == c.vms && crashes < most {
				t := f.vms[crashes%c.vms]
				crashes++
				for slot := range slots {
					kind := "shared"
					if !c.shared {
						kind = fmt.Sprintf("own-%d-%d", crashes, slot)
					}
					prompt := longPrompt(kind, manyParts)
					if c.known {
						f.sound(t, "before", prompt...)
					}
					if slot == slots/2 {
						prompt = slices.Insert(prompt, manyParts/2, deadly)
					}
					f.crash(t, fmt.Sprintf("e%d", crashes), 1, prompt...)
				}
				Expect(totalBytes(t.incidents[Incarnation{fmt.Sprintf("e%d", crashes), 1}].reports[t.vm].Features)).To(BeNumerically("<=", maxReportBytes))
				f.settle()
			}
			Expect(f.allowed(deadly)).To(BeZero())
			if c.known || c.shared && c.vms == 3 {
				Expect(crashes).To(BeNumerically("<=", 5))
			}
			Expect(len(f.vms[0].suspects)).To(BeNumerically("<=", 2*maxSuspects))
		})
	}

	It("is completed by what another VM has reported of another crash", func() {
		f := newTestFleet(2)
		first, second := f.vms[0], f.vms[1]
		f.crash(first, "e1", 1, append(longPrompt("first", 4*manyParts), deadly)...)
		f.crash(second, "e2", 1, append(longPrompt("second", 10), deadly)...)
		f.settle()
		Expect(first.incidents[Incarnation{"e1", 1}].names(deadly)).To(BeTrue())
		Expect(f.allowed(deadly)).To(BeZero())
	})

	It("counts what it has no room for", func() {
		f := newTestFleet(1)
		f.crash(f.vms[0], "e1", 1, longPrompt("first", 4*manyParts)...)
		reported := len(f.vms[0].incidents[Incarnation{"e1", 1}].caught)
		Expect(f.vms[0].Unreported(Incarnation{"e1", 1})).To(Equal(4*manyParts - reported))
		Expect(reported).To(BeNumerically(">", 0))
	})
})
