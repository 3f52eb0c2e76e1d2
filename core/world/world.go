// Package world holds the tables of one VM's core and what its systems share.
package world

import (
	"math/rand/v2"
	"time"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
)

// World is the whole state of one VM's decisions. Only the core's single
// thread touches it.
type World struct {
	Now     time.Time
	Self    entity.VM
	Policy  Policy
	Random  *rand.Rand
	Config  entity.Config
	TableUp bool // the last call to the table service was answered

	Requests  entity.Table[int64, *entity.Request]
	ByKey     entity.Table[entity.ChargeKey, int64] // open requests by account and key
	Grants    entity.Table[string, *entity.Grant]
	Endpoints entity.Table[string, *entity.Endpoint]
	Peers     entity.Table[string, *entity.Peer] // by VM name
	Refusals  entity.Table[RefusalKey, int64]

	Ready   bool
	Leaving bool
	Fenced  bool
	Paused  bool // the process stood still; its row must be checked first

	Outbox []outbox.Command
	Closed []*entity.Request // ended in this pass over the systems
	Ended  []*entity.Request // ended in the pass before

	entered [entity.PhaseOver + 1][]*entity.Request
	nextID  int64
}

// RefusalKey groups refusals for reports.
type RefusalKey struct {
	Account string
	Rank    string
	Reason  entity.Reason
}

// System is one part of the decisions.
type System interface {
	// Handle takes one event.
	Handle(w *World, event inbox.Event)
	// Tick acts on the tables.
	Tick(w *World)
}

// Emit appends a command to the outbox.
func (w *World) Emit(command outbox.Command) { w.Outbox = append(w.Outbox, command) }

// NextID returns a number that is unique in this process.
func (w *World) NextID() int64 {
	w.nextID++
	return w.nextID
}

// Enter moves a request to a phase; the phase's system takes it up.
func (w *World) Enter(r *entity.Request, phase entity.Phase) {
	r.Phase = phase
	w.entered[phase] = append(w.entered[phase], r)
}

// Take returns the requests that entered a phase since the last call and are
// still in it.
func (w *World) Take(phase entity.Phase) []*entity.Request {
	all := w.entered[phase]
	w.entered[phase] = nil
	kept := all[:0]
	for _, r := range all {
		if r.Phase == phase {
			kept = append(kept, r)
		}
	}
	return kept
}

// Pending tells whether a request entered a phase that no system has taken up.
func (w *World) Pending() bool {
	for _, p := range []entity.Phase{entity.PhaseFunding, entity.PhaseQueued, entity.PhaseClaiming, entity.PhaseRunning, entity.PhaseSettling, entity.PhaseWatching, entity.PhaseSuspect} {
		if len(w.entered[p]) > 0 {
			return true
		}
	}
	return false
}

// Refuse ends a request without a whole answer and frees what it held.
func (w *World) Refuse(r *entity.Request, reason entity.Reason, retryAfter time.Duration) {
	w.Emit(outbox.Refuse{Request: r.ID, Refusal: r.Refuse(reason, retryAfter)})
	w.CountRefusal(r.Account, r.Rank, reason)
	w.Close(r)
}

// CountRefusal adds to the refusal counters.
func (w *World) CountRefusal(account, rank string, reason entity.Reason) {
	key := RefusalKey{account, rank, reason}
	n, _ := w.Refusals.Get(key)
	w.Refusals.Put(key, n+1)
	w.Emit(outbox.Count{Counter: CounterRefusals, Reason: string(reason)})
}

// Close forgets a request and releases its reservation.
func (w *World) Close(r *entity.Request) {
	if r.Phase == entity.PhaseOver {
		return
	}
	r.Phase = entity.PhaseOver
	w.Closed = append(w.Closed, r)
	w.Release(r)
	w.Requests.Delete(r.ID)
	key := entity.ChargeKey{Budget: r.Account, RequestKey: r.RequestKey}
	if id, ok := w.ByKey.Get(key); ok && id == r.ID {
		w.ByKey.Delete(key)
	}
}

// Release gives a request's reservation back to its grant.
func (w *World) Release(r *entity.Request) {
	if r.Reserve == 0 {
		return
	}
	if g, ok := w.Grants.Get(r.Budget); ok {
		g.Reserved -= r.Reserve
	}
	r.Reserve = 0
}

// Log writes one log line with alternating keys and values.
func (w *World) Log(text string, fields ...string) {
	w.Emit(outbox.Log{Text: text, Fields: fields})
}

// Fence stops this incarnation: others count it as dead and return its grants.
func (w *World) Fence(why string) {
	if w.Fenced {
		return
	}
	w.Fenced = true
	w.Log("fenced", "why", why)
	w.Emit(outbox.Fenced{})
}

// Send passes a message to a peer.
func (w *World) Send(to entity.VM, message entity.Message) {
	w.Emit(outbox.Send{To: to, Message: message})
}

// Heard returns the peers that were heard from within the liveness horizon.
func (w *World) Heard() []*entity.Peer {
	var live []*entity.Peer
	for _, p := range w.Peers.Rows() {
		if !p.HeardAt.IsZero() && w.Now.Sub(p.HeardAt) <= w.Policy.PeerSilence {
			live = append(live, p)
		}
	}
	return live
}
