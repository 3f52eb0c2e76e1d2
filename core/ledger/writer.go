// Package ledger writes charges, grants and recoveries to the table, one
// transaction at a time, so that each takes effect exactly once.
package ledger

import (
	"time"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// Part contributes transactions to the writer.
type Part interface {
	// Compose returns the conditions and writes that are due, none if nothing is.
	Compose(w *world.World) ([]entity.Check, []entity.Put)
	// Committed is told that the last composed transaction took effect.
	Committed(w *world.World, version int64)
	// Conflicted is told that it did not, with the rows that differ.
	Conflicted(w *world.World, rows []entity.Row)
}

// Writer owns this VM's row. Each transaction checks the row's version and
// increments its sequence number, so resending one after a lost answer cannot
// repeat it, and another incarnation's takeover stops all later ones.
type Writer struct {
	parts    []Part
	row      entity.VMRow
	version  int64
	flight   *flight
	reading  int64
	checking int64 // read of this VM's row after a pause
	nextTry  time.Time
}

type flight struct {
	transact outbox.Transact
	part     Part
	row      entity.VMRow
	resendAt time.Time
	waiting  bool
	wait     time.Duration
}

// NewWriter returns a writer that serves parts in order.
func NewWriter(parts ...Part) *Writer { return &Writer{parts: parts} }

// Registered tells whether this incarnation owns its row.
func (t *Writer) Registered() bool { return t.version > 0 }

// Row returns this VM's row as last committed.
func (t *Writer) Row() entity.VMRow { return t.row }

// Idle tells whether no transaction is under way.
func (t *Writer) Idle() bool { return t.flight == nil }

// Handle implements world.System.
func (t *Writer) Handle(w *world.World, event inbox.Event) {
	switch e := event.(type) {
	case inbox.ReadDone:
		if e.ID == t.reading {
			t.reading = 0
			t.takeOver(w, e)
		}
		if e.ID == t.checking {
			t.checking = 0
			t.checked(w, e)
		}
	case inbox.TransactDone:
		if t.flight != nil && t.flight.transact.ID == e.ID {
			t.done(w, e)
		}
	}
}

// Tick implements world.System.
func (t *Writer) Tick(w *world.World) {
	if w.Fenced {
		return
	}
	t.check(w)
	if t.flight != nil {
		t.resend(w)
		return
	}
	if !t.Registered() {
		t.register(w)
		return
	}
	for _, p := range t.parts {
		checks, puts := p.Compose(w)
		if len(puts) > 0 {
			t.start(w, p, checks, puts, t.row)
			return
		}
	}
}

// check reads this VM's row after the process stood still, since another
// incarnation may have replaced it meanwhile.
func (t *Writer) check(w *world.World) {
	if !w.Paused || t.checking != 0 || w.Now.Before(t.nextTry) {
		return
	}
	if !t.Registered() {
		w.Paused = false
		return
	}
	t.checking = t.readRow(w)
}

func (t *Writer) checked(w *world.World, e inbox.ReadDone) {
	if !e.OK || len(e.Rows) != 1 {
		return
	}
	row, _ := e.Rows[0].Document.(entity.VMRow)
	if row.Incarnation != w.Self.Incarnation || row.Closed {
		w.Fence("row was taken over during a pause")
		return
	}
	w.Paused = false
}

// register reads this VM's row in order to take it over.
func (t *Writer) register(w *world.World) {
	if t.reading != 0 || w.Now.Before(t.nextTry) {
		return
	}
	t.reading = t.readRow(w)
}

// readRow reads this VM's row and returns the read's id.
func (t *Writer) readRow(w *world.World) int64 {
	t.nextTry = w.Now.Add(w.Policy.ResendMin)
	id := w.NextID()
	w.Emit(outbox.Read{ID: id, Keys: []string{entity.VMKey(w.Self.Name)}})
	return id
}

// takeOver claims the row from the VM's earlier incarnation, whose grants
// become this one's to recover.
func (t *Writer) takeOver(w *world.World, e inbox.ReadDone) {
	if !e.OK || len(e.Rows) != 1 {
		return
	}
	earlier, _ := e.Rows[0].Document.(entity.VMRow)
	row := entity.VMRow{
		Name: w.Self.Name, Incarnation: w.Self.Incarnation,
		Address: w.Self.Address, Domain: w.Self.Domain,
		Unrecovered: earlier.Unrecovered,
	}
	if earlier.Incarnation != "" && !earlier.Closed {
		row.Unrecovered = append(row.Unrecovered, earlier.Incarnation)
	}
	t.version = e.Rows[0].Version
	t.send(w, nil, nil, nil, row)
	t.version = 0
}

// start sends a part's transaction with the fence of this VM's row.
func (t *Writer) start(w *world.World, part Part, checks []entity.Check, puts []entity.Put, row entity.VMRow) {
	row.Sequence++
	for i, p := range puts {
		own, ok := p.Document.(entity.VMRow)
		if ok && p.Key == entity.VMKey(w.Self.Name) {
			own.Sequence = row.Sequence
			row = own
			puts = append(puts[:i:i], puts[i+1:]...)
			break
		}
	}
	t.send(w, part, checks, puts, row)
}

func (t *Writer) send(w *world.World, part Part, checks []entity.Check, puts []entity.Put, row entity.VMRow) {
	key := entity.VMKey(w.Self.Name)
	transact := outbox.Transact{
		ID:     w.NextID(),
		Checks: append([]entity.Check{{Key: key, Version: t.version}}, checks...),
		Puts:   append([]entity.Put{{Key: key, Document: row}}, puts...),
	}
	t.flight = &flight{transact: transact, part: part, row: row, wait: w.Policy.ResendMin, waiting: true}
	w.Emit(transact)
}

// resend repeats the same transaction after its answer was lost.
func (t *Writer) resend(w *world.World) {
	f := t.flight
	if f.waiting || w.Now.Before(f.resendAt) {
		return
	}
	f.waiting = true
	f.transact.ID = w.NextID()
	w.Emit(f.transact)
	w.Emit(outbox.Count{Counter: world.CounterRetries, Reason: "tableAnswerLost"})
}

func (t *Writer) done(w *world.World, e inbox.TransactDone) {
	f := t.flight
	switch e.Outcome {
	case inbox.Unknown:
		f.waiting = false
		f.resendAt = w.Now.Add(f.wait)
		f.wait = min(2*f.wait, w.Policy.ResendMax)
	case inbox.Committed:
		t.committed(w, e.Version)
	case inbox.Conflicted:
		t.conflicted(w, e.Current)
	}
}

func (t *Writer) committed(w *world.World, version int64) {
	f := t.flight
	t.flight = nil
	t.row, t.version = f.row, version
	if f.part != nil {
		f.part.Committed(w, version)
	}
}

// conflicted tells a lost answer from a real conflict by this VM's own row.
func (t *Writer) conflicted(w *world.World, current []entity.Row) {
	f := t.flight
	for _, row := range current {
		if row.Key != entity.VMKey(w.Self.Name) {
			continue
		}
		own, _ := row.Document.(entity.VMRow)
		t.ownRowDiffers(w, own, row.Version)
		return
	}
	t.flight = nil
	if f.part != nil {
		f.part.Conflicted(w, current)
	}
}

func (t *Writer) ownRowDiffers(w *world.World, own entity.VMRow, version int64) {
	f := t.flight
	if own.Incarnation == w.Self.Incarnation && own.Sequence == f.row.Sequence && !own.Closed {
		t.committed(w, version)
		return
	}
	if own.Incarnation == w.Self.Incarnation && own.Closed && f.row.Closed {
		t.committed(w, version)
		return
	}
	t.flight = nil
	if !t.Registered() {
		return
	}
	w.Fence("row was taken over")
}
