package escrow

import (
	"math"
	"time"
)

// Due reports whether the next transaction should be sent now: its outcome is
// still unknown, a request waits for tokens, a burst is almost used up, or the
// report interval has elapsed with something to write.
func (b *Budgets) Due(now time.Time) bool {
	if !b.ready {
		return false
	}
	if b.pending != nil || b.closing && b.dirty {
		return true
	}
	if b.undeclared || b.maySettle(now) {
		return true
	}
	if !b.isHome {
		return now.Sub(b.plannedAt) >= b.policy.ReportInterval && b.returnable()
	}
	for name, a := range b.accounts {
		if a.shortfall(now) > 0 && b.mayCover(name, a, now) {
			return true
		}
		if a.limited && a.burstLow() {
			return true
		}
	}
	return now.Sub(b.plannedAt) >= b.policy.ReportInterval && (b.dirty || b.unbalanced())
}

// mayCover reports whether a write may make tokens available to waiting requests.
func (b *Budgets) mayCover(name string, a *account, now time.Time) bool {
	free := a.granted - a.committed()
	return b.undrawn(a) > 0 || free > a.available(now) || len(b.chooseMoves(name, a, free, nil, now)) > 0
}

// returnable reports whether a VM that is not a home VM has tokens to return to
// the store: those that it or its previous incarnation drew as a home VM.
func (b *Budgets) returnable() bool {
	if b.ownVersion.IsZero() {
		return false
	}
	if len(b.previous.row.Accounts) > 0 {
		return true
	}
	for _, a := range b.accounts {
		if a.surplus() > 0 {
			return true
		}
	}
	return false
}

// unbalanced reports whether an account's free tokens are far from the target.
func (b *Budgets) unbalanced() bool {
	for _, a := range b.accounts {
		if a.limited && a.totalRead && a.adjustment(b.homeVMs, b.undrawn(a)) != 0 {
			return true
		}
	}
	return false
}

// Plan returns the pending transaction, whose outcome is not known yet, or else
// a new one.
func (b *Budgets) Plan(now time.Time) *Transaction {
	if b.pending != nil {
		return b.pending
	}
	t := &Transaction{Era: b.era, Version: b.ownVersion}
	t.VMAllocations = VMAllocations{
		Incarnation: b.incarnation, Address: b.address, Sequence: b.sequence + 1,
		StoreMs: b.clock.lowerBound(now), Accounts: map[string]Allocation{},
		Era: b.era, Previous: b.previousIncarnation(), Lost: b.lost(), Closed: b.closing && !b.undeclared,
	}
	if b.undeclared {
		b.planDeclaration(t, now)
	} else {
		b.planAccounts(t, now)
	}
	b.planMark(t, now)
	b.deferredMoves = max(b.deferredMoves-1, 0)
	b.sequence++
	b.plannedAt = now
	b.dirty = false
	b.pending = t
	return t
}

// planAccounts adds the accounts' allocations and the changes of their totals to a
// transaction.
func (b *Budgets) planAccounts(t *Transaction, now time.Time) {
	for name, a := range b.accounts {
		if a.limited && len(t.Totals) < MaxTotals {
			b.planAccount(t, name, a, now)
		}
	}
}

// planAccount adds an account's allocation and the change of its total to a
// transaction, and moves of tokens for it. Returned tokens may not be spent from
// now on; drawn and moved ones only after Applied.
func (b *Budgets) planAccount(t *Transaction, name string, a *account, now time.Time) {
	a.updateRate(now)
	grant, reclaimed, unaccounted := int64(0), int64(0), int64(0)
	if a.totalRead {
		reclaimed, unaccounted = b.previous.outcome(name)
		grant = a.adjustment(b.homeVMs, b.undrawn(a)+reclaimed)
	}
	if a.deferredAdjustments > 0 && !a.drawsForWaiting() {
		a.deferredAdjustments--
		grant = 0
	}
	switch {
	case b.closing:
		grant = min(a.committed()-a.granted, 0)
	case !b.isHome:
		grant = -a.surplus()
	}
	if grant != 0 || reclaimed != 0 || unaccounted != 0 {
		total := b.totalAfter(a, grant-reclaimed, 0, unaccounted)
		t.Totals = append(t.Totals, TotalChange{Account: name, Version: a.version, Total: total, Grant: grant, Reclaimed: reclaimed, Undrawn: a.prepaid - total.Drawn})
	}
	if grant < 0 {
		a.granted += grant
	}
	moved := int64(0)
	if a.totalRead {
		moved = b.planMoves(t, name, a, a.granted-a.committed()+max(grant, 0), now)
	}
	allocation := a.allocation(max(grant, 0)+moved, b.homeVMs, b.undrawn(a))
	t.VMAllocations.Accounts[name] = allocation
	a.bounds = append(a.bounds, bound{sequence: t.VMAllocations.Sequence, at: now, allocation: allocation})
}

// adjustment returns the number of tokens to draw, or to return when negative.
// undrawn is the number of tokens that no VM has drawn.
func (a *account) adjustment(homeVMs int, undrawn int64) int64 {
	undrawn = max(undrawn, 0)
	free := a.granted - a.committed()
	target := a.target(homeVMs, undrawn+free+a.otherVMs.free)
	want := int64(target) - free
	switch {
	case math.Abs(float64(want)) < minChangeShare*float64(a.prepaid):
		want = 0
	case float64(free) > returnAboveShare*target && a.waiting == 0:
		return want
	case float64(free) > drawBelowShare*target:
		want = 0
	}
	return min(max(want, a.waiting-free), undrawn)
}

// target returns the number of free tokens that the VM should have. unspent is
// the number of tokens that are free at any VM or undrawn.
func (a *account) target(homeVMs int, unspent int64) float64 {
	return allocatedShare * float64(unspent) * a.weight(homeVMs)
}

// weight returns the VM's share of an account, by the token rates of all home
// VMs.
func (a *account) weight(homeVMs int) float64 {
	totalRate := a.tokenRate + a.otherVMs.tokenRate
	idle := idleWeight*totalRate/float64(homeVMs) + 1 // not zero, so that shares exist without any traffic
	return (a.tokenRate + idle) / (totalRate + idle*float64(homeVMs))
}

// drawsForWaiting reports whether requests wait for tokens that the VM must
// draw.
func (a *account) drawsForWaiting() bool { return a.waiting > a.granted-a.committed() }

// allocation returns the account's allocation after a grant of more tokens.
func (a *account) allocation(grant int64, homeVMs int, undrawn int64) Allocation {
	committed := a.committed()
	granted := a.granted + grant
	free := max(granted-committed, 0)
	unspent := max(undrawn, 0) + free + a.otherVMs.free
	burst := int64(burstShare*float64(unspent)*a.weight(homeVMs)) + a.waiting
	fast := max(fastRateFactor*a.tokenRate, float64(free)/fastDrainTime.Seconds())
	burst = min(burst, free)
	offline := min(max(int64(offlineShare*float64(free)), int64(a.tokenRate*offlineTime.Seconds()), burst), free)
	return Allocation{
		Granted: granted, Borrowed: a.borrowed, Spent: a.spent, Lent: a.lent, Committed: committed, TokenRate: int64(a.tokenRate),
		Burst: burst, OfflineLimit: offline, DeferredBurst: int64(a.tokenRate * deferredBurstTime.Seconds()), SlowPerSecond: int64(slowRateFactor * a.tokenRate), FastPerSecond: int64(fast),
	}
}
