package escrow

import (
	"math"
	"time"

	"hawthornspar/core/revision"
)

// account is this VM's state of one client account.
type account struct {
	prepaid         int64
	limited         bool             // false when the account has no prepaid budget
	granted         int64            // tokens drawn or borrowed, less those returned
	spent           int64            // tokens used by completed requests
	lent            int64            // tokens lent to other VMs, less those repaid
	reserved        int64            // tokens reserved by running requests
	bounds          []bound          // one for each write that the store may have as its latest
	borrowed        int64            // of the granted ones, those borrowed from other VMs
	declared        bool             // since the store's last step back
	total           Total            // as last read
	version         revision.Version // of the total's row; zero when it does not exist
	totalRead       bool             // the total's row has been read
	tokenRate       float64          // smoothed tokens that requests reserve per second
	rateUpdated     time.Time
	reservedSince   int64         // tokens reserved since rateUpdated
	waiting         int64         // tokens that waiting requests need
	waitingRequests map[int64]int // number of waiting requests, by the tokens that each needs
	otherVMs        otherVMs
	// conflicts counts the conflicts in a row over the account's total, and
	// deferredAdjustments the next transactions that leave the total alone
	// because of them.
	conflicts           int
	deferredAdjustments int
}

// otherVMs sums up an account's allocations to all other VMs.
type otherVMs struct {
	free      int64
	tokenRate float64
}

// bound limits the commitments of an account by one write of its allocation.
type bound struct {
	sequence   int64     // of the write
	at         time.Time // when the write was planned
	allocation Allocation
}

// committed returns the tokens that are spent, lent or reserved.
func (a *account) committed() int64 { return a.spent + a.lent + a.reserved }

// available returns the tokens that may be reserved now: the free ones, as far
// as the bounds allow.
func (a *account) available(now time.Time) int64 {
	limit := a.granted
	for _, b := range a.bounds {
		limit = min(limit, b.allocation.maxCommitted(now.Sub(b.at)))
	}
	return limit - a.committed()
}

// availableIn returns how long it takes until that many tokens may be reserved
// while the store is unreachable, and false when the VM has not been granted
// enough, or may not commit so many before its next write.
func (a *account) availableIn(tokens int64, now time.Time) (time.Duration, bool) {
	needed := a.committed() + tokens
	if needed > a.granted {
		return 0, false
	}
	wait := time.Duration(0)
	for _, b := range a.bounds {
		if needed > b.allocation.offlineMaximum() {
			return 0, false
		}
		wait = max(wait, b.at.Add(b.allocation.timeToCommit(needed)).Sub(now))
	}
	return wait, true
}

// burstLow reports whether little of the burst is left, so that the allocation
// should be written again.
func (a *account) burstLow() bool {
	for _, b := range a.bounds {
		used := a.committed() - b.allocation.Committed
		if b.allocation.Burst > 0 && float64(used) > (1-burstLowShare)*float64(b.allocation.Burst) && a.granted > a.committed() {
			return true
		}
	}
	return false
}

// updateRate updates the token rate from the reservations since the last call.
func (a *account) updateRate(now time.Time) {
	if a.rateUpdated.IsZero() {
		a.rateUpdated = now
		return
	}
	elapsed := now.Sub(a.rateUpdated)
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/rateTimeConstant.Seconds())
	a.tokenRate = max(a.tokenRate+weight*(float64(a.reservedSince)/elapsed.Seconds()-a.tokenRate), 0)
	a.reservedSince = 0
	a.rateUpdated = now
}

// shortfall returns the tokens that waiting requests need beyond the available
// ones.
func (a *account) shortfall(now time.Time) int64 {
	if a.waiting == 0 {
		return 0
	}
	return max(a.waiting-a.available(now), 0)
}

// smallestWaiting returns the fewest tokens that a waiting request needs; 0 when
// none waits.
func (a *account) smallestWaiting() int64 {
	smallest := int64(0)
	for tokens := range a.waitingRequests {
		if smallest == 0 || tokens < smallest {
			smallest = tokens
		}
	}
	return smallest
}

// addWaiting changes the number of waiting requests that need the given number of
// tokens.
func (a *account) addWaiting(tokens int64, requests int) {
	a.waiting += tokens * int64(requests)
	if a.waitingRequests == nil {
		a.waitingRequests = map[int64]int{}
	}
	a.waitingRequests[tokens] += requests
	if a.waitingRequests[tokens] == 0 {
		delete(a.waitingRequests, tokens)
	}
}
