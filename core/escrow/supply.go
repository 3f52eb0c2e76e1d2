package escrow

import "time"

// Between homes and the VMs that borrow from them.
const (
	// supplyShare is the part of its free tokens that a home gives beyond what a
	// request needs, so that one VM does not empty it.
	supplyShare = 0.125
	// repayAbove is how many times what it borrows at once a VM keeps free.
	repayAbove = 2
)

// Supply gives tokens to a VM that is no home: what its request needs, or
// nothing, and up to want. They count as committed here until Repaid.
func (b *Book) Supply(name string, need, want int64, now time.Time) int64 {
	a := b.accounts[name]
	if a == nil || !a.limited || b.closing {
		return 0
	}
	free := a.free(now)
	if need <= 0 || free < need {
		return 0
	}
	extra := min(want-need, int64(supplyShare*float64(free-need)))
	given := need + max(extra, 0)
	a.lent += given
	a.recent += given
	b.dirty = true
	return given
}

// Repayment is what a VM that is no home gives back to one.
type Repayment struct {
	Spent    int64 // borrowed tokens that ended requests used
	Returned int64 // borrowed tokens that are free again
}

// Repay takes out of the book what the VM gives back now: what was spent of
// its loans, and what is free beyond the use of the next moments. A home, or a
// VM that has a holding in the store, repays nothing.
func (b *Book) Repay(name string, now time.Time) Repayment {
	a := b.accounts[name]
	if a == nil || !a.limited || !b.borrows() {
		return Repayment{}
	}
	a.measure(now)
	r := Repayment{Spent: a.spent, Returned: a.surplus()}
	if b.closing {
		r.Returned = a.granted - a.committed()
	}
	a.granted -= r.Spent + r.Returned
	a.spent -= r.Spent
	return r
}

// surplus returns the free tokens that a VM that is no home does not keep for
// its next requests.
func (a *account) surplus() int64 {
	free := a.granted - a.committed()
	keep := int64(a.rate * borrowSpan.Seconds())
	if a.waiting > 0 || free <= repayAbove*keep {
		return 0
	}
	return free - keep
}

// borrows tells whether all that the VM has is borrowed.
func (b *Book) borrows() bool {
	return !b.home && b.ready && b.ownVersion == 0 && b.pending == nil
}

// Accounts returns the names of the accounts of which the VM has tokens.
func (b *Book) Accounts() []string {
	var names []string
	for name, a := range b.accounts {
		if a.granted > 0 || a.spent != 0 {
			names = append(names, name)
		}
	}
	return names
}

// Repaid takes what another VM gives back. What one home gave may come back to
// another: then less than nothing is lent here.
func (b *Book) Repaid(name string, r Repayment) {
	a := b.account(name)
	a.lent -= r.Spent + r.Returned
	a.spent += r.Spent
	a.recent -= r.Returned
	b.dirty = true
}

// Keep puts back what Repay took out and no home has taken.
func (b *Book) Keep(name string, r Repayment) {
	a := b.account(name)
	a.granted += r.Spent + r.Returned
	a.spent += r.Spent
}

// HandOver takes out of a stopping VM's book what it may still spend of an
// account, for another VM to hold while the store is out of reach.
func (b *Book) HandOver(name string, now time.Time) Repayment {
	a := b.accounts[name]
	if a == nil || !a.limited {
		return Repayment{}
	}
	given := max(a.free(now), 0)
	a.lent += given
	return Repayment{Returned: given}
}

// TakeBack undoes a HandOver that no VM has accepted.
func (b *Book) TakeBack(name string, r Repayment) { b.account(name).lent -= r.Returned }
