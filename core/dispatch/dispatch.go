// Package dispatch queues requests by rank and account, and sends each to an
// endpoint that has room.
package dispatch

import (
	"cmp"
	"slices"
	"time"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/world"
)

// System queues and dispatches.
type System struct {
	chooser  Chooser
	suspects Suspects
	ranks    []*rankQueue // by order
	slots    entity.Table[int64, *slot]
	first    entity.Table[class, *latency] // to the first byte
	backlog  bool                          // work waited at the end of the last tick
}

// class is work whose endpoints take alike to begin: they honour ranks.
type class struct {
	service string
	order   int
}

// Option changes a System.
type Option func(*System)

// WithChooser replaces the choice of endpoints.
func WithChooser(chooser Chooser) Option { return func(s *System) { s.chooser = chooser } }

// Suspects knows the requests that may crash endpoints.
type Suspects interface{ Check(r *entity.Request) bool }

// New returns the dispatch system.
func New(suspects Suspects, options ...Option) *System {
	s := &System{chooser: Affinity{}, suspects: suspects}
	for _, o := range options {
		o(s)
	}
	return s
}

// Handle implements world.System.
func (s *System) Handle(w *world.World, event inbox.Event) {
	switch e := event.(type) {
	case inbox.AttemptStarted:
		s.started(w, e)
	case inbox.AttemptEnded:
		s.refund(w, e)
		s.free(w, e.Request, e.Attempt)
	}
}

// Tick implements world.System.
func (s *System) Tick(w *world.World) {
	syncEndpoints(w)
	for _, r := range w.Take(entity.PhaseQueued) {
		s.enqueue(w, r)
	}
	s.reconcile(w)
	s.expire(w)
	if w.Paused || w.Fenced {
		return
	}
	s.send(w)
	s.noteBacklog()
	for _, r := range w.Take(entity.PhaseRunning) {
		s.start(w, r)
	}
}

// syncEndpoints brings the table of endpoints in line with the configuration.
func syncEndpoints(w *world.World) {
	for _, spec := range w.Config.Endpoints.Rows() {
		e, ok := w.Endpoints.Get(spec.Name)
		if !ok {
			e = &entity.Endpoint{}
			w.Endpoints.Put(spec.Name, e)
		}
		e.Spec = spec
		if e.Completed == 0 && e.InFlight == 0 && e.Failures == 0 {
			e.Window = firstWindow(w, spec) // more peers may have been heard of
		}
	}
	for _, name := range w.Endpoints.Keys() {
		if _, ok := w.Config.Endpoints.Get(name); !ok {
			w.Endpoints.Delete(name)
		}
	}
}

// firstWindow is this VM's even part of the endpoint's slots.
func firstWindow(w *world.World, spec entity.EndpointSpec) float64 {
	vms := len(w.Heard()) + 1
	return max(float64(spec.Slots)/float64(vms), 1)
}

func (s *System) enqueue(w *world.World, r *entity.Request) {
	if s.suspects.Check(r) && !r.SoleSuspect {
		w.Enter(r, entity.PhaseSuspect)
		return
	}
	r.QueuedAt = w.Now
	account, _ := w.Config.Accounts.Get(r.Account)
	q := s.queue(w, r)
	if wait := q.wait(s.capacity(w, q), r.Account, account.Share, r.Cost); !r.Exposed() && w.Now.Add(wait/estimateDoubt+s.margin(r)).After(r.Deadline) {
		w.Refuse(r, entity.ReasonOverloaded, wait)
		return
	}
	q.push(r, account.Share, r.Attempt > 0)
	if q.waiting > w.Policy.QueueDepth {
		w.Refuse(q.longest(), entity.ReasonOverloaded, time.Second)
	}
}

// queue returns the queue of the request's rank.
func (s *System) queue(w *world.World, r *entity.Request) *rankQueue {
	i, ok := slices.BinarySearchFunc(s.ranks, r.Order, func(q *rankQueue, order int) int { return cmp.Compare(q.order, order) })
	if !ok {
		s.ranks = slices.Insert(s.ranks, i, &rankQueue{order: r.Order})
	}
	rank, _ := w.Config.Ranks.Get(r.Rank)
	s.ranks[i].floor = rank.FloorPercent
	return s.ranks[i]
}

// reconcile frees the slots of requests that are no longer on their way.
func (s *System) reconcile(w *world.World) {
	for _, r := range w.Ended {
		for _, q := range s.ranks {
			if q.order == r.Order {
				q.remove(r)
			}
		}
	}
	for _, id := range s.slots.Keys() {
		t, _ := s.slots.Get(id)
		if t.request.Phase != entity.PhaseClaiming && t.request.Phase != entity.PhaseRunning {
			s.free(w, id, t.attempt)
		}
	}
}
