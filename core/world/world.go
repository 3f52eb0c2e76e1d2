// Package world holds the state that the systems of one VM's core share.
package world

import (
	"math/rand/v2"
	"time"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
)

// World is the state of one VM's core. It is not safe for concurrent use: only
// the goroutine that steps the core accesses it.
type World struct {
	Now            time.Time // time of the current step
	Self           entity.VM
	Policy         Policy
	Random         *rand.Rand
	Config         entity.Config
	TableReachable bool // the table service responded to the last call

	Requests      entity.Table[int64, *entity.Request]
	RequestsByKey entity.Table[entity.ChargeKey, int64] // open requests; the ChargeKey's Budget holds the account
	Grants        entity.Table[string, *entity.Grant]
	Endpoints     entity.Table[string, *entity.Endpoint]
	Peers         entity.Table[string, *entity.Peer] // by VM name
	Refusals      entity.Table[RefusalKey, int64]

	Ready        bool // clients may send requests
	ShuttingDown bool // a graceful shutdown is in progress
	Fenced       bool // this incarnation must stop, see Fence
	Suspended    bool // the process was suspended and must check its row before it continues

	Outbox         []outbox.Command
	ClosedThisPass []*entity.Request // requests closed in the current pass over the systems
	ClosedLastPass []*entity.Request // requests closed in the previous pass

	entered [entity.PhaseClosed + 1][]*entity.Request // by phase; not yet returned by TakeEntered
	lastID  int64
}

// RefusalKey identifies a counter of refusals.
type RefusalKey struct {
	Account string
	Rank    string
	Reason  entity.Reason
}

// System is one component of the core. All systems work on the same World.
type System interface {
	// Handle processes one event.
	Handle(w *World, event inbox.Event)
	// Tick processes the requests that entered the system's phases and
	// performs periodic work.
	Tick(w *World)
}

// Emit appends a command to the outbox.
func (w *World) Emit(command outbox.Command) { w.Outbox = append(w.Outbox, command) }

// NextID returns an identifier that is unique within the process.
func (w *World) NextID() int64 {
	w.lastID++
	return w.lastID
}

// SetPhase moves a request to a phase, whose system gets it from TakeEntered.
func (w *World) SetPhase(r *entity.Request, phase entity.Phase) {
	r.Phase = phase
	w.entered[phase] = append(w.entered[phase], r)
}

// TakeEntered returns the requests that entered a phase since the last call and
// are still in that phase.
func (w *World) TakeEntered(phase entity.Phase) []*entity.Request {
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

// HasEntered reports whether TakeEntered has yet to return a request that
// entered a phase.
func (w *World) HasEntered() bool {
	for _, p := range []entity.Phase{entity.PhaseAwaitingBudget, entity.PhaseQueued, entity.PhaseClaiming, entity.PhaseRunning, entity.PhaseSettling, entity.PhaseWatching, entity.PhaseSuspect} {
		if len(w.entered[p]) > 0 {
			return true
		}
	}
	return false
}

// Refuse ends a request without a complete response and releases its
// reservation.
func (w *World) Refuse(r *entity.Request, reason entity.Reason, retryAfter time.Duration) {
	w.Emit(outbox.Refuse{Request: r.ID, Refusal: r.Refuse(reason, retryAfter)})
	w.CountRefusal(r.Account, r.Rank, reason)
	w.Close(r)
}

// CountRefusal increments the counters of refusals.
func (w *World) CountRefusal(account, rank string, reason entity.Reason) {
	key := RefusalKey{account, rank, reason}
	n, _ := w.Refusals.Get(key)
	w.Refusals.Put(key, n+1)
	w.Emit(outbox.Count{Counter: CounterRefusals, Reason: string(reason)})
}

// Close removes a request and releases its reservation.
func (w *World) Close(r *entity.Request) {
	if r.Phase == entity.PhaseClosed {
		return
	}
	r.Phase = entity.PhaseClosed
	w.ClosedThisPass = append(w.ClosedThisPass, r)
	w.Release(r)
	w.Requests.Delete(r.ID)
	key := entity.ChargeKey{Budget: r.Account, RequestKey: r.RequestKey}
	if id, ok := w.RequestsByKey.Get(key); ok && id == r.ID {
		w.RequestsByKey.Delete(key)
	}
}

// Release returns a request's reservation to its grant.
func (w *World) Release(r *entity.Request) {
	if r.Reserved == 0 {
		return
	}
	if g, ok := w.Grants.Get(r.Budget); ok {
		g.Reserved -= r.Reserved
	}
	r.Reserved = 0
}

// Log emits a log line whose fields are alternating keys and values.
func (w *World) Log(text string, fields ...string) {
	w.Emit(outbox.Log{Text: text, Fields: fields})
}

// Fence stops this incarnation, since another incarnation or VM has taken over
// its row or recovers its grants.
func (w *World) Fence(why string) {
	if w.Fenced {
		return
	}
	w.Fenced = true
	w.Log("fenced", "why", why)
	w.Emit(outbox.Fenced{})
}

// Send emits a message to a peer.
func (w *World) Send(to entity.VM, message entity.Message) {
	w.Emit(outbox.SendMessage{To: to, Message: message})
}

// AlivePeers returns the peers that count as alive, since a message from them
// arrived within Policy.PeerTimeout.
func (w *World) AlivePeers() []*entity.Peer {
	var alive []*entity.Peer
	for _, p := range w.Peers.Rows() {
		if !p.LastMessageAt.IsZero() && w.Now.Sub(p.LastMessageAt) <= w.Policy.PeerTimeout {
			alive = append(alive, p)
		}
	}
	return alive
}
