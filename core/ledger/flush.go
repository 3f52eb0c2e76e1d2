package ledger

import (
	"slices"
	"time"

	"hawthornspar/core/budget"
	"hawthornspar/core/entity"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// Limits of one packed transaction.
const (
	maxChargesPerFlush = 1_000
	maxGrantsPerFlush  = 200
)

// Flush packs this VM's new charges, draws and returns into one transaction.
type Flush struct {
	charges  []entity.Charge // not yet in the ledger, by sequence
	sequence int64           // of the newest charge
	batch    int64           // number of the newest ledger row
	nextAt   time.Time
	included int // charges in the transaction under way
	entries  []*entry
	copies   *Copies
}

// entry is one grant's part of the transaction under way. It keeps the rows
// as written, since the grant's own copy may be read anew meanwhile.
type entry struct {
	grant  *entity.Grant
	moves  bool // the budget's row changes
	budget entity.BudgetRow
	row    entity.GrantRow
}

// NewFlush returns the part that flushes charges, and tells copies of it.
func NewFlush(copies *Copies) *Flush { return &Flush{copies: copies} }

// Unflushed returns how many charges are not yet in the ledger.
func (f *Flush) Unflushed() int { return len(f.charges) }

// Add takes a charge into the next batch and returns it with its sequence.
func (f *Flush) Add(w *world.World, c entity.Charge) entity.Charge {
	f.sequence++
	c.Sequence = f.sequence
	c.Origin = w.Self.Incarnation
	f.charges = append(f.charges, c)
	return c
}

// Compose implements Part.
func (f *Flush) Compose(w *world.World) ([]entity.Check, []entity.Put) {
	if !f.due(w) {
		return nil, nil
	}
	f.nextAt = w.Now.Add(w.Policy.FlushEvery)
	f.included = min(len(f.charges), maxChargesPerFlush)
	f.entries = f.collect(w)
	return f.write(w)
}

func (f *Flush) due(w *world.World) bool {
	if !w.Now.Before(f.nextAt) || w.Leaving {
		return true
	}
	for _, g := range w.Grants.Rows() {
		if g.Urgent && (g.WantDraw > 0 || g.WantBack > 0) {
			return true
		}
	}
	return false
}

// collect returns the grants that the transaction changes.
func (f *Flush) collect(w *world.World) []*entry {
	spent := f.sums()
	var entries []*entry
	for _, g := range w.Grants.Rows() {
		sum, charged := spent.Get(g.Budget)
		if len(entries) < maxGrantsPerFlush {
			f.move(w, g)
		}
		if charged || g.Drawing != 0 || g.Returning != 0 {
			entries = append(entries, newEntry(w, g, sum, f.through()))
		}
	}
	return entries
}

// sums returns what the batch charges to each budget.
func (f *Flush) sums() entity.Table[string, int64] {
	var sums entity.Table[string, int64]
	for _, c := range f.charges[:f.included] {
		n, _ := sums.Get(c.Budget)
		sums.Put(c.Budget, n+c.Tokens)
	}
	return sums
}

// through returns the newest charge that is in the ledger after this batch.
// Charges are flushed in the order of their sequence.
func (f *Flush) through() int64 { return f.sequence - int64(len(f.charges)-f.included) }

// move decides what the transaction draws and returns. Tokens under return
// cannot be reserved.
func (f *Flush) move(w *world.World, g *entity.Grant) {
	if g.ReadAt.IsZero() {
		return
	}
	g.Drawing = min(g.WantDraw, max(g.Row.Left(), 0))
	if g.Drawing == 0 {
		g.Returning = min(g.WantBack, max(g.Free(), 0))
	}
	if g.Returning == 0 && len(g.AskedBy) > 0 {
		g.WantBack = 0
		budget.ReturnDone(w, g, 0)
	}
}

func newEntry(w *world.World, g *entity.Grant, spent, through int64) *entry {
	e := &entry{grant: g, moves: g.Drawing != 0 || g.Returning != 0}
	e.row = entity.GrantRow{
		Budget:   g.Budget,
		Drawn:    g.Drawn + g.Drawing,
		Spent:    g.Flushed + spent,
		Returned: g.Returned + g.Returning,
		Sequence: through,
	}
	e.budget = g.Row
	e.budget.Drawn += g.Drawing
	e.budget.Returned += g.Returning
	e.budget.Holders = holders(w, g.Row.Holders, e.row.Unspent() > 0)
	return e
}

// holders lists this incarnation among a budget's holders, or no longer.
func holders(w *world.World, all []string, holds bool) []string {
	kept := slices.DeleteFunc(slices.Clone(all), func(h string) bool { return h == w.Self.Incarnation })
	if holds {
		kept = append(kept, w.Self.Incarnation)
	}
	return kept
}

func (f *Flush) write(w *world.World) ([]entity.Check, []entity.Put) {
	var checks []entity.Check
	var puts []entity.Put
	for _, e := range f.entries {
		if e.moves {
			key := entity.BudgetKey(e.grant.Budget)
			checks = append(checks, entity.Check{Key: key, Version: e.grant.Version})
			puts = append(puts, entity.Put{Key: key, Document: e.budget})
		}
		puts = append(puts, e.grantPut(w))
	}
	if f.included > 0 {
		row := entity.LedgerRow{Charges: slices.Clone(f.charges[:f.included])}
		puts = append(puts, entity.Put{Key: entity.LedgerKey(w.Self.Incarnation, f.batch+1), Document: row})
	}
	return checks, puts
}

// grantPut writes the grant's row, or deletes it when nothing is left in it.
func (e *entry) grantPut(w *world.World) entity.Put {
	key := entity.GrantKey(w.Self.Incarnation, e.grant.Budget)
	if e.row.Unspent() == 0 {
		return entity.Put{Key: key, Document: entity.Absent{}}
	}
	return entity.Put{Key: key, Document: e.row}
}

// Committed implements Part.
func (f *Flush) Committed(w *world.World, version int64) {
	for _, e := range f.entries {
		e.commit(w, version)
	}
	if f.included > 0 {
		f.batch++
		f.charges = slices.Delete(f.charges, 0, f.included)
		f.copies.Flushed(w, f.sequence-int64(len(f.charges)))
	}
	w.Emit(outbox.Count{Counter: world.CounterTable, Reason: "flush"})
}

func (e *entry) commit(w *world.World, version int64) {
	g := e.grant
	g.Drawn, g.Flushed, g.Returned = e.row.Drawn, e.row.Spent, e.row.Returned
	returned := g.Returning
	g.Drawing, g.Returning = 0, 0
	if !e.moves {
		return
	}
	budget.Learn(w, g, entity.Row{Version: version, Document: e.budget})
	g.WantDraw, g.WantBack, g.Urgent = 0, 0, false
	if len(g.AskedBy) > 0 {
		budget.ReturnDone(w, g, returned)
	}
}

// Conflicted implements Part.
func (f *Flush) Conflicted(w *world.World, rows []entity.Row) {
	for _, e := range f.entries {
		g := e.grant
		g.Drawing, g.Returning = 0, 0
		for _, row := range rows {
			if row.Key == entity.BudgetKey(g.Budget) {
				budget.Learn(w, g, row)
			}
		}
	}
	f.nextAt = w.Now
	w.Emit(outbox.Count{Counter: world.CounterRetries, Reason: "tableConflict"})
}
