// Package settle fixes what each request owes and releases the last frame of
// its answer once the charge is safe.
package settle

import (
	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// Ledger takes charges. It numbers them and writes them to the table later.
type Ledger interface {
	Add(w *world.World, c entity.Charge) entity.Charge
}

// Copier keeps charges on peers until they are in the ledger.
type Copier interface {
	Start(w *world.World, r *entity.Request)
}

// System settles answered requests.
type System struct {
	ledger   Ledger
	copier   Copier
	settling entity.Table[int64, *entity.Request]
}

// New returns the settling system.
func New(ledger Ledger, copier Copier) *System { return &System{ledger: ledger, copier: copier} }

// Handle implements world.System.
func (s *System) Handle(w *world.World, event inbox.Event) {
	if e, ok := event.(inbox.CallerGone); ok {
		s.callerGone(w, e)
	}
}

// Tick implements world.System.
func (s *System) Tick(w *world.World) {
	if w.Paused || w.Fenced {
		return
	}
	for _, r := range w.Take(entity.PhaseSettling) {
		s.settling.Put(r.ID, r)
		if r.Charge.Tokens > 0 {
			s.charge(w, r)
		}
	}
	for _, r := range s.settling.Rows() {
		if r.CopiesDue > 0 || r.RecordDue {
			continue
		}
		s.settling.Delete(r.ID)
		w.Emit(outbox.Finish{Request: r.ID, Billed: r.Charge.Tokens})
		w.Close(r)
	}
}

// fingerprintDigits is how much of a fingerprint tells apart requests that
// share a key. A budget belongs to one account, so that the key need not name it.
const fingerprintDigits = 8

// Owe fixes what a request owes. It is never more than was reserved.
func Owe(r *entity.Request, tokens int64) {
	r.Charge = entity.Charge{
		Budget:     r.Budget,
		RequestKey: r.RequestKey + "/" + r.Fingerprint[:min(len(r.Fingerprint), fingerprintDigits)],
		Tokens:     min(max(tokens, 0), r.Reserve),
		Rank:       r.Rank,
		Service:    r.Service,
	}
}

func (s *System) charge(w *world.World, r *entity.Request) {
	if g, ok := w.Grants.Get(r.Budget); ok {
		g.Spend(r.Charge.Tokens, w.Now)
	}
	w.Release(r)
	r.Charge = s.ledger.Add(w, r.Charge)
	s.copier.Start(w, r)
}

// callerGone ends a request that nobody waits for. What callers were sent is
// owed; a non-idempotent request that may be running is left to end by itself.
func (s *System) callerGone(w *world.World, e inbox.CallerGone) {
	r, ok := w.Requests.Get(e.Request)
	if !ok {
		return
	}
	r.Abandoned = true
	switch r.Phase {
	case entity.PhaseSettling, entity.PhaseForwarded:
		return
	case entity.PhaseRunning, entity.PhaseClaiming:
		if !r.Repeatable {
			return
		}
		w.Emit(outbox.CancelAttempt{Request: r.ID, Attempt: r.Attempt})
	}
	if e.Tokens == 0 || !r.Answering {
		w.Close(r)
		return
	}
	Owe(r, r.PromptTokens+e.Tokens)
	w.Enter(r, entity.PhaseSettling)
}
