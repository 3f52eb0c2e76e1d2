package escrow

import (
	"slices"

	"hawthornspar/core/revision"
)

// Member is a VM that is registered. One that is a home VM may hold tokens without a row.
type Member struct {
	Name        string
	Incarnation string
	Home        bool
}

// stepBackState is what a VM knows of the eras of the store. In each era the store may lack
// what VMs have written since the copy that it came back from.
type stepBackState struct {
	era        revision.Era
	mark       VersionedMark // of the era
	members    []Member      // as last known
	taken      predecessor   // whose row this incarnation has taken over
	undeclared bool          // the VM's row does not show yet what it holds
	restored   VMAllocations // the VM's row in the store while undeclared
	restoredBy string        // incarnation of that row as it was restored
	// firstReadMs is the store's clock at the first read in the era.
	firstReadMs int64
	// before is what the VM knew when it saw the step back; nil if it has started since.
	before *knowledgeBefore
	// since is the era in which the VM has first read the group, and settledEra the last one
	// that it knows to be settled.
	since, settledEra revision.Era
	// waitingSinceMs is the store's clock when the VM, which has just started, found a row of
	// its predecessor that was not declared; 0 if it has not.
	waitingSinceMs int64
}

// knowledgeBefore is what a VM knew when it saw the store step back.
type knowledgeBefore struct {
	members []Member
	rows    map[string]VMAllocations // by VM; they may be newer than those of the copy
}

// predecessor is the previous incarnation of a VM, as its row shows it.
type predecessor struct {
	row   VMAllocations
	endMs int64 // store's clock by which it had ended
	// lost is set if it ran through a step back and did not declare what it held: it may have
	// spent all that the row grants, and more that the row does not show.
	lost bool
}

// outcome returns the tokens of an account that the predecessor cannot have used, and those
// that it may have used and is not known to.
func (p predecessor) outcome(account string) (reclaimed, unaccounted int64) {
	if p.lost {
		a := p.row.Accounts[account]
		return 0, max(a.Granted-a.Spent, 0)
	}
	return p.row.reclaimable(account, p.endMs), p.row.unaccounted(account, p.endMs)
}

// SetMembers sets the VMs that are registered. Empty means that they are not known.
func (b *Budgets) SetMembers(members []Member) { b.members = members }

// StepBack begins an era, unless it is the current one or an earlier one: what is known of
// the store's rows is of another era and must be read again. What the VM holds stays, within
// the bounds of its rows of before.
func (b *Budgets) StepBack(era revision.Era) {
	if era <= b.era {
		return
	}
	known := b.ready || b.undeclared
	if known && b.previous.row.Incarnation != "" {
		b.taken, b.previous = b.previous, predecessor{}
	}
	if known && b.before == nil {
		b.before = &knowledgeBefore{rows: map[string]VMAllocations{}}
	}
	if b.before != nil {
		b.before.remember(b.members, b.rows, b.open())
	}
	if b.open() { // what the predecessor had drawn is written off
		b.taken.lost, b.taken.row.Lost = false, false
	}
	b.era, b.mark = era, VersionedMark{}
	b.pending = nil
	b.rows, b.snapshot = map[string]VersionedAllocations{}, Snapshot{}
	b.waitingSinceMs, b.firstReadMs = 0, 0
	for _, a := range b.accounts {
		a.version, a.totalRead, a.total, a.declared = revision.Version{}, false, Total{}, false
		a.otherVMs = otherVMs{}
	}
	// A VM that holds nothing has nothing to declare.
	b.ready = known && !b.isHome && b.ownVersion.IsZero() && !b.ranThroughStepBack()
	b.ownVersion = revision.Version{}
	b.dirty = true
}

// remember adds what a VM knows when it sees a step back. After several in a row, what it knew
// before the first one still counts, until the group has been settled.
func (k *knowledgeBefore) remember(members []Member, rows map[string]VersionedAllocations, settled bool) {
	if settled {
		k.members = nil
	}
	k.members = unionOf(k.members, members)
	for vm, row := range rows {
		if known, ok := k.rows[vm]; ok && known.Incarnation == row.VMAllocations.Incarnation {
			k.rows[vm], _ = mergeRows(row.VMAllocations, known)
			continue
		}
		k.rows[vm] = row.VMAllocations
	}
}

// ranThroughStepBack reports whether this incarnation may have drawn or returned tokens, or
// taken over those of its predecessor, by rows that the store has lost.
func (b *Budgets) ranThroughStepBack() bool {
	if b.ownRowWritten || b.taken.row.Incarnation != "" {
		return true
	}
	for _, a := range b.accounts {
		if a.granted != a.borrowed {
			return true
		}
	}
	return false
}

// unionOf returns the VMs of two lists. Of one that is in both, that of the first list counts.
func unionOf(first, second []Member) []Member {
	all := slices.Clone(first)
	for _, m := range second {
		if !slices.ContainsFunc(first, func(known Member) bool { return known.Name == m.Name }) {
			all = append(all, m)
		}
	}
	return all
}

// restore begins the declaration of what this VM holds, given its row in the store.
func (b *Budgets) restore(row VMAllocations) {
	b.restored, b.restoredBy, b.undeclared = row, row.Incarnation, true
	b.ready, b.dirty = true, true
	if known := []string{"", b.incarnation, b.taken.row.Incarnation}; !slices.Contains(known, row.Incarnation) {
		b.taken.lost = true // an incarnation between that one and this one was lost as a whole
	}
}

// steppedBack reports whether the era began with a step back of the store, as far as the VM
// knows or the group shows. Rows without an era are those of an earlier version of the program.
func (b *Budgets) steppedBack() bool {
	if b.before != nil || b.snapshot.EarlierMark || b.mark.Mark.SteppedBack {
		return true
	}
	for _, row := range b.snapshot.Allocations {
		if isEarlier(row.VMAllocations.Era, b.era) || row.VMAllocations.Lost {
			return true
		}
	}
	for _, total := range b.snapshot.Totals {
		if isEarlier(total.Total.Era, b.era) {
			return true
		}
	}
	return false
}

// isEarlier reports whether an era was stated and is over.
func isEarlier(e, current revision.Era) bool { return e > 0 && e < current }

// open reports whether the tokens that no VM has drawn may be drawn.
func (b *Budgets) open() bool { return b.era == 0 || b.mark.Mark.Settled }

// undrawn returns the tokens of an account that may be drawn, as last read.
func (b *Budgets) undrawn(a *account) int64 {
	switch {
	case b.open():
		return a.prepaid - a.total.Drawn
	case a.total.Era == b.era:
		return a.total.Returned
	}
	return 0
}

// totalAfter returns an account's total after a change: drawn tokens, less returned ones;
// declared ones, which had been drawn before the store's step back; unaccounted ones.
func (b *Budgets) totalAfter(a *account, drawn, declared, unaccounted int64) Total {
	t := a.total
	t.Drawn += drawn + declared
	t.Unaccounted += unaccounted
	if t.Era != b.era || b.open() {
		t.Returned = 0
	}
	if !b.open() {
		t.Returned -= drawn
	}
	t.Era = b.era
	return t
}

// trusts reports whether a row shows what its VM may hold: it was declared in this era, or the
// group is settled and nothing was written off.
func (b *Budgets) trusts(row VMAllocations) bool {
	if row.Era == b.era || row.Closed || row.Era == 0 && !b.steppedBack() {
		return true
	}
	return b.mark.Mark.Settled && !b.mark.Mark.Uncertain
}

// movableNow reports whether tokens may be moved from a row. In a store that may step back,
// they are moved from stale rows only, so that a VM that writes its row often knows that none
// were moved.
func (b *Budgets) movableNow(row VMAllocations, stale bool) bool {
	return b.era == 0 || stale && b.trusts(row)
}

// previousIncarnation returns the incarnation whose row this one has taken over, or does by
// its first write.
func (b *Budgets) previousIncarnation() string {
	if b.previous.row.Incarnation != "" {
		return b.previous.row.Incarnation
	}
	return b.taken.row.Incarnation
}

// lost reports whether a predecessor has lost tokens that it may have drawn.
func (b *Budgets) lost() bool {
	p := b.previous
	if p.row.Incarnation == "" {
		p = b.taken
	}
	return p.lost || p.row.Lost
}
