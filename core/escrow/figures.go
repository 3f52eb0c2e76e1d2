package escrow

import "time"

// strandedRowAge is the time since the last write of a row after which what its VM
// may have spent since counts as stranded.
const strandedRowAge = 30 * time.Second

// Figures are an account's tokens as last read from the store, for operators.
type Figures struct {
	Undrawn  int64 // drawn by no VM
	Free     int64 // free at VMs
	Movable  int64 // of the free ones, those that home VMs may move
	Stranded int64 // perhaps spent by VMs that have not written their rows for strandedRowAge
}

// Figures returns the figures of all accounts with a prepaid budget, by account.
func (b *Budgets) Figures(now time.Time) map[string]Figures {
	figures := map[string]Figures{}
	for name, a := range b.accounts {
		if a.limited && a.totalRead {
			figures[name] = b.snapshot.figures(name, a.prepaid, b.clock.lowerBound(now))
		}
	}
	return figures
}

// figures returns the figures of an account when the store's clock shows storeMs.
func (s Snapshot) figures(account string, prepaid, storeMs int64) Figures {
	f := Figures{Undrawn: prepaid - s.Totals[account].Total.Drawn}
	for _, row := range s.Allocations {
		allocation := row.VMAllocations.Accounts[account]
		f.Free += allocation.free()
		f.Movable += allocation.movable()
		if storeMs-row.VMAllocations.StoreMs >= strandedRowAge.Milliseconds() {
			f.Stranded += max(allocation.Granted-allocation.Spent-allocation.movable(), 0)
		}
	}
	return f
}
