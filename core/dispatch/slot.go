package dispatch

import (
	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// place takes a slot, and has a non-idempotent request claimed first.
func (s *System) place(w *world.World, r *entity.Request, e *entity.Endpoint) {
	e.InFlight++
	if r.SoleSuspect {
		e.Suspects++
	}
	r.Endpoint = e.Spec.Name
	r.Blamed = e.Failures == 0
	r.Attempt++
	s.slots.Put(r.ID, &slot{request: r, endpoint: e, attempt: r.Attempt, suspect: r.SoleSuspect})
	if r.Repeatable {
		w.Enter(r, entity.PhaseRunning)
		return
	}
	w.Enter(r, entity.PhaseClaiming)
}

// start sends the request. From here on an endpoint may have run it.
func (s *System) start(w *world.World, r *entity.Request) {
	t, ok := s.slots.Get(r.ID)
	if !ok {
		w.Enter(r, entity.PhaseQueued)
		return
	}
	r.Expose()
	r.StartedAt = w.Now
	w.Emit(outbox.StartAttempt{
		Request: r.ID, Attempt: r.Attempt, Endpoint: r.Endpoint,
		Address: t.endpoint.Spec.Address, Kind: r.Kind, Order: r.Order,
	})
}

func (s *System) started(w *world.World, e inbox.AttemptStarted) {
	r, ok := w.Requests.Get(e.Request)
	if !ok || r.Attempt != e.Attempt {
		return
	}
	r.Answering = r.Streamed
	key := class{r.Service, r.Order}
	l, ok := s.first.Get(key)
	if !ok {
		l = &latency{}
		s.first.Put(key, l)
	}
	l.add(w.Now.Sub(r.StartedAt))
}

// refund credits the account with the tokens that an answer did not use.
func (s *System) refund(w *world.World, e inbox.AttemptEnded) {
	r, ok := w.Requests.Get(e.Request)
	if !ok || r.Attempt != e.Attempt || e.Outcome != inbox.OutcomeAnswered || e.Tokens == 0 {
		return
	}
	s.queue(w, r).refund(r.Account, max(r.Cost-e.Tokens, 0))
}

// free returns a slot.
func (s *System) free(_ *world.World, request int64, attempt int) {
	t, ok := s.slots.Get(request)
	if !ok || t.attempt != attempt {
		return
	}
	s.slots.Delete(request)
	t.endpoint.InFlight--
	if t.suspect {
		t.endpoint.Suspects--
	}
}

// slot is the room that a request takes at an endpoint.
type slot struct {
	request  *entity.Request
	endpoint *entity.Endpoint
	attempt  int
	suspect  bool
}
