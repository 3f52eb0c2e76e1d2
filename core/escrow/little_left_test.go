package escrow

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/revision"
)

// When little of a budget is left, each home VM has a part that is larger than a
// request, but a burst that is smaller. A home VM that lends writes its
// allocation first.
var _ = Describe("A budget with little left, in parts at its home VMs", func() {
	It("is lent as soon as the lender has written its allocation", func() {
		const need = 5_000
		now := time.Unix(1_000, 0)
		s := &store{totals: map[string]VersionedTotal{}, allocations: map[string]VersionedAllocations{}}
		b := New("vm", "vm-1", "10.0.0.1:1", Policy{ReportInterval: time.Second})
		b.SetHomes(8, true)
		b.Configure("acme", 160_000, true)
		b.SetSnapshot(s.snapshot())
		b.TakeOver(VMAllocations{}, revision.Version{}, 0)
		write := func() {
			t := b.Plan(now)
			b.Applied(t, s.apply("vm", t).Version)
		}
		write()
		Expect(b.Balance("acme", now).Granted).To(BeNumerically(">", need))
		Expect(b.Balance("acme", now).Available).To(BeNumerically("<", need))
		Expect(b.MayLendAfterWrite("acme", need, now)).To(BeTrue())
		b.AddWaiting("acme", need)
		Expect(b.Due(now)).To(BeTrue())
		write()
		Expect(b.MayLendAfterWrite("acme", need, now)).To(BeFalse())
		Expect(b.Lend("acme", need, need, now)).To(Equal(int64(need)))
	})
})
