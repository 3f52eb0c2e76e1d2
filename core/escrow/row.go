// Package escrow keeps the spending of every client account within its prepaid
// budget across all VMs. The store has one row for each account with the total
// that VMs have drawn from its budget, and one row for each VM with its
// allocations: its part of the budget of each account. A VM spends only tokens
// that it has drawn or borrowed, so neither outages of the store nor network
// partitions can cause overspending.
//
// An allocation also limits how fast its VM may spend, and how much before it
// writes its row again. A restarted VM therefore reclaims the tokens that its
// previous incarnation cannot have spent since it last wrote its allocations, and
// home VMs may move the tokens of any VM's row that this VM cannot spend before
// its next write, which then fails on the row's version.
package escrow

import (
	"math"
	"time"

	"hawthornspar/core/revision"
)

// Total is the row of a client account.
type Total struct {
	Drawn int64 `json:"drawn"` // tokens drawn by VMs, less those returned
	// Unaccounted are the drawn tokens that crashed VMs may or may not have spent.
	Unaccounted int64 `json:"unknown"`
	// Era is the store's era of the last write, and Returned the tokens that VMs have returned
	// in it, less those drawn again, while the group is not settled.
	Era      revision.Era `json:"era,omitempty"`
	Returned int64        `json:"returned,omitempty"`
}

// VMAllocations is the row of a VM with its allocations.
type VMAllocations struct {
	Incarnation string                `json:"incarnation"`
	Address     string                `json:"address"`  // IP:port at which other VMs borrow tokens
	Sequence    int64                 `json:"sequence"` // number of the VM's write
	StoreMs     int64                 `json:"storeMs"`  // lower bound of the store's clock at the write
	Accounts    map[string]Allocation `json:"accounts"`
	// Era is the store's era in which the row was declared: its VM, or a survivor of it, has
	// written it from its memory since the store's last step back.
	Era revision.Era `json:"era,omitempty"`
	// Previous is the incarnation whose row this one has taken over; empty for none. Lost is
	// set if that, or one before, held tokens over a step back and did not declare them.
	Previous string `json:"previous,omitempty"`
	Lost     bool   `json:"lost,omitempty"`
	// Closed is set if the VM is shutting down and has returned its free tokens.
	Closed bool `json:"closed,omitempty"`
}

// Allocation is a VM's part of one account's budget. Fields that are 0 are left out
// of the row, which makes up for most of the size of OfflineLimit.
type Allocation struct {
	Granted       int64 `json:"granted"`             // tokens drawn or borrowed, less those returned
	Spent         int64 `json:"spent,omitempty"`     // tokens used by completed requests
	Borrowed      int64 `json:"borrowed,omitempty"`  // of the granted ones, those that other VMs have lent
	Lent          int64 `json:"lent,omitempty"`      // tokens lent to other VMs, less those repaid
	Committed     int64 `json:"committed,omitempty"` // spent, lent, and reserved by running requests
	Burst         int64 `json:"burst,omitempty"`     // tokens that may be committed on top of Committed immediately
	DeferredBurst int64 `json:"later,omitempty"`     // tokens that may be committed in addition after burstOnlyPeriod
	SlowPerSecond int64 `json:"perSecond,omitempty"` // tokens that become available per second after burstOnlyPeriod
	FastPerSecond int64 `json:"fast,omitempty"`      // replaces SlowPerSecond after fastRateAfter
	TokenRate     int64 `json:"rate,omitempty"`      // tokens that requests reserve per second
	// OfflineLimit is the most tokens that may be committed on top of Committed,
	// however long the VM does not write its row; 0 for no such limit.
	OfflineLimit int64 `json:"offline,omitempty"`
}

// net returns the tokens that have come from the account's total, or from rows of other VMs.
func (a Allocation) net() int64 { return a.Granted - a.Borrowed }

// free returns the tokens that are neither spent nor lent nor reserved.
func (a Allocation) free() int64 { return max(a.Granted-a.Committed, 0) }

// Phases after a write of a VM's allocations. A crashed VM usually restarts
// within the first phase, so that few of its tokens remain unaccounted for. A
// running VM that cannot reach the store may spend more in each later phase.
const (
	// burstOnlyPeriod is how long only the burst may be spent.
	burstOnlyPeriod = 2 * time.Second
	// fastRateAfter is the time after the write from which FastPerSecond applies.
	fastRateAfter = 5 * time.Second
)

// maxCommitted returns the most tokens that the VM may have committed when the
// given time has elapsed since it wrote the allocation.
func (a Allocation) maxCommitted(elapsed time.Duration) int64 {
	return min(a.accrued(elapsed), a.offlineMaximum())
}

// offlineMaximum returns the most tokens that the VM may have committed before
// it writes the allocation again.
func (a Allocation) offlineMaximum() int64 {
	if a.OfflineLimit <= 0 {
		return math.MaxInt64
	}
	return a.Committed + a.OfflineLimit
}

// accrued returns the most tokens that the burst and the rates allow to be
// committed when the given time has elapsed since the write.
func (a Allocation) accrued(elapsed time.Duration) int64 {
	tokens := a.Committed + a.Burst
	if elapsed < burstOnlyPeriod {
		return tokens
	}
	slow := (min(elapsed, fastRateAfter) - burstOnlyPeriod).Milliseconds()
	fast := max(elapsed-fastRateAfter, 0).Milliseconds()
	return tokens + a.DeferredBurst + (a.SlowPerSecond*slow+a.FastPerSecond*fast)/1000
}

// timeToCommit returns the time after the write from which the VM may have
// committed the given number of tokens, which is at most offlineMaximum.
func (a Allocation) timeToCommit(committed int64) time.Duration {
	if committed <= a.Committed+a.Burst {
		return 0
	}
	missing := committed - a.maxCommitted(burstOnlyPeriod)
	if missing <= 0 {
		return burstOnlyPeriod
	}
	if committed <= a.maxCommitted(fastRateAfter) {
		return burstOnlyPeriod + accrualTime(missing, a.SlowPerSecond)
	}
	return fastRateAfter + accrualTime(committed-a.maxCommitted(fastRateAfter), a.FastPerSecond)
}

// accrualTime returns the time in which tokens become available at a rate,
// rounded up.
func accrualTime(tokens, perSecond int64) time.Duration {
	return time.Duration(tokens*1000/max(perSecond, 1)+1) * time.Millisecond
}

// maxCommittedAt returns the most tokens that the VM can have committed when
// the store's clock shows storeMs.
func (v VMAllocations) maxCommittedAt(account string, storeMs int64) int64 {
	allocation := v.Accounts[account]
	elapsed := time.Duration(max(storeMs-v.StoreMs, 0)+1) * time.Millisecond
	return min(allocation.Granted, allocation.maxCommitted(elapsed))
}

// unaccounted returns the tokens that remain drawn after the reclaimable ones
// are reclaimed, and that the VM is not known to have spent. Lent tokens are
// included, as the response to the borrower may have been lost.
func (v VMAllocations) unaccounted(account string, storeMs int64) int64 {
	allocation := v.Accounts[account]
	return max(v.maxCommittedAt(account, storeMs)-allocation.Spent, 0)
}

// reclaimable returns the tokens that the VM, known to have ended by storeMs,
// cannot have used.
func (v VMAllocations) reclaimable(account string, storeMs int64) int64 {
	return v.Accounts[account].Granted - v.maxCommittedAt(account, storeMs)
}

// Snapshot is the content of the store at one moment.
type Snapshot struct {
	Totals      map[string]VersionedTotal       // by account
	Allocations map[string]VersionedAllocations // by VM
	Mark        VersionedMark                   // of the store's era; zero if there is none yet
	EarlierMark bool                            // there is a mark of an earlier era
	SettledEra  revision.Era                    // last era whose mark is settled; 0 for none
	Era         revision.Era                    // of the store
}

// VersionedTotal is an account's row with its version in the store.
type VersionedTotal struct {
	Total   Total
	Version revision.Version
}

// Mark is the row of a group that the first transaction of an era writes.
type Mark struct {
	BeganMs int64 `json:"beganMs"` // store's clock at the first write of the era
	// SteppedBack is set if a VM that has written to the group has run since it was last settled,
	// and the store has stepped back since. Rows may not show that.
	SteppedBack bool `json:"steppedBack,omitempty"`
	// Settled is set once all VMs that may hold tokens have declared them, or these are written
	// off. Uncertain is set then if some were.
	Settled   bool `json:"settled,omitempty"`
	Uncertain bool `json:"uncertain,omitempty"`
}

// VersionedMark is a mark with its version in the store.
type VersionedMark struct {
	Mark    Mark
	Version revision.Version
}

// VersionedAllocations is a VM's row with its version in the store.
type VersionedAllocations struct {
	VMAllocations VMAllocations
	Version       revision.Version
}

// maxUnspent returns the most tokens of an account's prepaid budget that may
// still be unspent according to the snapshot.
func (s Snapshot) maxUnspent(account string, prepaid int64) int64 {
	t := s.Totals[account].Total
	unspent := prepaid - t.Drawn + t.Unaccounted
	for _, v := range s.Allocations {
		allocation := v.VMAllocations.Accounts[account]
		unspent += allocation.Granted - allocation.Spent
	}
	return unspent
}
