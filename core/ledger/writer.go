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

// TransactionSource composes transactions for the Writer.
type TransactionSource interface {
	// Compose returns the checks and puts of the next transaction. Without puts
	// no transaction is sent.
	Compose(w *world.World) ([]entity.Check, []entity.Put)
	// Committed is called when the last composed transaction took effect. The
	// rows that it put have the given version.
	Committed(w *world.World, version int64)
	// Conflicted is called when the last composed transaction did not take
	// effect, with the current state of the rows whose check failed.
	Conflicted(w *world.World, rows []entity.Row)
}

// Writer owns this VM's row. Each transaction checks the row's version and
// increments its sequence number. Resending a transaction after a lost
// response therefore cannot apply it twice, and once another incarnation has
// taken the row over, no later transaction of this one can commit.
type Writer struct {
	sources        []TransactionSource
	row            entity.VMRow // as last committed
	version        int64        // of row; 0 until this incarnation owns it
	transaction    *transaction // in flight, nil for none
	registerReadID int64        // read of this VM's row before taking it over
	pauseReadID    int64        // read of this VM's row after a pause
	nextReadAt     time.Time
}

// transaction is sent repeatedly until its outcome is known.
type transaction struct {
	transact outbox.Transact
	source   TransactionSource // nil for the transaction that takes the row over
	row      entity.VMRow      // this VM's row as the transaction writes it
	resendAt time.Time
	awaiting bool          // no response yet since it was last sent
	backoff  time.Duration // before the next resend
}

// NewWriter returns a writer that composes transactions from sources in order.
func NewWriter(sources ...TransactionSource) *Writer { return &Writer{sources: sources} }

// Registered reports whether this incarnation owns its VM's row.
func (t *Writer) Registered() bool { return t.version > 0 }

// Row returns this VM's row as last committed.
func (t *Writer) Row() entity.VMRow { return t.row }

// Idle reports whether no transaction is in flight.
func (t *Writer) Idle() bool { return t.transaction == nil }

// Handle implements world.System.
func (t *Writer) Handle(w *world.World, event inbox.Event) {
	switch e := event.(type) {
	case inbox.ReadDone:
		if e.ID == t.registerReadID {
			t.registerReadID = 0
			t.takeOver(w, e)
		}
		if e.ID == t.pauseReadID {
			t.pauseReadID = 0
			t.endPause(w, e)
		}
	case inbox.TransactDone:
		if t.transaction != nil && t.transaction.transact.ID == e.ID {
			t.handleTransact(w, e)
		}
	}
}

// Tick implements world.System.
func (t *Writer) Tick(w *world.World) {
	if w.Fenced {
		return
	}
	t.verifyAfterPause(w)
	if t.transaction != nil {
		t.resend(w)
		return
	}
	if !t.Registered() {
		t.register(w)
		return
	}
	for _, s := range t.sources {
		checks, puts := s.Compose(w)
		if len(puts) > 0 {
			t.start(w, s, checks, puts, t.row)
			return
		}
	}
}

// verifyAfterPause reads this VM's row after the process was paused, since
// another incarnation may have taken the row over meanwhile.
func (t *Writer) verifyAfterPause(w *world.World) {
	if !w.Suspended || t.pauseReadID != 0 || w.Now.Before(t.nextReadAt) {
		return
	}
	if !t.Registered() {
		w.Suspended = false
		return
	}
	t.pauseReadID = t.readRow(w)
}

// endPause ends the pause if the row read still belongs to this incarnation,
// and fences this VM otherwise.
func (t *Writer) endPause(w *world.World, e inbox.ReadDone) {
	if !e.OK || len(e.Rows) != 1 {
		return
	}
	row, _ := e.Rows[0].Document.(entity.VMRow)
	if row.Incarnation != w.Self.Incarnation || row.Closed {
		w.Fence("row was taken over during a pause")
		return
	}
	w.Suspended = false
}

// register reads this VM's row in order to take it over.
func (t *Writer) register(w *world.World) {
	if t.registerReadID != 0 || w.Now.Before(t.nextReadAt) {
		return
	}
	t.registerReadID = t.readRow(w)
}

// readRow reads this VM's row and returns the ID of the read.
func (t *Writer) readRow(w *world.World) int64 {
	t.nextReadAt = w.Now.Add(w.Policy.ResendBackoffMin)
	id := w.NextID()
	w.Emit(outbox.Read{ID: id, Keys: []string{entity.VMKey(w.Self.Name)}})
	return id
}

// takeOver takes the row of this VM over from the previous incarnation. If the
// previous one did not close the row, this incarnation has to recover its grants.
func (t *Writer) takeOver(w *world.World, e inbox.ReadDone) {
	if !e.OK || len(e.Rows) != 1 {
		return
	}
	previous, _ := e.Rows[0].Document.(entity.VMRow)
	row := entity.VMRow{
		Name: w.Self.Name, Incarnation: w.Self.Incarnation,
		Address: w.Self.Address, Domain: w.Self.Domain,
		UnrecoveredIncarnations: previous.UnrecoveredIncarnations,
	}
	if previous.Incarnation != "" && !previous.Closed {
		row.UnrecoveredIncarnations = append(row.UnrecoveredIncarnations, previous.Incarnation)
	}
	t.version = e.Rows[0].Version
	t.send(w, nil, nil, nil, row)
	t.version = 0 // not registered before the transaction commits
}

// start sends a source's transaction, with this VM's row as the fence. If the
// source itself puts this VM's row, its row is sent instead of a second put.
func (t *Writer) start(w *world.World, source TransactionSource, checks []entity.Check, puts []entity.Put, row entity.VMRow) {
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
	t.send(w, source, checks, puts, row)
}

func (t *Writer) send(w *world.World, source TransactionSource, checks []entity.Check, puts []entity.Put, row entity.VMRow) {
	key := entity.VMKey(w.Self.Name)
	transact := outbox.Transact{
		ID:     w.NextID(),
		Checks: append([]entity.Check{{Key: key, Version: t.version}}, checks...),
		Puts:   append([]entity.Put{{Key: key, Document: row}}, puts...),
	}
	t.transaction = &transaction{transact: transact, source: source, row: row, backoff: w.Policy.ResendBackoffMin, awaiting: true}
	w.Emit(transact)
}

// resend sends the same transaction again after its response was lost.
func (t *Writer) resend(w *world.World) {
	tx := t.transaction
	if tx.awaiting || w.Now.Before(tx.resendAt) {
		return
	}
	tx.awaiting = true
	tx.transact.ID = w.NextID()
	w.Emit(tx.transact)
	w.Emit(outbox.Count{Counter: world.CounterRetries, Reason: "tableAnswerLost"})
}

func (t *Writer) handleTransact(w *world.World, e inbox.TransactDone) {
	tx := t.transaction
	switch e.Outcome {
	case inbox.TransactUnknown:
		tx.awaiting = false
		tx.resendAt = w.Now.Add(tx.backoff)
		tx.backoff = min(2*tx.backoff, w.Policy.ResendBackoffMax)
	case inbox.TransactCommitted:
		t.committed(w, e.Version)
	case inbox.TransactConflicted:
		t.conflicted(w, e.Current)
	}
}

func (t *Writer) committed(w *world.World, version int64) {
	tx := t.transaction
	t.transaction = nil
	t.row, t.version = tx.row, version
	if tx.source != nil {
		tx.source.Committed(w, version)
	}
}

// conflicted handles failed checks. If the check of this VM's own row failed,
// the transaction may have committed earlier, with its response lost.
func (t *Writer) conflicted(w *world.World, current []entity.Row) {
	tx := t.transaction
	for _, row := range current {
		if row.Key != entity.VMKey(w.Self.Name) {
			continue
		}
		own, _ := row.Document.(entity.VMRow)
		t.ownRowChanged(w, own, row.Version)
		return
	}
	t.transaction = nil
	if tx.source != nil {
		tx.source.Conflicted(w, current)
	}
}

// ownRowChanged finishes the transaction as committed if this VM's row is as
// the transaction writes it. Otherwise another incarnation changed the row,
// which fences this one if it was registered.
func (t *Writer) ownRowChanged(w *world.World, own entity.VMRow, version int64) {
	tx := t.transaction
	if own.Incarnation == w.Self.Incarnation && own.Sequence == tx.row.Sequence && !own.Closed {
		t.committed(w, version)
		return
	}
	if own.Incarnation == w.Self.Incarnation && own.Closed && tx.row.Closed {
		t.committed(w, version)
		return
	}
	t.transaction = nil
	if !t.Registered() {
		return
	}
	w.Fence("row was taken over")
}
