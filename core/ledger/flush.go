package ledger

import (
	"slices"
	"time"

	"hawthornspar/core/budget"
	"hawthornspar/core/entity"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// Size limits of one flush transaction. Grants beyond maxGrantsPerFlush draw
// and return nothing, but the charges to them are written.
const (
	maxChargesPerFlush = 1_000
	maxGrantsPerFlush  = 200
)

// Flusher packs this VM's new charges, draws and returns into one transaction.
type Flusher struct {
	charges  []entity.Charge // not yet in the ledger, by sequence
	sequence int64           // of the newest charge
	batch    int64           // number of the newest ledger row
	nextAt   time.Time       // of the next periodic flush
	included int             // charges in the transaction in flight
	updates  []*grantUpdate  // of the transaction in flight
	copier   *Copier
}

// grantUpdate is one grant's part of the transaction in flight. It keeps the
// rows as written, since the grant's own copy of the budget's row may be
// replaced by a read before the transaction commits.
type grantUpdate struct {
	grant       *entity.Grant
	movesTokens bool // the transaction draws or returns tokens, so that the budget's row changes
	budget      entity.BudgetRow
	row         entity.GrantRow
}

// NewFlusher returns the transaction source that flushes charges. It informs
// copier of the charges that are in the ledger.
func NewFlusher(copier *Copier) *Flusher { return &Flusher{copier: copier} }

// Unflushed returns the number of charges that are not yet in the ledger.
func (f *Flusher) Unflushed() int { return len(f.charges) }

// Add queues a charge for the ledger. It returns the charge with its origin
// and its sequence number set.
func (f *Flusher) Add(w *world.World, c entity.Charge) entity.Charge {
	f.sequence++
	c.Sequence = f.sequence
	c.Origin = w.Self.Incarnation
	f.charges = append(f.charges, c)
	return c
}

// Compose implements TransactionSource.
func (f *Flusher) Compose(w *world.World) ([]entity.Check, []entity.Put) {
	if !f.due(w) {
		return nil, nil
	}
	f.nextAt = w.Now.Add(w.Policy.FlushInterval)
	f.included = min(len(f.charges), maxChargesPerFlush)
	f.updates = f.collectUpdates(w)
	return f.checksAndPuts(w)
}

// due reports whether to flush now: periodically, without delay during a
// shutdown, and when a request or a peer waits for a draw or a return.
func (f *Flusher) due(w *world.World) bool {
	if !w.Now.Before(f.nextAt) || w.ShuttingDown {
		return true
	}
	for _, g := range w.Grants.Rows() {
		if g.Urgent && (g.WantDraw > 0 || g.WantReturn > 0) {
			return true
		}
	}
	return false
}

// collectUpdates returns the changes of all grants that the transaction writes.
func (f *Flusher) collectUpdates(w *world.World) []*grantUpdate {
	spent := f.spentByBudget()
	var updates []*grantUpdate
	for _, g := range w.Grants.Rows() {
		sum, charged := spent.Get(g.Budget)
		if len(updates) < maxGrantsPerFlush {
			f.planTransfer(w, g)
		}
		if charged || g.Drawing != 0 || g.Returning != 0 {
			updates = append(updates, newGrantUpdate(w, g, sum, f.flushedThrough()))
		}
	}
	return updates
}

// spentByBudget returns what the included charges cost each budget, in tokens.
func (f *Flusher) spentByBudget() entity.Table[string, int64] {
	var spentByBudget entity.Table[string, int64]
	for _, c := range f.charges[:f.included] {
		n, _ := spentByBudget.Get(c.Budget)
		spentByBudget.Put(c.Budget, n+c.Tokens)
	}
	return spentByBudget
}

// flushedThrough returns the sequence number of the newest charge that is in
// the ledger after this transaction. Charges are flushed in sequence order.
func (f *Flusher) flushedThrough() int64 { return f.sequence - int64(len(f.charges)-f.included) }

// planTransfer decides how many tokens the transaction draws or returns for a
// grant. Tokens that are being returned cannot be reserved.
func (f *Flusher) planTransfer(w *world.World, g *entity.Grant) {
	if g.ReadAt.IsZero() {
		return
	}
	g.Drawing = min(g.WantDraw, max(g.BudgetRow.Remaining(), 0))
	if g.Drawing == 0 {
		g.Returning = min(g.WantReturn, max(g.Free(), 0))
	}
	if g.Returning == 0 && len(g.ReturnRequesters) > 0 {
		g.WantReturn = 0
		budget.NotifyReturned(w, g, 0)
	}
}

func newGrantUpdate(w *world.World, g *entity.Grant, spent, through int64) *grantUpdate {
	u := &grantUpdate{grant: g, movesTokens: g.Drawing != 0 || g.Returning != 0}
	u.row = entity.GrantRow{
		Budget:   g.Budget,
		Drawn:    g.Drawn + g.Drawing,
		Spent:    g.Flushed + spent,
		Returned: g.Returned + g.Returning,
		Sequence: through,
	}
	u.budget = g.BudgetRow
	u.budget.Drawn += g.Drawing
	u.budget.Returned += g.Returning
	u.budget.Holders = updateHolders(w, g.BudgetRow.Holders, u.row.Unspent() > 0)
	return u
}

// updateHolders returns a budget's holders with this incarnation included or
// not, depending on holds.
func updateHolders(w *world.World, all []string, holds bool) []string {
	kept := slices.DeleteFunc(slices.Clone(all), func(h string) bool { return h == w.Self.Incarnation })
	if holds {
		kept = append(kept, w.Self.Incarnation)
	}
	return kept
}

// checksAndPuts returns the checks and puts of the collected updates and of a
// ledger row with the included charges.
func (f *Flusher) checksAndPuts(w *world.World) ([]entity.Check, []entity.Put) {
	var checks []entity.Check
	var puts []entity.Put
	for _, u := range f.updates {
		if u.movesTokens {
			key := entity.BudgetKey(u.grant.Budget)
			checks = append(checks, entity.Check{Key: key, Version: u.grant.BudgetVersion})
			puts = append(puts, entity.Put{Key: key, Document: u.budget})
		}
		puts = append(puts, u.grantPut(w))
	}
	if f.included > 0 {
		row := entity.LedgerRow{Charges: slices.Clone(f.charges[:f.included])}
		puts = append(puts, entity.Put{Key: entity.LedgerKey(w.Self.Incarnation, f.batch+1), Document: row})
	}
	return checks, puts
}

// grantPut writes the grant's row, or deletes it if all its tokens are spent
// or returned.
func (u *grantUpdate) grantPut(w *world.World) entity.Put {
	key := entity.GrantKey(w.Self.Incarnation, u.grant.Budget)
	if u.row.Unspent() == 0 {
		return entity.Put{Key: key, Document: entity.Tombstone{}}
	}
	return entity.Put{Key: key, Document: u.row}
}

// Committed implements TransactionSource.
func (f *Flusher) Committed(w *world.World, version int64) {
	for _, u := range f.updates {
		u.commit(w, version)
	}
	if f.included > 0 {
		f.batch++
		f.charges = slices.Delete(f.charges, 0, f.included)
		f.copier.RecordFlushed(w, f.sequence-int64(len(f.charges)))
	}
	w.Emit(outbox.Count{Counter: world.CounterTable, Reason: "flush"})
}

// commit applies the committed rows to the grant, and replies to the peers
// that wait for returned tokens.
func (u *grantUpdate) commit(w *world.World, version int64) {
	g := u.grant
	g.Drawn, g.Flushed, g.Returned = u.row.Drawn, u.row.Spent, u.row.Returned
	returned := g.Returning
	g.Drawing, g.Returning = 0, 0
	if !u.movesTokens {
		return
	}
	budget.UpdateRow(w, g, entity.Row{Version: version, Document: u.budget})
	g.WantDraw, g.WantReturn, g.Urgent = 0, 0, false
	if len(g.ReturnRequesters) > 0 {
		budget.NotifyReturned(w, g, returned)
	}
}

// Conflicted implements TransactionSource. The budgets' current rows are
// applied and the next flush is due immediately.
func (f *Flusher) Conflicted(w *world.World, rows []entity.Row) {
	for _, u := range f.updates {
		g := u.grant
		g.Drawing, g.Returning = 0, 0
		for _, row := range rows {
			if row.Key == entity.BudgetKey(g.Budget) {
				budget.UpdateRow(w, g, row)
			}
		}
	}
	f.nextAt = w.Now
	w.Emit(outbox.Count{Counter: world.CounterRetries, Reason: "tableConflict"})
}
