package escrow

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/revision"
)

// A transaction may be sent twice when its first response is late. The response
// to the second attempt, a conflict, must not undo the transaction planned after
// it: the tokens that this one returns would count both here and in the store.
var _ = Describe("A response of the store that arrives twice", func() {
	It("does not undo the transaction that was sent after it", func() {
		now := time.Unix(1_000, 0)
		s := &store{totals: map[string]VersionedTotal{}, allocations: map[string]VersionedAllocations{}}
		b := New("vm", "vm-1", "10.0.0.1:1", Policy{ReportInterval: time.Second})
		b.SetHomes(1, true)
		b.Configure("acme", 1_000, true)
		b.SetSnapshot(s.snapshot())
		b.TakeOver(VMAllocations{}, revision.Version{}, 0)
		draw := b.Plan(now)
		out := s.apply("vm", draw)
		b.Applied(draw, out.Version)
		repeated := s.apply("vm", draw) // the second attempt fails its condition
		b.Close()
		refund := b.Plan(now)
		Expect(b.Conflict(draw, repeated.Current)).To(BeTrue())
		b.Applied(refund, s.apply("vm", refund).Version)
		Expect(s.totals["acme"].Total.Drawn).To(BeZero())
		Expect(b.Balance("acme", now).Granted).To(BeZero(), "all tokens were returned to the store")
	})
})
