package gateway

import (
	"sync"
	"sync/atomic"

	"hawthornspar/core/escrow"
	"hawthornspar/core/home"
)

// group is one group of client accounts with the book of its budgets. The
// state's lock guards it.
type group struct {
	number  int
	book    *escrow.Book
	granted chan struct{} // closed when the book has changed
	kick    chan struct{} // a request waits for budget
	// homes are the other VMs that hold the group's budgets, in the order in
	// which this VM asks them.
	homes []home.VM
	// writing is held while a transaction is under way: at the stop two
	// goroutines send them.
	writing sync.Mutex
	// storeLost says that the last call for the group failed.
	storeLost atomic.Bool
}

func newGroups(s Settings) []*group {
	groups := make([]*group, max(s.BudgetGroups, 1))
	for i := range groups {
		groups[i] = &group{
			number: i, granted: make(chan struct{}), kick: make(chan struct{}, 1),
			book: escrow.New(s.Name, s.Incarnation, s.Peer, escrow.Policy{Report: s.BudgetReport}),
		}
	}
	return groups
}

// changed wakes those that wait for budget. The caller holds the lock.
func (r *group) changed() {
	close(r.granted)
	r.granted = make(chan struct{})
}

// wake makes the budget keeper look at once.
func (r *group) wake() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// keeps tells whether this VM holds the group's budgets, and has read what its
// predecessor held. The caller holds the lock.
func (r *group) keeps() bool { return r.book.Home() && r.book.Ready() }

// group returns an account's group.
func (s *state) group(account string) *group {
	return s.groups[home.Group(account, len(s.groups))]
}
