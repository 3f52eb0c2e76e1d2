package evacuation

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "evacuation")
}

var _ = Describe("Set", func() {
	read := func(version int64, domains ...string) Change {
		return Change{Version: version, Complete: true, Started: domains}
	}
	for _, c := range []struct {
		name    string
		changes []Change
		want    []string
	}{
		{"a complete read replaces the set", []Change{read(1, "a"), read(2, "b")}, []string{"b"}},
		{"a change adds and removes", []Change{read(1, "a"), {Version: 2, Started: []string{"b"}}, {Version: 3, Ended: []string{"a"}}}, []string{"b"}},
		{"a change of another kind keeps the set", []Change{read(1, "a"), {Version: 9}}, []string{"a"}},
		// Guards against an evacuation that is taken back by what a VM knew before it.
		{"an older view of another VM is ignored", []Change{read(5, "a"), View{Version: 4}.Change()}, []string{"a"}},
		{"a newer view of another VM wins", []Change{read(5), View{Version: 6, Domains: []string{"a"}}.Change()}, []string{"a"}},
		// Guards against a watch that goes on from an older version than a view's.
		{"a change that a view has already is not applied again", []Change{read(5), read(9), {Version: 7, Started: []string{"a"}}}, []string{}},
		{"the first read counts, even at version 0", []Change{read(0, "a")}, []string{"a"}},
	} {
		It("holds what the store said last: "+c.name, func() {
			s := &Set{}
			Expect(s.View()).To(BeNil())
			for _, change := range c.changes {
				s.Apply(change)
			}
			Expect(s.View().Domains).To(HaveLen(len(c.want)))
			Expect(s.View().Domains).To(ContainElements(c.want))
		})
	}

	It("tells what has started and ended, once", func() {
		s := &Set{}
		s.Apply(read(1, "b", "a"))
		started, ended := s.Apply(read(2, "c", "b"))
		Expect(started).To(Equal([]string{"c"}))
		Expect(ended).To(Equal([]string{"a"}))
		started, ended = s.Apply(read(3, "c", "b"))
		Expect(append(started, ended...)).To(BeEmpty())
	})
})
