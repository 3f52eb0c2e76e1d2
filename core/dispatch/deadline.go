package dispatch

import (
	"slices"
	"time"

	"hawthornspar/core/entity"
	"hawthornspar/core/world"
)

// maxWaitOverestimate is the factor by which an estimated wait may exceed the
// real one. A request is refused early only if even the estimate divided by
// this factor misses its deadline.
const maxWaitOverestimate = 2

// capacity estimates the tokens per second that a rank can get: the rate of
// all ranks, less the rate of more urgent ranks and the floors of less urgent
// ranks with waiting requests. The result is 0 while no estimate exists.
func (s *System) capacity(w *world.World, q *rankQueue) float64 {
	if !s.backlog {
		return 0
	}
	var total, higher, floors float64
	for _, other := range s.ranks {
		served := other.rate.perSecond(w.Now)
		total += served
		switch {
		case other.order < q.order:
			higher += served
		case other.order > q.order && other.waiting > 0:
			floors += float64(other.floorPercent) / 100
		}
	}
	return max(q.rate.perSecond(w.Now), total*(1-floors)-higher)
}

// updateBacklog resets the rates when requests start to wait. Only rates that
// are measured while requests wait show the capacity; others show the demand.
func (s *System) updateBacklog() {
	queued := slices.ContainsFunc(s.ranks, func(q *rankQueue) bool { return q.waiting > 0 })
	if queued && !s.backlog {
		for _, q := range s.ranks {
			q.rate = rate{}
		}
	}
	s.backlog = queued
}

// firstByteAllowance returns the part of a request's latency target that is set
// aside for the endpoint's time to first byte, at most half of the target.
func (s *System) firstByteAllowance(r *entity.Request) time.Duration {
	l, ok := s.firstByte.Get(latencyClass{r.Service, r.Order})
	if !ok {
		return 0
	}
	return min(l.upperEstimate(), r.Deadline.Sub(r.Arrived)/2)
}

// expire refuses requests whose deadline can no longer be met.
func (s *System) expire(w *world.World) {
	for _, q := range s.ranks {
		for _, a := range slices.Clone(q.active) {
			s.expireAccount(w, q, a)
		}
	}
}

func (s *System) expireAccount(w *world.World, q *rankQueue, a *accountQueue) {
	for _, service := range a.byService.Keys() {
		queued, _ := a.byService.Get(service)
		for _, r := range slices.Clone(queued) {
			if w.Now.Add(s.firstByteAllowance(r)).Before(r.Deadline) {
				break
			}
			q.remove(r)
			w.Refuse(r, s.expiryReason(w, r), time.Second)
		}
	}
}

// expiryReason distinguishes an overload from a service that no available
// endpoint serves.
func (s *System) expiryReason(w *world.World, r *entity.Request) entity.Reason {
	for _, e := range w.Endpoints.Rows() {
		if e.Spec.Serves(r.Service) && !e.Spec.Draining && !w.Now.Before(e.BackoffUntil) {
			return entity.ReasonOverloaded
		}
	}
	return entity.ReasonNoEndpoint
}
