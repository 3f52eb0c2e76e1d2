package escrow

import (
	"sort"
	"time"
)

// Numbers of tokens, as the time in which they are spent at the VM's token rate.
const (
	// lenderKeepTime is the spending that a lender retains for its own requests.
	lenderKeepTime = 500 * time.Millisecond
	// borrowAheadTime is the spending that a VM borrows beyond its shortfall. It
	// covers many times the duration of a loan request. More would be lost to the
	// account if the VM ended, and near the end of a budget the tokens lie in
	// pieces that no request fits into.
	borrowAheadTime = 250 * time.Millisecond
)

// Lend lends tokens that may be spent now to another home VM and returns their
// number: need tokens, or want when that is at most half of the spare tokens,
// but never more than the spare ones. They count as committed at this VM.
func (b *Budgets) Lend(name string, need, want int64, now time.Time) int64 {
	a := b.accounts[name]
	if a == nil || !a.limited || b.closing {
		return 0
	}
	spare := a.available(now) - a.kept()
	loan := min(max(need, min(want, spare/2)), spare)
	if loan <= 0 {
		return 0
	}
	a.lent += loan
	b.dirty = true
	return loan
}

// kept returns the tokens that a lender retains for its own requests.
func (a *account) kept() int64 { return int64(a.tokenRate * lenderKeepTime.Seconds()) }

// MayLendAfterWrite reports whether the VM has tokens to lend that it may not
// spend yet, but may once it has written its allocation. When little of a budget
// is left, the bursts of all VMs are smaller than a request.
func (b *Budgets) MayLendAfterWrite(name string, need int64, now time.Time) bool {
	a := b.accounts[name]
	if a == nil || !a.limited || b.closing || !b.isHome {
		return false
	}
	return a.available(now)-a.kept() < need && a.granted-a.committed()-a.kept() >= need
}

// AddLoan adds tokens that another VM lent to this one.
func (b *Budgets) AddLoan(name string, tokens int64) {
	a := b.account(name)
	a.granted += tokens
	a.borrowed += tokens
	for i := range a.bounds {
		a.bounds[i].allocation.addBorrowed(tokens)
	}
	b.dirty = true
}

// addBorrowed raises a bound by borrowed tokens, which are not part of the row's
// Granted.
func (a *Allocation) addBorrowed(tokens int64) {
	a.Burst += tokens
	if a.OfflineLimit > 0 {
		a.OfflineLimit += tokens
	}
}

// Shortfall returns the shortfall of one waiting request, and the number of
// tokens to borrow for it and the requests after it.
func (b *Budgets) Shortfall(name string, tokens int64, now time.Time) (need, want int64) {
	a := b.accounts[name]
	if a == nil {
		return 0, 0
	}
	if !b.isHome {
		a.updateRate(now)
	}
	need = max(tokens-a.available(now), 0)
	return need, max(need, a.shortfall(now)) + int64(a.tokenRate*borrowAheadTime.Seconds())
}

// WaitingShortfall returns the tokens to borrow for requests that wait: need for
// the one with the given tokens, and want for all of them and the requests after
// them. Both are 0 when no request is short of tokens.
func (b *Budgets) WaitingShortfall(name string, tokens int64, now time.Time) (need, want int64) {
	a := b.accounts[name]
	if a == nil {
		return 0, 0
	}
	if need, want = b.Shortfall(name, min(tokens, a.waiting), now); need == 0 {
		return 0, 0
	}
	return need, want
}

// Lender is a VM that may have tokens to lend.
type Lender struct {
	VM      string
	Address string // IP:port
	Free    int64  // free tokens, as last read
}

// Lenders returns the other VMs that have free tokens of an account, most
// tokens first.
func (b *Budgets) Lenders(name string) []Lender {
	var lenders []Lender
	for vm, row := range b.snapshot.Allocations {
		free := row.VMAllocations.Accounts[name].free()
		if vm != b.vm && free > 0 && row.VMAllocations.Address != "" {
			lenders = append(lenders, Lender{VM: vm, Address: row.VMAllocations.Address, Free: free})
		}
	}
	sort.Slice(lenders, func(i, j int) bool { return lenders[i].Free > lenders[j].Free })
	return lenders
}
