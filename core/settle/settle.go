// Package settle determines the charge of each request and releases the last
// frame of its response once the charge is stored safely.
package settle

import (
	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// Ledger accepts charges. Add returns the charge with its origin and its sequence
// number; the ledger writes it to the table service later.
type Ledger interface {
	Add(w *world.World, c entity.Charge) entity.Charge
}

// ChargeCopier copies charges to peers, which store the copies until the charges
// are in the ledger.
type ChargeCopier interface {
	Copy(w *world.World, r *entity.Request)
}

// System settles requests that got a response.
type System struct {
	ledger   Ledger
	copier   ChargeCopier
	settling entity.Table[int64, *entity.Request]
}

// New returns the settling system.
func New(ledger Ledger, copier ChargeCopier) *System { return &System{ledger: ledger, copier: copier} }

// Handle implements world.System.
func (s *System) Handle(w *world.World, event inbox.Event) {
	if e, ok := event.(inbox.ClientDisconnected); ok {
		s.handleDisconnect(w, e)
	}
}

// Tick implements world.System.
func (s *System) Tick(w *world.World) {
	if w.Suspended || w.Fenced {
		return
	}
	for _, r := range w.TakeEntered(entity.PhaseSettling) {
		s.settling.Put(r.ID, r)
		if r.Charge.Tokens > 0 {
			s.commitCharge(w, r)
		}
	}
	for _, r := range s.settling.Rows() {
		if r.CopiesPending > 0 || r.RecordPending {
			continue
		}
		s.settling.Delete(r.ID)
		w.Emit(outbox.ReleaseLastFrame{Request: r.ID, Billed: r.Charge.Tokens})
		w.Close(r)
	}
}

// fingerprintPrefixLength is the number of digits of a request's fingerprint in
// its charge's key. They distinguish requests that share a request key. The key
// does not name the client account, since a budget belongs to one account.
const fingerprintPrefixLength = 8

// SetCharge sets what a request is charged, at most its reservation.
func SetCharge(r *entity.Request, tokens int64) {
	r.Charge = entity.Charge{
		Budget:     r.Budget,
		RequestKey: r.RequestKey + "/" + r.Fingerprint[:min(len(r.Fingerprint), fingerprintPrefixLength)],
		Tokens:     min(max(tokens, 0), r.Reserved),
		Rank:       r.Rank,
		Service:    r.Service,
	}
}

// commitCharge spends the charge from the grant, releases the reservation, adds
// the charge to the ledger and starts copying it to peers.
func (s *System) commitCharge(w *world.World, r *entity.Request) {
	if g, ok := w.Grants.Get(r.Budget); ok {
		g.Spend(r.Charge.Tokens, w.Now)
	}
	w.Release(r)
	r.Charge = s.ledger.Add(w, r.Charge)
	s.copier.Copy(w, r)
}

// handleDisconnect ends a request whose clients have all disconnected. If tokens
// were sent to a client, they and the prompt are charged. A non-idempotent
// request that may be running is not cancelled and ends by itself.
func (s *System) handleDisconnect(w *world.World, e inbox.ClientDisconnected) {
	r, ok := w.Requests.Get(e.Request)
	if !ok {
		return
	}
	r.ClientDisconnected = true
	switch r.Phase {
	case entity.PhaseSettling, entity.PhaseForwarded:
		return
	case entity.PhaseRunning, entity.PhaseClaiming:
		if !r.Idempotent {
			return
		}
		w.Emit(outbox.CancelAttempt{Request: r.ID, Attempt: r.Attempt})
	}
	if e.Tokens == 0 || !r.ResponseStarted {
		w.Close(r)
		return
	}
	SetCharge(r, r.PromptTokens+e.Tokens)
	w.SetPhase(r, entity.PhaseSettling)
}
