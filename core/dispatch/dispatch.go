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
	first    entity.Table[class, *latency] // to the first byte
	backlog  bool                          // work waited at the end of the last tick
}

// class is work whose endpoints take alike to begin: they honour ranks.
type class struct {
	service string
	order   int
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

// estimateDoubt is by how much an estimated wait may be too long: a request is
// refused early only if even a wait so much shorter misses its target.
const estimateDoubt = 2

// capacity estimates the tokens a second that a rank can get: what all ranks
// are served, less what more urgent ones take and lower ones keep. It is 0
// while that is not known.
func (s *System) capacity(w *world.World, q *rankQueue) float64 {
	if !s.backlog {
		return 0
	}
	var all, above, floors float64
	for _, other := range s.ranks {
		served := other.rate.perSecond(w.Now)
		all += served
		switch {
		case other.order < q.order:
			above += served
		case other.order > q.order && other.waiting > 0:
			floors += float64(other.floor) / 100
		}
	}
	return max(q.rate.perSecond(w.Now), all*(1-floors)-above)
}

// noteBacklog starts the rates anew when work begins to wait. Only what is
// served while work waits tells what the ranks can get.
func (s *System) noteBacklog() {
	waits := slices.ContainsFunc(s.ranks, func(q *rankQueue) bool { return q.waiting > 0 })
	if waits && !s.backlog {
		for _, q := range s.ranks {
			q.rate = rate{}
		}
	}
	s.backlog = waits
}

// margin is the part of a request's target that the endpoint itself needs.
func (s *System) margin(r *entity.Request) time.Duration {
	l, ok := s.first.Get(class{r.Service, r.Order})
	if !ok {
		return 0
	}
	return min(l.bound(), r.Deadline.Sub(r.Arrived)/2)
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
		for _, a := range slices.Clone(q.active) {
			s.expireAccount(w, q, a)
		}
	}
}

func (s *System) expireAccount(w *world.World, q *rankQueue, a *accountQueue) {
	for _, service := range a.queues.Keys() {
		line, _ := a.queues.Get(service)
		for _, r := range slices.Clone(line) {
			if w.Now.Add(s.margin(r)).Before(r.Deadline) {
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
	room := newRoom(w)
	for {
		q, r := s.next(room.open)
		if r == nil {
			return
		}
		q.serve(r)
		s.credit(q, r.Cost)
		q.rate.add(w.Now, r.Cost)
		s.place(w, r, s.chooser.Choose(w, r, candidates(w, r)))
	}
}

// next returns a request of a lower rank whose floor is due, else one of the
// most urgent rank.
func (s *System) next(o open) (*rankQueue, *entity.Request) {
	var queue *rankQueue
	var urgent *entity.Request
	for _, q := range s.ranks {
		if q.waiting == 0 {
			continue
		}
		if urgent != nil && q.credit == 0 {
			continue
		}
		r := q.peek(o)
		if r == nil {
			continue
		}
		if urgent == nil {
			queue, urgent = q, r
			continue
		}
		if q.credit >= min(r.Cost, maxCreditTokens) {
			return q, r
		}
	}
	return queue, urgent
}

// room remembers in one tick which services have no endpoint with room left.
// Room only shrinks while requests are placed.
type room struct {
	world *world.World
	full  entity.Table[string, bool]
}

func newRoom(w *world.World) *room { return &room{world: w} }

func (m *room) open(r *entity.Request) bool {
	if r.SoleSuspect || len(r.Avoid) > 0 {
		return len(candidates(m.world, r)) > 0
	}
	if full, _ := m.full.Get(r.Service); full {
		return false
	}
	if len(candidates(m.world, r)) == 0 {
		m.full.Put(r.Service, true)
		return false
	}
	return true
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
