package dispatch

import (
	"slices"
	"time"

	"hawthornspar/core/entity"
	"hawthornspar/core/world"
)

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
