package escrow

import (
	"math"
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
	b.vms = len(s.Holdings)
	if _, ok := s.Holdings[b.vm]; !ok {
		b.vms++
	}
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

// VMs returns the number of VMs with a holding, this one included.
func (b *Book) VMs() int { return b.vms }

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

// Due tells whether a transaction is worth its write now: a request waits for
// tokens, or the holding was not written for a period.
func (b *Book) Due(now time.Time) bool {
	if !b.ready {
		return false
	}
	if b.pending != nil || b.closing && b.dirty {
		return true
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

// unbalanced tells whether an account's holding is far from its target.
func (b *Book) unbalanced() bool {
	for _, a := range b.accounts {
		if a.limited && a.version >= 0 && a.change(b.vms, a.prepaid-a.total) != 0 {
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
		grant = a.change(b.vms, a.prepaid-a.total+reclaimed)
	}
	if b.closing {
		grant = min(a.committed()-a.granted, 0)
	}
	if grant != 0 || reclaimed != 0 || doubtful != 0 {
		total := Total{Drawn: a.total - reclaimed + grant, Unknown: a.unknown + doubtful}
		t.Totals = append(t.Totals, TotalChange{Account: name, Version: a.version, Total: total, Grant: grant, Reclaim: reclaimed, Left: a.prepaid - total.Drawn})
	}
	if grant < 0 {
		a.granted += grant
	}
	held := a.held(max(grant, 0), b.vms)
	t.Holding.Accounts[name] = held
	a.bounds = append(a.bounds, bound{sequence: t.Holding.Sequence, at: now, held: held})
}

// change returns the tokens to draw, or to return when negative. left is what
// no VM has drawn.
func (a *account) change(vms int, left int64) int64 {
	left = max(left, 0)
	free := a.granted - a.committed()
	target := a.target(vms, left+free+a.others.free)
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
func (a *account) target(vms int, unspent int64) float64 {
	return heldShare * float64(unspent) * a.weight(vms)
}

// weight returns the VM's share of an account by the rates of all VMs.
func (a *account) weight(vms int) float64 {
	total := a.rate + a.others.rate
	idle := idleWeight*total/float64(vms) + 1 // not zero, so that shares exist
	return (a.rate + idle) / (total + idle*float64(vms))
}

// held returns the account's entry in a holding that gains grant.
func (a *account) held(grant int64, vms int) Held {
	committed := a.committed()
	granted := a.granted + grant
	free := max(granted-committed, 0)
	unspent := max(a.prepaid-a.total, 0) + free + a.others.free
	burst := int64(burstShare*float64(unspent)*a.weight(vms)) + a.waiting
	fast := max(fastFactor*a.rate, float64(free)/fastDrain.Seconds())
	return Held{
		Granted: granted, Spent: a.spent, Lent: a.lent, Committed: committed, Rate: int64(a.rate),
		Burst: min(burst, free), Later: int64(a.rate * laterSpan.Seconds()), PerSecond: int64(slowFactor * a.rate), Fast: int64(fast),
	}
}

// Applied takes the news that the pending transaction was carried out, with
// the version that its rows have now.
func (b *Book) Applied(version int64) {
	t := b.pending
	if t == nil {
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

// Conflict takes the news that the pending transaction's condition failed.
// When the VM's own row shows that an earlier send of the same transaction
// was carried out, it counts as applied. Before the first own write a changed
// row is the predecessor's last write, carried out late. It returns false when
// another incarnation of this VM has taken over.
func (b *Book) Conflict(c Snapshot) bool {
	t := b.pending
	if t == nil {
		return true
	}
	own := c.Holdings[b.vm]
	if own.Holding.Incarnation == b.incarnation && own.Holding.Sequence == t.Holding.Sequence {
		b.Applied(own.Version)
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

// Unspent returns a copy of what each account has free, for reports.
func (b *Book) Unspent(now time.Time) map[string]int64 {
	free := map[string]int64{}
	for name, a := range b.accounts {
		if a.limited {
			free[name] = a.free(now)
		}
	}
	return free
}

// Outcome is the store's answer to a transaction.
type Outcome struct {
	Applied bool
	Version int64 // of the changed rows
	StoreMs int64 // the store's clock
	At      time.Time
	Current Snapshot // of the conditions' rows, when it was not applied
}
