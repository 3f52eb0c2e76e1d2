package escrow

import (
	"math"
	"time"
)

// Due tells whether a transaction is worth its write now: a request waits for
// tokens, or the holding was not written for a period.
func (b *Book) Due(now time.Time) bool {
	if !b.ready {
		return false
	}
	if b.pending != nil || b.closing && b.dirty {
		return true
	}
	if !b.home {
		return now.Sub(b.reported) >= b.policy.Report && b.returnable()
	}
	for _, a := range b.accounts {
		if a.lacks(now) > 0 && (a.total < a.prepaid || a.granted-a.committed() > a.free(now)) {
			return true
		}
		if a.limited && a.renew() {
			return true
		}
	}
	return now.Sub(b.reported) >= b.policy.Report && (b.dirty || b.unbalanced())
}

// returnable tells whether a VM that is not a home has something to give back
// to the store: what it or its predecessor held as a home.
func (b *Book) returnable() bool {
	if b.ownVersion == 0 {
		return false
	}
	if len(b.predecessor.Accounts) > 0 {
		return true
	}
	for _, a := range b.accounts {
		if a.surplus() > 0 {
			return true
		}
	}
	return false
}

// unbalanced tells whether an account's holding is far from its target.
func (b *Book) unbalanced() bool {
	for _, a := range b.accounts {
		if a.limited && a.version >= 0 && a.change(b.homes, a.prepaid-a.total) != 0 {
			return true
		}
	}
	return false
}

// Plan returns the next transaction, or the one whose outcome is not known yet.
func (b *Book) Plan(now time.Time) *Transaction {
	if b.pending != nil {
		return b.pending
	}
	t := &Transaction{Version: b.ownVersion}
	t.Holding = Holding{
		Incarnation: b.incarnation, Address: b.address, Sequence: b.sequence + 1,
		StoreMs: b.clock.lower(now), Accounts: map[string]Held{},
	}
	for name, a := range b.accounts {
		if a.limited && len(t.Totals) < totalsPerTransaction {
			b.planAccount(t, name, a, now)
		}
	}
	b.sequence++
	b.reported = now
	b.dirty = false
	b.pending = t
	return t
}

func (b *Book) planAccount(t *Transaction, name string, a *account, now time.Time) {
	a.measure(now)
	grant, reclaimed, doubtful := int64(0), int64(0), int64(0)
	if a.version >= 0 {
		reclaimed = b.predecessor.unspent(name, b.diedMs)
		doubtful = b.predecessor.doubtful(name, b.diedMs)
		grant = a.change(b.homes, a.prepaid-a.total+reclaimed)
	}
	switch {
	case b.closing:
		grant = min(a.committed()-a.granted, 0)
	case !b.home:
		grant = -a.surplus()
	}
	if grant != 0 || reclaimed != 0 || doubtful != 0 {
		total := Total{Drawn: a.total - reclaimed + grant, Unknown: a.unknown + doubtful}
		t.Totals = append(t.Totals, TotalChange{Account: name, Version: a.version, Total: total, Grant: grant, Reclaim: reclaimed, Left: a.prepaid - total.Drawn})
	}
	if grant < 0 {
		a.granted += grant
	}
	held := a.held(max(grant, 0), b.homes)
	t.Holding.Accounts[name] = held
	a.bounds = append(a.bounds, bound{sequence: t.Holding.Sequence, at: now, held: held})
}

// change returns the tokens to draw, or to return when negative. left is what
// no VM has drawn.
func (a *account) change(homes int, left int64) int64 {
	left = max(left, 0)
	free := a.granted - a.committed()
	target := a.target(homes, left+free+a.others.free)
	want := int64(target) - free
	switch {
	case math.Abs(float64(want)) < smallestShare*float64(a.prepaid):
		want = 0
	case float64(free) > returnAbove*target && a.waiting == 0:
		return want
	case float64(free) > drawBelow*target:
		want = 0
	}
	return min(max(want, a.waiting-free), left)
}

// target returns the free tokens that the VM should hold of those that no
// request has.
func (a *account) target(homes int, unspent int64) float64 {
	return heldShare * float64(unspent) * a.weight(homes)
}

// weight returns the VM's share of an account by the rates of all homes.
func (a *account) weight(homes int) float64 {
	total := a.rate + a.others.rate
	idle := idleWeight*total/float64(homes) + 1 // not zero, so that shares exist
	return (a.rate + idle) / (total + idle*float64(homes))
}

// held returns the account's entry in a holding that gains grant.
func (a *account) held(grant int64, homes int) Held {
	committed := a.committed()
	granted := a.granted + grant
	free := max(granted-committed, 0)
	unspent := max(a.prepaid-a.total, 0) + free + a.others.free
	burst := int64(burstShare*float64(unspent)*a.weight(homes)) + a.waiting
	fast := max(fastFactor*a.rate, float64(free)/fastDrain.Seconds())
	return Held{
		Granted: granted, Spent: a.spent, Lent: a.lent, Committed: committed, Rate: int64(a.rate),
		Burst: min(burst, free), Later: int64(a.rate * laterSpan.Seconds()), PerSecond: int64(slowFactor * a.rate), Fast: int64(fast),
	}
}
