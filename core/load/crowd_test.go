package load

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Crowded", func() {
	small := func(rate float64) VMLoad { return VMLoad{rate, 1_250_000} }
	large := func(rate float64) VMLoad { return VMLoad{rate, 25_000_000} }
	// Guards against requests that wait at a crowded VM until they are late while others
	// have room, and against refusals when no VM has room.
	for _, t := range []struct {
		name    string
		own     VMLoad
		others  []VMLoad
		crowded bool
	}{
		{"one client's connections at a small VM", small(290), []VMLoad{small(5), small(8), large(20)}, true},
		{"all small VMs are as busy", small(200), []VMLoad{small(190), small(210)}, false},
		{"a large VM with the requests of a large one", large(290), []VMLoad{small(10), large(200)}, false},
		{"no other VM is known", small(290), nil, false},
		{"the links of the others are not known", small(290), []VMLoad{{Rate: 1}}, false},
		{"an unlimited link", VMLoad{Rate: 290}, []VMLoad{small(1)}, false},
	} {
		It(t.name, func() { Expect(Crowded(t.own, t.others)).To(Equal(t.crowded)) })
	}
})
