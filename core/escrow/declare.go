package escrow

import (
	"maps"
	"slices"
	"time"
)

// Declaration sums up in tokens what a VM declares, for logs.
type Declaration struct {
	Kept    int64 // granted to the VM, and still so
	GivenUp int64 // granted to the VM, but perhaps moved away by others
	Lost    int64 // of those kept, those of which the store knew nothing; negative if it showed more
	Rows    int   // rows of other VMs that are written again as this VM has seen them
	// accounts are those that the transaction declares.
	accounts []string
}

// planDeclaration adds to a transaction what the VM holds of each account, and to the totals
// the difference from what the store shows. Of what it gives up, nothing may be spent from now
// on. If not all accounts fit, the row stays undeclared, and the next transaction goes on.
func (b *Budgets) planDeclaration(t *Transaction, now time.Time) {
	t.Declaration = &Declaration{}
	complete := true
	for _, name := range slices.Sorted(maps.Keys(b.accounts)) {
		if a := b.accounts[name]; a.limited {
			complete = b.declare(t, name, a, now) && complete
		}
	}
	complete = b.planMerges(t) && complete
	t.Declaration.Rows = len(t.Moves)
	if !complete {
		t.VMAllocations.Era = b.restored.Era
	}
}

// declare adds an account to a declaration. It returns false if there is no room left.
func (b *Budgets) declare(t *Transaction, name string, a *account, now time.Time) bool {
	a.updateRate(now)
	kept := b.kept(a)
	t.Declaration.Kept, t.Declaration.GivenUp = t.Declaration.Kept+kept, t.Declaration.GivenUp+a.granted-kept
	a.granted = kept
	shown, absorbed, unaccounted := b.shown(name, a)
	change := a.granted - a.borrowed + absorbed - shown
	t.Declaration.Lost += change
	if change != 0 || unaccounted != 0 {
		if !t.addDeclared(b, name, change, unaccounted) {
			t.VMAllocations.Accounts[name] = b.restored.Accounts[name]
			for i := range a.bounds { // they stay in force
				a.bounds[i].sequence = t.VMAllocations.Sequence
			}
			return false
		}
	}
	t.Declaration.accounts = append(t.Declaration.accounts, name)
	allocation := a.allocation(0, b.homeVMs, b.undrawn(a))
	t.VMAllocations.Accounts[name] = allocation
	a.bounds = append(a.bounds, bound{sequence: t.VMAllocations.Sequence, at: now, allocation: allocation})
	return true
}

// addDeclared adds declared tokens to the change of an account's total. It returns false if
// the transaction has no room for another total.
func (t *Transaction) addDeclared(b *Budgets, name string, declared, unaccounted int64) bool {
	for i := range t.Totals {
		if c := &t.Totals[i]; c.Account == name {
			c.Declared += declared
			c.Total.Drawn += declared
			c.Total.Unaccounted += unaccounted
			return true
		}
	}
	if len(t.Totals) == MaxTotals {
		return false
	}
	a := b.account(name)
	t.Totals = append(t.Totals, TotalChange{Account: name, Version: a.version, Declared: declared, Total: b.totalAfter(a, 0, declared, unaccounted)})
	return true
}

// kept returns the granted tokens that other VMs cannot have moved away since this VM has last
// written its row.
func (b *Budgets) kept(a *account) int64 {
	if b.unmoved() {
		return a.granted
	}
	kept := a.granted
	for _, o := range a.bounds {
		kept = min(kept, o.allocation.offlineMaximum())
	}
	return max(kept, a.committed())
}

// unmoved reports whether the last row that the VM has written was still recent when the store
// had stepped back, so that nobody has moved tokens from it.
func (b *Budgets) unmoved() bool {
	return b.written.Era > 0 && b.firstReadMs < b.written.StoreMs+staleRowAge.Milliseconds()
}

// shown returns the tokens of an account that the store's total has for this VM's row. If the
// row is not of this incarnation, absorbed are those that stay drawn for the predecessor, and
// unaccounted those of them that it may not have used.
func (b *Budgets) shown(name string, a *account) (shown, absorbed, unaccounted int64) {
	shown = b.restored.Accounts[name].net()
	if a.declared || b.restoredBy == b.incarnation {
		return shown, 0, 0
	}
	if p := b.taken; p.row.Incarnation != "" {
		var reclaimed int64
		reclaimed, unaccounted = p.outcome(name)
		absorbed = p.row.Accounts[name].net() - reclaimed
	}
	if b.restoredBy != "" && b.restoredBy != b.taken.row.Incarnation {
		stays := b.restored.Accounts[name] // of an incarnation that nobody knows more of
		absorbed += stays.net()
		unaccounted += max(stays.Granted-stays.Spent, 0)
	}
	return shown, absorbed, unaccounted
}

// planMerges adds to a declaration what the VM has seen of rows whose VMs will not declare: less
// granted, as tokens were moved, or a last row. It returns false if there is no room left.
func (b *Budgets) planMerges(t *Transaction) bool {
	if b.before == nil {
		return true
	}
	complete := true
	for _, vm := range slices.Sorted(maps.Keys(b.before.rows)) {
		stored := b.rows[vm]
		seen := b.before.rows[vm]
		if vm == b.vm || stored.VMAllocations.Era == b.era || seen.Incarnation != stored.VMAllocations.Incarnation || b.mayDeclare(vm, stored.VMAllocations) {
			continue
		}
		if merged, changed := mergeRows(stored.VMAllocations, seen); changed {
			complete = b.addMerge(t, vm, stored, merged) && complete
		}
	}
	return complete
}

// mergeRows returns a row that shows what both rows of an incarnation do. Each write of the VM
// replaces its row, and between two of them others only move tokens away.
func mergeRows(stored, seen VMAllocations) (merged VMAllocations, changed bool) {
	switch {
	case seen.Sequence < stored.Sequence:
		return stored, false
	case seen.Sequence > stored.Sequence:
		seen.Era = stored.Era
		return seen, true
	}
	merged = stored
	merged.Accounts = maps.Clone(stored.Accounts)
	for name, allocation := range stored.Accounts {
		if less := seen.Accounts[name].Granted; less < allocation.Granted {
			allocation.Granted, changed = less, true
			merged.Accounts[name] = allocation
		}
	}
	return merged, changed
}

// addMerge adds the write of another VM's row, with the difference to the totals.
func (b *Budgets) addMerge(t *Transaction, vm string, stored VersionedAllocations, merged VMAllocations) bool {
	names := map[string]bool{}
	for _, accounts := range []map[string]Allocation{stored.VMAllocations.Accounts, merged.Accounts} {
		for name := range accounts {
			names[name] = true
		}
	}
	if len(t.Moves) == MaxMoves || len(t.Totals)+len(names) > MaxTotals {
		return false
	}
	for name := range names {
		if change := merged.Accounts[name].net() - stored.VMAllocations.Accounts[name].net(); change != 0 {
			t.addDeclared(b, name, change, 0)
		}
	}
	t.Moves = append(t.Moves, Move{VM: vm, Version: stored.Version, VMAllocations: merged})
	return true
}

// recordDeclaration records what a transaction that the store applied has declared.
func (b *Budgets) recordDeclaration(t *Transaction) {
	if b.previous.row.Incarnation != "" {
		b.taken, b.previous = b.previous, predecessor{}
	}
	if !b.undeclared {
		return
	}
	if t.VMAllocations.Era == b.era {
		b.undeclared, b.restored = false, VMAllocations{}
		b.dirty, b.plannedAt = true, time.Time{}
		return
	}
	for _, name := range t.Declaration.accounts {
		b.accounts[name].declared = true
	}
	b.restored = t.VMAllocations
}
