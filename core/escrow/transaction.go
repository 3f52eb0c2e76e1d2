package escrow

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornspar/core/revision"
)

// MaxTotals keeps a transaction, with a condition and a change for
// each row, and those for its era, within the 100 entries that the store accepts.
const MaxTotals = 40

// Transaction is one atomic change of the store. It is applied only if all its
// rows still have the given versions.
type Transaction struct {
	Era           revision.Era // in which it was decided; it must not be applied in a later one
	Mark          *MarkChange  // nil for no change
	Totals        []TotalChange
	Moves         []Move           // from the rows of other VMs
	VMAllocations VMAllocations    // new content of the VM's row
	Version       revision.Version // required of the VM's row; 0 when it must not exist
	// Declaration is set if the transaction declares what the VM holds over a step back.
	Declaration *Declaration
}

// TotalChange replaces the total of one account.
type TotalChange struct {
	Account   string
	Version   revision.Version // required of the total's row; 0 when it must not exist
	Total     Total
	Grant     int64 // tokens that the VM draws; negative when it returns them
	Reclaimed int64 // tokens reclaimed from the VM's previous incarnation
	Undrawn   int64 // tokens that no VM has drawn once the change is applied
	// Declared are the tokens that VMs hold beyond what a store showed that has come back from
	// a copy; negative if it showed more. WrittenOff are tokens that VMs that did not declare
	// may have drawn.
	Declared, WrittenOff int64
}

// SetSnapshot records a snapshot of all rows of the accounts' group. It ignores one of an
// earlier era and returns false then.
func (b *Budgets) SetSnapshot(s Snapshot) bool {
	if s.Era < b.era {
		return false
	}
	b.StepBack(s.Era)
	b.snapshot = s
	if b.firstReadMs == 0 {
		b.firstReadMs = b.clock.ms
	}
	b.recordMark(s.Mark)
	b.recordRows(s)
	b.recordTotals(s)
	for name, a := range b.accounts {
		a.totalRead = true // the row need not exist
		a.otherVMs = otherVMs{}
		for vm, row := range s.Allocations {
			if vm == b.vm {
				continue
			}
			allocation := row.VMAllocations.Accounts[name]
			a.otherVMs.free += allocation.free()
			a.otherVMs.tokenRate += float64(allocation.TokenRate)
		}
	}
	return true
}

// TakeOver takes over the row of the previous incarnation. version is the row's
// version, 0 when there is none; the previous incarnation had ended when the
// store's clock showed previousEndMs.
//
// After a step back of the store, row is what the store has of this VM's row, which a VM that
// ran through it declares anew.
func (b *Budgets) TakeOver(row VMAllocations, version revision.Version, previousEndMs int64) {
	b.ownVersion = version
	if b.ranThroughStepBack() || row.Incarnation == b.incarnation { // it was written late
		b.restore(row)
		return
	}
	if b.before == nil && b.sequence == 0 {
		b.since = b.era
	}
	trusted := version.IsZero() || b.trusts(row)
	if !trusted && !b.waitedForSettlement() {
		return
	}
	b.previous = predecessor{row: row, endMs: previousEndMs, lost: !trusted}
	b.sequence = max(b.sequence, row.Sequence)
	b.ready = true
	b.dirty = true
	for name, allocation := range row.Accounts {
		b.account(name).tokenRate = float64(allocation.TokenRate)
	}
}

// Ready reports whether TakeOver was called.
func (b *Budgets) Ready() bool { return b.ready }

// recordTotal records an account's row unless a newer one is known. version is zero
// when the row does not exist.
func (b *Budgets) recordTotal(name string, t Total, version revision.Version) {
	a := b.account(name)
	if !a.totalRead || !a.version.NewerThan(version) {
		a.total, a.version, a.totalRead = t, version, true
	}
}

// HasUnreadTotals reports whether the total of a limited account has not been
// read.
func (b *Budgets) HasUnreadTotals() bool {
	for _, a := range b.accounts {
		if a.limited && !a.totalRead {
			return true
		}
	}
	return false
}

// Applied records that the store applied a transaction, with the version that
// its rows have now. It ignores any transaction except the pending one, as the
// response to another one is outdated.
func (b *Budgets) Applied(t *Transaction, version revision.Version) {
	if t == nil || t != b.pending {
		return
	}
	b.applyGrants(t, version)
	if t.Mark != nil {
		b.recordMark(VersionedMark{Mark: t.Mark.Mark, Version: version})
	}
	for _, c := range t.Totals {
		b.recordTotal(c.Account, c.Total, version)
	}
	for _, m := range t.Moves {
		b.recordRow(m.VM, VersionedAllocations{VMAllocations: m.VMAllocations, Version: version})
	}
}

// applyGrants records the drawn and moved tokens of a transaction that the store
// applied, and the version that the VM's row has.
func (b *Budgets) applyGrants(t *Transaction, version revision.Version) {
	b.pending = nil
	b.ownVersion = version
	b.written = t.VMAllocations
	b.recordDeclaration(t)
	b.ownRowWritten = true
	for _, c := range t.Totals {
		a := b.accounts[c.Account]
		a.granted += max(c.Grant, 0)
		a.conflicts = 0
	}
	b.applyMoves(t)
	b.dropBoundsBefore(t.VMAllocations.Sequence)
}

// dropBoundsBefore drops the bounds of writes that the one with the given
// sequence number replaced.
func (b *Budgets) dropBoundsBefore(sequence int64) {
	for _, a := range b.accounts {
		kept := a.bounds[:0]
		for _, o := range a.bounds {
			if o.sequence >= sequence {
				kept = append(kept, o)
			}
		}
		a.bounds = kept
	}
}

// Conflict records that a condition of a transaction failed. It ignores any
// transaction except the pending one, as the response to another one is
// outdated: undoing the pending one, which may still be applied, would count
// its tokens twice.
//
// When the VM's row shows that an earlier attempt of the same transaction was
// applied, the transaction counts as applied. Its rows may have changed since, so
// that only the response tells their versions. A changed row with the content of
// this incarnation's last write is one from which other VMs have moved tokens.
// Before this incarnation's first write, a changed row is the previous
// incarnation's last write, applied late or moved from. Conflict returns false
// when another incarnation of this VM has taken over.
func (b *Budgets) Conflict(t *Transaction, c Snapshot) bool {
	if t == nil || t != b.pending {
		return true
	}
	own := c.Allocations[b.vm]
	if own.VMAllocations.Incarnation == b.incarnation && own.VMAllocations.Sequence == t.VMAllocations.Sequence {
		b.applyGrants(t, own.Version)
		b.adoptMoves(own)
		b.recordMark(c.Mark)
		b.recordRows(c)
		b.recordTotals(c)
		return true
	}
	b.pending = nil
	b.undo(t)
	b.deferAdjustments(t, c)
	b.deferMoves(t, c)
	switch {
	case own.Version == b.ownVersion:
	case b.undeclared:
		b.restored, b.ownVersion = own.VMAllocations, own.Version
	case !b.ownRowWritten:
		b.TakeOver(own.VMAllocations, own.Version, b.previous.endMs)
	case own.VMAllocations.Incarnation == b.incarnation && own.VMAllocations.Sequence == b.written.Sequence:
		b.adoptMoves(own)
	default:
		return false
	}
	b.recordMark(c.Mark)
	b.recordRows(c)
	b.recordTotals(c)
	b.dirty = true
	b.plannedAt = time.Time{}
	return true
}

// maxConflictDoublings bounds how often the number of transactions that leave a
// total alone doubles.
const maxConflictDoublings = 4

// deferAdjustments makes the next transactions leave those totals alone that
// other VMs have changed meanwhile, so that the VM's own allocations, which other
// VMs rarely change, are written without another conflict. The number is
// different for each VM and doubles in the mean with each conflict in a row.
func (b *Budgets) deferAdjustments(t *Transaction, c Snapshot) {
	for _, total := range t.Totals {
		if c.Totals[total.Account].Version == total.Version {
			continue
		}
		a := b.accounts[total.Account]
		a.conflicts++
		limit := 1 << min(a.conflicts, maxConflictDoublings)
		seed := b.vm + "/" + total.Account + "/" + strconv.FormatInt(b.sequence, 10)
		a.deferredAdjustments = 1 + int(xxhash.Sum64String(seed)%uint64(limit))
	}
}

// undo reverts the effects of planning a transaction that was not applied and
// will not be.
func (b *Budgets) undo(t *Transaction) {
	for _, c := range t.Totals {
		if c.Grant < 0 {
			b.accounts[c.Account].granted -= c.Grant
		}
	}
	for _, a := range b.accounts {
		kept := a.bounds[:0]
		for _, o := range a.bounds {
			if o.sequence != t.VMAllocations.Sequence {
				kept = append(kept, o)
			}
		}
		a.bounds = kept
	}
}

// recordRows records the rows of other VMs of a snapshot.
func (b *Budgets) recordRows(c Snapshot) {
	for vm, row := range c.Allocations {
		b.recordRow(vm, row)
	}
}

// recordTotals records the totals of a snapshot.
func (b *Budgets) recordTotals(c Snapshot) {
	for name, v := range c.Totals {
		b.recordTotal(name, v.Total, v.Version)
	}
}

// Close makes the next transactions return all free tokens.
func (b *Budgets) Close() {
	b.closing = true
	b.dirty = true
}

// Outcome is the store's response to a transaction.
type Outcome struct {
	Applied bool
	Version revision.Version // of the changed rows
	StoreMs int64            // the store's clock
	At      time.Time
	Current Snapshot // rows of the conditions, when the transaction was not applied
}
