package evacuation

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/revision"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "evacuation")
}

var _ = Describe("Set", func() {
	at := func(number int64) revision.Version { return revision.Version{Number: number} }
	read := func(version int64, domains ...string) Change {
		return Change{Version: at(version), Complete: true, Started: domains}
	}
	for _, c := range []struct {
		name    string
		changes []Change
		want    []string
	}{
		{"a complete read replaces the set", []Change{read(1, "a"), read(2, "b")}, []string{"b"}},
		{"a change adds and removes", []Change{read(1, "a"), {Version: at(2), Started: []string{"b"}}, {Version: at(3), Ended: []string{"a"}}}, []string{"b"}},
		{"a change of another kind keeps the set", []Change{read(1, "a"), {Version: at(9)}}, []string{"a"}},
		// Guards against an evacuation that is taken back by what a VM knew before it.
		{"an older view of another VM is ignored", []Change{read(5, "a"), View{Version: 4}.Change()}, []string{"a"}},
		{"a newer view of another VM wins", []Change{read(5), View{Version: 6, Domains: []string{"a"}}.Change()}, []string{"a"}},
		// Guards against a watch that goes on from an older version than a view's.
		{"a change that a view has already is not applied again", []Change{read(5), read(9), {Version: at(7), Started: []string{"a"}}}, []string{}},
		// Guards against versions of two eras that are compared.
		{"a read of a store that has stepped back wins", []Change{read(9, "a"), {Version: revision.Version{Era: 1, Number: 3}, Complete: true, Started: []string{"b"}}}, []string{"b"}},
		{"a view of the era before is ignored", []Change{{Version: revision.Version{Era: 1, Number: 3}, Complete: true, Started: []string{"b"}}, read(9, "a")}, []string{"b"}},
		// Guards against an evacuation that ends because the copy is from before its start.
		{"a read of a copy keeps what the operator has still to write again", []Change{read(9, "a"), {Version: revision.Version{Era: 1, Number: 3}, Complete: true, Restored: true, Started: []string{"b"}}}, []string{"a", "b"}},
		// Guards against an evacuation that stays for good in a store that nobody writes to.
		{"a read of the same version, once the operator has had the time to write again, counts", []Change{read(9, "a"), {Version: revision.Version{Era: 1, Number: 3}, Complete: true, Restored: true}, {Version: revision.Version{Era: 1, Number: 3}, Complete: true}}, []string{}},
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
