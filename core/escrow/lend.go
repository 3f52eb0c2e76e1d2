package escrow

import (
	"sort"
	"time"
)

// Lending.
const (
	// keepSpan is the spending that a lender keeps for itself.
	keepSpan = 500 * time.Millisecond
	// borrowSpan is the spending that a VM borrows beyond what it lacks.
	borrowSpan = time.Second
)

// Lend gives tokens to another VM, out of what may be spent now: need tokens if
// it can, at most want. They count as spent here from then on.
func (b *Book) Lend(name string, need, want int64, now time.Time) int64 {
	a := b.accounts[name]
	if a == nil || !a.limited || b.closing {
		return 0
	}
	spare := a.free(now) - int64(a.rate*keepSpan.Seconds())
	given := min(max(need, min(want, spare/2)), spare)
	if given <= 0 {
		return 0
	}
	a.lent += given
	b.dirty = true
	return given
}

// Borrowed takes tokens that another VM gave.
func (b *Book) Borrowed(name string, tokens int64) {
	a := b.account(name)
	a.granted += tokens
	for i := range a.bounds {
		a.bounds[i].held.Burst += tokens
	}
	b.dirty = true
}

// Lack returns what the account's waiting request lacks, and what is worth
// borrowing for the requests after it.
func (b *Book) Lack(name string, tokens int64, now time.Time) (need, want int64) {
	a := b.accounts[name]
	if a == nil {
		return 0, 0
	}
	if !b.home {
		a.measure(now)
	}
	need = max(tokens-a.free(now), 0)
	return need, max(need, a.lacks(now)) + int64(a.rate*borrowSpan.Seconds())
}

// Lender is a VM that may have tokens to give.
type Lender struct {
	VM      string
	Address string // IP:port
	Free    int64  // tokens, as last read
}

// Lenders returns the VMs that hold tokens of an account, the most first.
func (b *Book) Lenders(name string) []Lender {
	var lenders []Lender
	for vm, h := range b.snapshot.Holdings {
		free := h.Holding.Accounts[name].free()
		if vm != b.vm && free > 0 && h.Holding.Address != "" {
			lenders = append(lenders, Lender{VM: vm, Address: h.Holding.Address, Free: free})
		}
	}
	sort.Slice(lenders, func(i, j int) bool { return lenders[i].Free > lenders[j].Free })
	return lenders
}
