package escrow

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("An answer of the store that comes twice", func() {
	It("does not undo the transaction that was sent after it", func() {
		now := time.Unix(1_000, 0)
		s := &store{totals: map[string]VersionedTotal{}, holdings: map[string]VersionedHolding{}}
		b := New("vm", "vm-1", "10.0.0.1:1", Policy{Report: time.Second})
		b.SetHomes(1, true)
		b.Configure("acme", 1_000, true)
		b.Observe(s.snapshot())
		b.Start(Holding{}, 0, 0)
		draw := b.Plan(now)
		out := s.apply("vm", draw)
		b.Applied(draw, out.Version)
		again := s.apply("vm", draw) // a second send of it: its condition fails
		b.Close()
		giveBack := b.Plan(now)
		Expect(b.Conflict(draw, again.Current)).To(BeTrue())
		b.Applied(giveBack, s.apply("vm", giveBack).Version)
		Expect(s.totals["acme"].Total.Drawn).To(BeZero())
		Expect(b.Balance("acme", now).Granted).To(BeZero(), "the store has them back")
	})
})
