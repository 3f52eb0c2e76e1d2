package escrow

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/revision"
)

// The totals of a busy account may change before each of a VM's transactions
// arrives, for as long as the VM runs.
var _ = Describe("Conflicts in a row over an account's total", func() {
	It("delay the next change of the total by a bounded number of transactions", func() {
		now := time.Unix(1_000, 0)
		s := &store{totals: map[string]VersionedTotal{}, allocations: map[string]VersionedAllocations{}}
		b := New("vm", "vm-1", "10.0.0.1:1", Policy{ReportInterval: time.Millisecond})
		b.SetHomes(8, true)
		b.Configure("acme", 1_000_000, true)
		b.SetSnapshot(s.snapshot())
		b.TakeOver(VMAllocations{}, revision.Version{}, 0)
		sinceChange := 0
		for range 2_000 {
			now = now.Add(10 * time.Millisecond)
			t := b.Plan(now)
			if len(t.Totals) == 0 {
				sinceChange++
				Expect(sinceChange).To(BeNumerically("<=", 1<<maxConflictDoublings))
				b.Applied(t, s.apply("vm", t).Version)
				continue
			}
			sinceChange = 0
			s.version.Number++ // another VM has changed the total meanwhile
			s.totals["acme"] = VersionedTotal{Version: s.version}
			Expect(b.Conflict(t, s.apply("vm", t).Current)).To(BeTrue())
		}
	})
})
