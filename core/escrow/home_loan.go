package escrow

import "time"

// Sizes of loans from a home VM to other VMs.
const (
	// extraLoanShare is the share of the tokens available beyond the need of a
	// request that a home VM lends as well, so that one borrower does not use
	// them up.
	extraLoanShare = 0.5
	// repayAboveFactor is the multiple of the spending in borrowAheadTime above
	// which a borrower repays free tokens.
	repayAboveFactor = 2
)

// LendAsHome lends tokens of a home VM to another VM: at least need and at most
// want, or none when need exceeds the available tokens. They count as committed
// here until AddRepayment.
func (b *Budgets) LendAsHome(name string, need, want int64, now time.Time) int64 {
	a := b.accounts[name]
	if a == nil || !a.limited || b.closing {
		return 0
	}
	available := a.available(now)
	if need <= 0 || available < need {
		return 0
	}
	extra := min(want-need, int64(extraLoanShare*float64(available-need)))
	loan := need + max(extra, 0)
	a.lent += loan
	a.reservedSince += loan
	b.dirty = true
	return loan
}

// Repayment is what a borrower repays to a home VM. Its fields are encoded under
// their names on the wire between VMs.
type Repayment struct {
	Spent    int64 // borrowed tokens used by completed requests
	Returned int64 // borrowed tokens that are free again
}

// Repay removes the borrowed tokens that the VM repays now, and returns them:
// the spent ones, and the free ones beyond the spending in borrowAheadTime. A
// home VM, or a VM with a row in the store, repays nothing.
func (b *Budgets) Repay(name string, now time.Time) Repayment {
	a := b.accounts[name]
	if a == nil || !a.limited || !b.onlyBorrows() {
		return Repayment{}
	}
	a.updateRate(now)
	r := Repayment{Spent: a.spent, Returned: a.surplus()}
	if b.closing {
		r.Returned = a.granted - a.committed()
	}
	a.granted -= r.Spent + r.Returned
	a.borrowed -= r.Spent + r.Returned
	a.spent -= r.Spent
	return r
}

// surplus returns the free tokens that a VM other than a home VM does not retain
// for its next requests.
func (a *account) surplus() int64 {
	free := a.granted - a.committed()
	retained := int64(a.tokenRate * borrowAheadTime.Seconds())
	if a.waiting > 0 || free <= repayAboveFactor*retained {
		return 0
	}
	return free - retained
}

// onlyBorrows reports whether all tokens of the VM are borrowed.
func (b *Budgets) onlyBorrows() bool {
	return !b.isHome && b.ready && b.ownVersion.IsZero() && b.pending == nil && !b.undeclared
}

// Accounts returns the names of the accounts of which tokens have been granted
// to the VM or spent by it.
func (b *Budgets) Accounts() []string {
	var names []string
	for name, a := range b.accounts {
		if a.granted > 0 || a.spent != 0 {
			names = append(names, name)
		}
	}
	return names
}

// AddRepayment records a repayment by another VM. A loan from one home VM may
// be repaid to another one, whose lent tokens then become negative.
func (b *Budgets) AddRepayment(name string, r Repayment) {
	a := b.account(name)
	a.lent -= r.Spent + r.Returned
	a.spent += r.Spent
	a.reservedSince -= r.Returned
	b.dirty = true
}

// UndoRepay undoes a Repay that no home VM has accepted.
func (b *Budgets) UndoRepay(name string, r Repayment) {
	a := b.account(name)
	a.granted += r.Spent + r.Returned
	a.borrowed += r.Spent + r.Returned
	a.spent += r.Spent
}

// HandOver lends all available tokens of an account, so that another VM can use
// them after this one has shut down while the store is unreachable.
func (b *Budgets) HandOver(name string, now time.Time) Repayment {
	a := b.accounts[name]
	if a == nil || !a.limited {
		return Repayment{}
	}
	loan := max(a.available(now), 0)
	a.lent += loan
	return Repayment{Returned: loan}
}

// UndoHandOver undoes a HandOver that no VM has accepted.
func (b *Budgets) UndoHandOver(name string, r Repayment) { b.account(name).lent -= r.Returned }
