package escrow

import (
	"time"
)

// totalsPerTransaction keeps a transaction, with a condition and a change for
// each row, within the 100 entries that the store takes.
const totalsPerTransaction = 45

// Transaction is one atomic change of the store: all rows must still have
// their versions.
type Transaction struct {
	Totals  []TotalChange
	Holding Holding
	Version int64 // that the VM's own row must have; 0 when it must not exist
}

// TotalChange replaces the total of one account.
type TotalChange struct {
	Account string
	Version int64 // that the row must have; 0 when it must not exist
	Total   Total
	Grant   int64 // tokens that the VM's holding gains; negative for a return
	Reclaim int64 // tokens taken back from the VM's predecessor
	Left    int64 // tokens that no VM has drawn afterwards
}

// Observe takes a snapshot of the whole store.
func (b *Book) Observe(s Snapshot) {
	b.snapshot = s
	b.readAll(s)
	for name, a := range b.accounts {
		if a.version < 0 {
			a.version = 0 // the row does not exist yet
		}
		a.others = others{}
		for vm, h := range s.Holdings {
			if vm == b.vm {
				continue
			}
			held := h.Holding.Accounts[name]
			a.others.free += held.free()
			a.others.rate += float64(held.Rate)
		}
	}
}

// Start takes the predecessor's holding, with its row's version; 0 when there is
// none. The predecessor was dead when the store's clock showed diedMs.
func (b *Book) Start(h Holding, version, diedMs int64) {
	b.diedMs = diedMs
	b.predecessor = h
	b.sequence = h.Sequence
	b.ownVersion = version
	b.ready = true
	b.dirty = true
	for name, held := range h.Accounts {
		b.account(name).rate = float64(held.Rate)
	}
}

// Ready tells whether Start was called.
func (b *Book) Ready() bool { return b.ready }

// ReadTotal takes an account's row; version is 0 when it does not exist.
func (b *Book) ReadTotal(name string, t Total, version int64) {
	a := b.account(name)
	if version >= a.version {
		a.total, a.unknown, a.version = t.Drawn, t.Unknown, version
	}
}

// Unread tells whether the total of a limited account has not been read.
func (b *Book) Unread() bool {
	for _, a := range b.accounts {
		if a.limited && a.version < 0 {
			return true
		}
	}
	return false
}

// Applied takes the news that a transaction was carried out, with the version
// that its rows have now. News of another than the pending one is old.
func (b *Book) Applied(t *Transaction, version int64) {
	if t == nil || t != b.pending {
		return
	}
	b.pending = nil
	b.ownVersion = version
	b.predecessor = Holding{}
	b.owned = true
	for _, c := range t.Totals {
		a := b.accounts[c.Account]
		a.granted += max(c.Grant, 0)
		a.total, a.unknown, a.version = c.Total.Drawn, c.Total.Unknown, version
	}
	b.settleBounds(t.Holding.Sequence)
}

// settleBounds drops the bounds of holdings that were replaced.
func (b *Book) settleBounds(sequence int64) {
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

// Conflict takes the news that a transaction's condition failed. News of another
// than the pending one is old: undoing the pending one, which may be carried
// out, would count its tokens twice.
// When the VM's own row shows that an earlier send of the same transaction
// was carried out, it counts as applied. Before the first own write a changed
// row is the predecessor's last write, carried out late. It returns false when
// another incarnation of this VM has taken over.
func (b *Book) Conflict(t *Transaction, c Snapshot) bool {
	if t == nil || t != b.pending {
		return true
	}
	own := c.Holdings[b.vm]
	if own.Holding.Incarnation == b.incarnation && own.Holding.Sequence == t.Holding.Sequence {
		b.Applied(t, own.Version)
		b.readAll(c)
		return true
	}
	b.pending = nil
	b.undo(t)
	if own.Version != b.ownVersion {
		if b.owned {
			return false
		}
		b.Start(own.Holding, own.Version, b.diedMs)
	}
	b.readAll(c)
	b.dirty = true
	b.reported = time.Time{}
	return true
}

// undo takes back a transaction that was not and will not be carried out.
func (b *Book) undo(t *Transaction) {
	for _, c := range t.Totals {
		if c.Grant < 0 {
			b.accounts[c.Account].granted -= c.Grant
		}
	}
	for _, a := range b.accounts {
		kept := a.bounds[:0]
		for _, o := range a.bounds {
			if o.sequence != t.Holding.Sequence {
				kept = append(kept, o)
			}
		}
		a.bounds = kept
	}
}

func (b *Book) readAll(c Snapshot) {
	for name, v := range c.Totals {
		b.ReadTotal(name, v.Total, v.Version)
	}
}

// Close makes the next transactions return all that is free.
func (b *Book) Close() {
	b.closing = true
	b.dirty = true
}

// Outcome is the store's answer to a transaction.
type Outcome struct {
	Applied bool
	Version int64 // of the changed rows
	StoreMs int64 // the store's clock
	At      time.Time
	Current Snapshot // of the conditions' rows, when it was not applied
}
