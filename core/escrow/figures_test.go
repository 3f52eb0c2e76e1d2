package escrow

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The figures of an account for operators", func() {
	It("count as stranded what the VMs of old rows may have spent", func() {
		row := func(storeMs int64) VersionedAllocations {
			return VersionedAllocations{VMAllocations: VMAllocations{StoreMs: storeMs, Accounts: map[string]Allocation{
				"acme": {Granted: 100, Spent: 20, Committed: 25, OfflineLimit: 30},
			}}}
		}
		s := Snapshot{
			Totals:      map[string]VersionedTotal{"acme": {Total: Total{Drawn: 300}}},
			Allocations: map[string]VersionedAllocations{"old": row(0), "new": row(strandedRowAge.Milliseconds())},
		}
		Expect(s.figures("acme", 1_000, strandedRowAge.Milliseconds())).To(Equal(Figures{Undrawn: 700, Free: 150, Movable: 90, Stranded: 35}))
	})
})
