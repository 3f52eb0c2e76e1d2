package escrow

import (
	"slices"
	"time"

	"hawthornspar/core/revision"
)

const (
	// settleAfter is the time from the first write of an era until a group may be settled. VMs
	// that reach the store have declared by then. emptySettleAfter is the same for a group
	// without rows, whose VMs have all just started.
	settleAfter      = 2 * time.Second
	emptySettleAfter = time.Second
	// startedSettleAfter is the same for a VM that does not know all VMs that held tokens, as it
	// has started since the group was last settled. If there is another one that does, it has
	// declarationLimit.
	startedSettleAfter = 10 * time.Second
	// declarationLimit is the time after which tokens that silent VMs may have drawn are
	// written off.
	declarationLimit = 5 * time.Minute
	// successorWait is how long a VM that has just started waits until the group is settled,
	// before it takes over a row that was not declared.
	successorWait = 5 * time.Second
)

// GuardedEras is the number of earlier eras whose end the first transaction of an era notes in
// the store, so that transactions that were decided in them fail.
const GuardedEras = 4

// holders are the VMs that may hold tokens which the store does not show.
type holders struct {
	waiting []string // may declare them still
	lost    []string // have ended and did not
}

// maySettle reports whether the next transaction is to settle the group.
func (b *Budgets) maySettle(now time.Time) bool {
	if b.open() || !b.isHome || b.closing || !b.ownRowWritten || b.undeclared || b.mark.Version.IsZero() || b.snapshot.Era != b.era {
		return false
	}
	began := time.Duration(b.clock.lowerBound(now)-b.mark.Mark.BeganMs) * time.Millisecond
	if began < b.settlementDelay() {
		return false
	}
	return len(b.holders().waiting) == 0 || began >= declarationLimit
}

// settlementDelay returns the time from the first write of the era until this VM may settle
// the group.
func (b *Budgets) settlementDelay() time.Duration {
	switch {
	case !b.steppedBack():
		return emptySettleAfter
	case b.knowsHolders():
		return settleAfter
	case b.mark.Mark.SteppedBack:
		return declarationLimit
	}
	return startedSettleAfter
}

// knowsHolders reports whether this VM knows all VMs that may hold tokens which the store does
// not show: it has run since the group was last settled.
func (b *Budgets) knowsHolders() bool {
	return b.before != nil && b.since <= b.lastSettled()
}

// lastSettled returns the last era that is known to be settled; 0 for none.
func (b *Budgets) lastSettled() revision.Era { return max(b.settledEra, b.snapshot.SettledEra) }

// holders returns the VMs that may hold tokens which the last snapshot does not show. There are
// none in a group whose VMs have all started in this era.
func (b *Budgets) holders() holders {
	var h holders
	if !b.steppedBack() {
		return h
	}
	for vm, row := range b.snapshot.Allocations {
		switch {
		case row.VMAllocations.Lost && row.VMAllocations.Era > b.lastSettled():
			h.lost = append(h.lost, vm)
		case vm != b.vm && row.VMAllocations.Era < b.era && b.mayDeclare(vm, row.VMAllocations):
			h.waiting = append(h.waiting, vm)
		}
	}
	for _, m := range b.membersBefore() {
		row, ok := b.snapshot.Allocations[m.Name]
		switch {
		case m.Name == b.vm || !b.hadTokens(m):
		case !ok && b.mayDeclare(m.Name, VMAllocations{}):
			h.waiting = append(h.waiting, m.Name)
		case ok && row.VMAllocations.Era == b.era && !row.VMAllocations.Lost && !b.declaredBy(m, row.VMAllocations):
			h.lost = append(h.lost, m.Name)
		}
	}
	slices.Sort(h.waiting)
	slices.Sort(h.lost)
	return h
}

// membersBefore returns the VMs that may have been registered when the store stepped back:
// those known then, and others that are registered now.
func (b *Budgets) membersBefore() []Member {
	if b.before == nil {
		return b.members
	}
	return unionOf(b.before.members, b.members)
}

// hadTokens reports whether a VM may have held tokens over the step back.
func (b *Budgets) hadTokens(m Member) bool {
	if m.Home || b.before == nil {
		return m.Home
	}
	_, seen := b.before.rows[m.Name]
	return seen
}

// mayDeclare reports whether a VM whose row in the store is not declared may still declare what
// it holds: it was registered when the step back was seen, or nobody knows which VMs were, and
// it had not shut down.
func (b *Budgets) mayDeclare(vm string, row VMAllocations) bool {
	members := b.membersBefore()
	if len(members) == 0 {
		return !row.Closed
	}
	i := slices.IndexFunc(members, func(m Member) bool { return m.Name == vm })
	if i < 0 {
		return false
	}
	closed := row.Closed && row.Incarnation == members[i].Incarnation
	if b.before != nil {
		seen := b.before.rows[vm]
		closed = closed || seen.Closed && seen.Incarnation == members[i].Incarnation
	}
	return !closed
}

// declaredBy reports whether a declared row is of the incarnation that held tokens over the
// step back, or of the next one, which has taken over what that one had declared.
func (b *Budgets) declaredBy(m Member, row VMAllocations) bool {
	return b.before == nil || m.Incarnation == "" || row.Incarnation == m.Incarnation || row.Previous == m.Incarnation
}

// waitedForSettlement reports whether a VM that has just started has waited long enough to
// take over a row that was not declared.
func (b *Budgets) waitedForSettlement() bool {
	if b.waitingSinceMs == 0 {
		b.waitingSinceMs = b.clock.ms
	}
	return b.clock.ms >= b.waitingSinceMs+successorWait.Milliseconds()
}

// MarkChange replaces the mark of a transaction's era.
type MarkChange struct {
	Mark    Mark
	Version revision.Version // required of the mark; zero when it must not exist
}

// planMark adds to a transaction the mark that begins its era, or settles it. What VMs may have
// drawn that will not declare it is written off first.
func (b *Budgets) planMark(t *Transaction, now time.Time) {
	switch {
	case b.era == 0:
	case b.mark.Version.IsZero():
		t.Mark = &MarkChange{Mark: Mark{BeganMs: b.clock.lowerBound(now), SteppedBack: b.knowsHolders()}}
	case b.knowsHolders() && !b.mark.Mark.SteppedBack && !b.open():
		mark := b.mark.Mark
		mark.SteppedBack = true
		t.Mark = &MarkChange{Mark: mark, Version: b.mark.Version}
	case b.maySettle(now):
		h := b.holders()
		uncertain := len(h.waiting)+len(h.lost) > 0 || b.steppedBack() && !b.knowsHolders()
		if uncertain && !b.planWriteOff(t) {
			return // the next transaction goes on
		}
		mark := b.mark.Mark
		mark.Settled, mark.Uncertain = true, uncertain
		t.Mark = &MarkChange{Mark: mark, Version: b.mark.Version}
	}
}

// planWriteOff adds to a transaction that all undrawn tokens count as drawn, but for those that
// were returned in this era. It returns false if not all accounts fit.
func (b *Budgets) planWriteOff(t *Transaction) bool {
	complete := true
	for name, a := range b.accounts {
		returned := int64(0)
		if a.total.Era == b.era {
			returned = a.total.Returned
		}
		if amount := a.prepaid - a.total.Drawn - returned; a.limited && amount > 0 {
			complete = t.writeOff(b, name, amount) && complete
		}
	}
	return complete
}

// writeOff adds tokens of an account that count as drawn. It returns false if there is no room.
func (t *Transaction) writeOff(b *Budgets, name string, tokens int64) bool {
	if !t.addDeclared(b, name, tokens, tokens) {
		return false
	}
	for i := range t.Totals {
		if c := &t.Totals[i]; c.Account == name {
			c.WrittenOff, c.Declared = tokens, c.Declared-tokens
		}
	}
	return true
}

// WrittenOff returns the tokens of all accounts that the transaction writes off.
func (t *Transaction) WrittenOff() int64 {
	tokens := int64(0)
	for _, c := range t.Totals {
		tokens += c.WrittenOff
	}
	return tokens
}

// recordMark records the mark of the era unless a newer one is known.
func (b *Budgets) recordMark(m VersionedMark) {
	if m.Version.Era != b.era || m.Version.IsZero() || b.mark.Version.NewerThan(m.Version) {
		return
	}
	if m.Mark.Settled && !b.mark.Mark.Settled {
		b.dirty, b.plannedAt = true, time.Time{} // tokens may be drawn
	}
	if m.Mark.Settled {
		b.settledEra = b.era
	}
	b.mark = m
}

// Opening reports whether this VM is a home VM of a group whose VMs have all just started, and
// that is not settled yet.
func (b *Budgets) Opening() bool { return b.isHome && !b.open() && !b.steppedBack() }

// Settlement is the state of a group since the last step back of the store, for logs.
type Settlement struct {
	Era      revision.Era
	Declared bool     // the VM's row shows what it holds
	Settled  bool     // undrawn tokens may be drawn
	Waiting  []string // VMs that are still to declare
	Lost     []string // VMs that will not
}

// Settlement returns the group's state.
func (b *Budgets) Settlement() Settlement {
	s := Settlement{Era: b.era, Declared: b.ready && !b.undeclared, Settled: b.open()}
	if !s.Settled && b.snapshot.Era == b.era {
		h := b.holders()
		s.Waiting, s.Lost = h.waiting, h.lost
	}
	return s
}
