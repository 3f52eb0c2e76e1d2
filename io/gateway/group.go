package gateway

import (
	"sync"
	"sync/atomic"

	"hawthornspar/core/escrow"
	"hawthornspar/core/home"
)

// group is a group of client accounts with their budgets, as this VM knows
// them. The state's lock guards it.
type group struct {
	number  int
	budgets *escrow.Budgets
	updated chan struct{} // closed when the budgets have changed
	wakeups chan struct{} // wakes the budget syncer
	// homes are the other home VMs of the group, in the order in which this VM
	// sends requests to them.
	homes []home.VM
	// writeMu is held while a transaction is in flight: during shutdown, two
	// goroutines send transactions.
	writeMu sync.Mutex
	// storeFailing is set if the last request to the store for the group failed.
	storeFailing atomic.Bool
}

func newGroups(s Settings) []*group {
	groups := make([]*group, max(s.BudgetGroups, 1))
	for i := range groups {
		groups[i] = &group{
			number: i, updated: make(chan struct{}), wakeups: make(chan struct{}, 1),
			budgets: escrow.New(s.Name, s.Incarnation, s.PeerListen, escrow.Policy{ReportInterval: s.BudgetReportInterval}),
		}
	}
	return groups
}

// notifyUpdate wakes the requests that wait for budget. The caller holds the
// state's lock.
func (gr *group) notifyUpdate() {
	close(gr.updated)
	gr.updated = make(chan struct{})
}

// wake makes the budget syncer check at once whether a write is due.
func (gr *group) wake() {
	select {
	case gr.wakeups <- struct{}{}:
	default:
	}
}

// isActiveHome reports whether this VM is a home VM of the group and has read
// the allocations of its previous incarnation. The caller holds the state's
// lock.
func (gr *group) isActiveHome() bool { return gr.budgets.IsHome() && gr.budgets.Ready() }

// group returns the group of an account.
func (s *state) group(account string) *group {
	return s.groups[home.GroupOf(account, len(s.groups))]
}
