// Package dispatch queues requests by rank and account, and sends each to an
// endpoint that has room.
package dispatch

import (
	"cmp"
	"slices"
	"time"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// System queues and dispatches.
type System struct {
	chooser  Chooser
	suspects Suspects
	ranks    []*rankQueue // by order
	slots    entity.Table[int64, *slot]
}

// slot is the room that a request takes at an endpoint.
type slot struct {
	request  *entity.Request
	endpoint *entity.Endpoint
	attempt  int
	suspect  bool
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
	for _, r := range w.Take(entity.PhaseRunning) {
		s.start(w, r)
	}
}

// syncEndpoints brings the table of endpoints in line with the configuration.
func syncEndpoints(w *world.World) {
	for _, spec := range w.Config.Endpoints.Rows() {
		e, ok := w.Endpoints.Get(spec.Name)
		if !ok {
			e = &entity.Endpoint{Window: firstWindow(w, spec)}
			w.Endpoints.Put(spec.Name, e)
		}
		e.Spec = spec
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
	if s.depth() >= w.Policy.QueueDepth {
		w.Refuse(r, entity.ReasonOverloaded, time.Second)
		return
	}
	if s.suspects.Check(r) && !r.SoleSuspect {
		w.Enter(r, entity.PhaseSuspect)
		return
	}
	r.QueuedAt = w.Now
	account, _ := w.Config.Accounts.Get(r.Account)
	s.queue(w, r).push(r, account.Share, r.Attempt > 0)
}

func (s *System) depth() int {
	n := 0
	for _, q := range s.ranks {
		n += q.waiting
	}
	return n
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

// expire refuses requests that can no longer be answered in time.
func (s *System) expire(w *world.World) {
	for _, q := range s.ranks {
		for _, account := range slices.Clone(q.ring) {
			a, _ := q.accounts.Get(account)
			s.expireAccount(w, q, a)
		}
	}
}

func (s *System) expireAccount(w *world.World, q *rankQueue, a *accountQueue) {
	for _, service := range a.queues.Keys() {
		line, _ := a.queues.Get(service)
		for _, r := range slices.Clone(line) {
			if w.Now.Before(r.Deadline) {
				break
			}
			q.remove(r)
			w.Refuse(r, s.lateReason(w, r), time.Second)
		}
	}
}

// lateReason tells an overload from a service that nothing serves.
func (s *System) lateReason(w *world.World, r *entity.Request) entity.Reason {
	for _, e := range w.Endpoints.Rows() {
		if e.Spec.Serves(r.Service) && !e.Spec.Leaving && !w.Now.Before(e.DownUntil) {
			return entity.ReasonOverloaded
		}
	}
	return entity.ReasonNoEndpoint
}

// send gives room to waiting requests until there is none.
func (s *System) send(w *world.World) {
	full := entity.Table[string, bool]{}
	open := func(service string) bool {
		closed, _ := full.Get(service)
		return !closed
	}
	var parked []*entity.Request
	for q := s.nextRank(open); q != nil; q = s.nextRank(open) {
		r := q.pick(open)
		if r == nil {
			break
		}
		found := candidates(w, r)
		switch {
		case len(found) > 0:
			s.credit(q, r.Cost)
			s.place(w, r, s.chooser.Choose(w, r, found))
		case r.SoleSuspect || len(r.Avoid) > 0:
			parked = append(parked, r)
		default:
			full.Put(r.Service, true)
			s.putBack(w, r)
		}
	}
	for _, r := range parked {
		s.putBack(w, r)
	}
}

// putBack returns a picked request to the front of its line.
func (s *System) putBack(w *world.World, r *entity.Request) {
	account, _ := w.Config.Accounts.Get(r.Account)
	q := s.queue(w, r)
	q.push(r, account.Share, true)
	q.refund(r.Account, r.Cost)
}

// nextRank returns a lower rank whose floor is due, else the most urgent one.
func (s *System) nextRank(open func(string) bool) *rankQueue {
	var urgent *rankQueue
	for _, q := range s.ranks {
		r := q.ready(open)
		if r == nil {
			continue
		}
		if urgent == nil {
			urgent = q
			continue
		}
		if q.credit >= min(r.Cost, maxCreditTokens) {
			return q
		}
	}
	return urgent
}

// ready returns a request that could be picked, or nil.
func (q *rankQueue) ready(open func(string) bool) *entity.Request {
	for _, account := range q.ring {
		a, _ := q.accounts.Get(account)
		if r := a.head(open); r != nil {
			return r
		}
	}
	return nil
}

// credit lets the other waiting ranks earn their floors from what one rank is
// served.
func (s *System) credit(served *rankQueue, cost int64) {
	for _, q := range s.ranks {
		switch {
		case q == served:
			q.credit = max(q.credit-cost, 0)
		case q.waiting > 0:
			q.credit = min(q.credit+cost*int64(q.floor)/100, maxCreditTokens)
		default:
			q.credit = 0
		}
	}
}

// place takes a slot, and has a non-idempotent request claimed first.
func (s *System) place(w *world.World, r *entity.Request, e *entity.Endpoint) {
	e.InFlight++
	if r.SoleSuspect {
		e.Suspects++
	}
	r.Endpoint = e.Spec.Name
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
	r.Answering = true
	if t, ok := s.slots.Get(e.Request); ok {
		t.endpoint.FirstByte = (7*t.endpoint.FirstByte + w.Now.Sub(r.StartedAt)) / 8
	}
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
