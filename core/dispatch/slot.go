package dispatch

import (
	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// assign takes a slot at the endpoint. An idempotent request then runs; any
// other request must be claimed first.
func (s *System) assign(w *world.World, r *entity.Request, e *entity.Endpoint) {
	e.InFlight++
	if r.InTrial {
		e.SuspectsInFlight++
	}
	r.Endpoint = e.Spec.Name
	r.EndpointWasHealthy = e.ConsecutiveFailures == 0
	r.Attempt++
	s.slots.Put(r.ID, &slot{request: r, endpoint: e, attempt: r.Attempt, suspect: r.InTrial})
	if r.Idempotent {
		w.SetPhase(r, entity.PhaseRunning)
		return
	}
	w.SetPhase(r, entity.PhaseClaiming)
}

// startAttempt sends the request to its endpoint. From this point on the
// request counts as possibly run. A request without a slot is queued again.
func (s *System) startAttempt(w *world.World, r *entity.Request) {
	sl, ok := s.slots.Get(r.ID)
	if !ok {
		w.SetPhase(r, entity.PhaseQueued)
		return
	}
	r.MarkPossiblyRun()
	r.StartedAt = w.Now
	w.Emit(outbox.StartAttempt{
		Request: r.ID, Attempt: r.Attempt, Endpoint: r.Endpoint,
		Address: sl.endpoint.Spec.Address, Kind: r.Kind, Order: r.Order,
	})
}

// recordFirstByte handles the start of a response and updates the time to first
// byte of the request's latency class.
func (s *System) recordFirstByte(w *world.World, e inbox.AttemptStarted) {
	r, ok := w.Requests.Get(e.Request)
	if !ok || r.Attempt != e.Attempt {
		return
	}
	r.ResponseStarted = r.Streamed
	key := latencyClass{r.Service, r.Order}
	l, ok := s.firstByte.Get(key)
	if !ok {
		l = &latency{}
		s.firstByte.Put(key, l)
	}
	l.add(w.Now.Sub(r.StartedAt))
}

// refund credits the account with the reserved tokens that a complete response
// did not use.
func (s *System) refund(w *world.World, e inbox.AttemptEnded) {
	r, ok := w.Requests.Get(e.Request)
	if !ok || r.Attempt != e.Attempt || e.Outcome != inbox.OutcomeCompleted || e.Tokens == 0 {
		return
	}
	s.queue(w, r).refund(r.Account, max(r.MaxCost-e.Tokens, 0))
}

// release frees the slot of a request if it belongs to the given attempt.
func (s *System) release(_ *world.World, request int64, attempt int) {
	sl, ok := s.slots.Get(request)
	if !ok || sl.attempt != attempt {
		return
	}
	s.slots.Delete(request)
	sl.endpoint.InFlight--
	if sl.suspect {
		sl.endpoint.SuspectsInFlight--
	}
}

// slot is one request's place in this VM's window at an endpoint.
type slot struct {
	request  *entity.Request
	endpoint *entity.Endpoint
	attempt  int
	suspect  bool
}
