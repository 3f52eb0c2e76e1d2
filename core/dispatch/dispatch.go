// Package dispatch queues requests by rank and client account, and assigns each
// to an endpoint that has room.
package dispatch

import (
	"cmp"
	"slices"
	"time"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/world"
)

// System holds the request queues of all ranks and the slots that requests
// occupy at endpoints.
type System struct {
	chooser   Chooser
	suspects  SuspectChecker
	ranks     []*rankQueue // sorted by rank order
	slots     entity.Table[int64, *slot]
	firstByte entity.Table[latencyClass, *latency] // time to first byte
	backlog   bool                                 // requests waited at the end of the last tick
}

// latencyClass groups requests with a similar time to first byte. It includes
// the rank because endpoints that support priorities run urgent ranks first.
type latencyClass struct {
	service string
	order   int // of the rank; 0 is the most urgent
}

// Option changes a System.
type Option func(*System)

// WithChooser sets the Chooser. The default is Affinity.
func WithChooser(chooser Chooser) Option { return func(s *System) { s.chooser = chooser } }

// SuspectChecker finds requests that may crash endpoints. IsSuspect reports
// whether a request is suspect and must wait for a separate trial.
type SuspectChecker interface {
	IsSuspect(w *world.World, r *entity.Request) bool
}

// New returns the dispatch system.
func New(suspects SuspectChecker, options ...Option) *System {
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
		s.recordFirstByte(w, e)
	case inbox.AttemptEnded:
		s.refund(w, e)
		s.release(w, e.Request, e.Attempt)
	}
}

// Tick implements world.System.
func (s *System) Tick(w *world.World) {
	syncEndpoints(w)
	for _, r := range w.TakeEntered(entity.PhaseQueued) {
		s.enqueue(w, r)
	}
	s.releaseEnded(w)
	s.expire(w)
	if w.Suspended || w.Fenced {
		return
	}
	s.schedule(w)
	s.updateBacklog()
	for _, r := range w.TakeEntered(entity.PhaseRunning) {
		s.startAttempt(w, r)
	}
}

// syncEndpoints adds, updates and removes endpoints to match the configuration.
func syncEndpoints(w *world.World) {
	for _, spec := range w.Config.Endpoints.Rows() {
		e, ok := w.Endpoints.Get(spec.Name)
		if !ok {
			e = &entity.Endpoint{}
			w.Endpoints.Put(spec.Name, e)
		}
		e.Spec = spec
		if e.Completed == 0 && e.InFlight == 0 && e.ConsecutiveFailures == 0 {
			e.Window = initialWindow(w, spec) // the number of known peers may have changed
		}
	}
	for _, name := range w.Endpoints.Keys() {
		if _, ok := w.Config.Endpoints.Get(name); !ok {
			w.Endpoints.Delete(name)
		}
	}
}

// initialWindow returns this VM's equal share of the endpoint's slots, at least 1.
func initialWindow(w *world.World, spec entity.EndpointSpec) float64 {
	vms := len(w.AlivePeers()) + 1
	return max(float64(spec.Slots)/float64(vms), 1)
}

// enqueue adds a request to its rank's queue. It diverts suspects to their
// trial, refuses requests that would miss their deadline and, above the depth
// limit, refuses the request that shedCandidate returns. A request that an
// endpoint may have run already is not refused for its estimated wait.
func (s *System) enqueue(w *world.World, r *entity.Request) {
	if s.suspects.IsSuspect(w, r) && !r.InTrial {
		w.SetPhase(r, entity.PhaseSuspect)
		return
	}
	r.QueuedAt = w.Now
	account, _ := w.Config.Accounts.Get(r.Account)
	q := s.queue(w, r)
	if wait := q.estimateWait(s.capacity(w, q), r.Account, account.Share, r.MaxCost); !r.PossiblyRun() && w.Now.Add(wait/maxWaitOverestimate+s.firstByteAllowance(r)).After(r.Deadline) {
		w.Refuse(r, entity.ReasonOverloaded, wait)
		return
	}
	q.push(r, account.Share, r.Attempt > 0)
	if q.waiting > w.Policy.QueueDepth {
		w.Refuse(q.shedCandidate(), entity.ReasonOverloaded, time.Second)
	}
}

// queue returns the queue of the request's rank, a new one if there is none.
func (s *System) queue(w *world.World, r *entity.Request) *rankQueue {
	i, ok := slices.BinarySearchFunc(s.ranks, r.Order, func(q *rankQueue, order int) int { return cmp.Compare(q.order, order) })
	if !ok {
		s.ranks = slices.Insert(s.ranks, i, &rankQueue{order: r.Order})
	}
	rank, _ := w.Config.Ranks.Get(r.Rank)
	s.ranks[i].floorPercent = rank.FloorPercent
	return s.ranks[i]
}

// releaseEnded removes ended requests from the queues, and releases the slots
// of requests that neither wait for a claim nor run at an endpoint.
func (s *System) releaseEnded(w *world.World) {
	for _, r := range w.ClosedLastPass {
		for _, q := range s.ranks {
			if q.order == r.Order {
				q.remove(r)
			}
		}
	}
	for _, id := range s.slots.Keys() {
		sl, _ := s.slots.Get(id)
		if sl.request.Phase != entity.PhaseClaiming && sl.request.Phase != entity.PhaseRunning {
			s.release(w, id, sl.attempt)
		}
	}
}
