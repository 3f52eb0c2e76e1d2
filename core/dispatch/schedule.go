package dispatch

import (
	"hawthornspar/core/entity"
	"hawthornspar/core/world"
)

// schedule assigns waiting requests to endpoints until no endpoint has room for
// any of them.
func (s *System) schedule(w *world.World) {
	cache := newCandidateCache(w)
	for {
		q, r := s.next(cache.hasCandidate)
		if r == nil {
			return
		}
		q.dequeue(r)
		s.updateCredits(q, r.MaxCost)
		q.rate.add(w.Now, r.MaxCost)
		s.assign(w, r, s.chooser.Choose(w, r, cache.candidates(r)))
		cache.invalidate()
	}
}

// next returns a request of a less urgent rank that has earned enough credit
// towards its floor, or else a request of the most urgent rank. It considers only
// requests for which an endpoint has room.
func (s *System) next(hasRoom roomCheck) (*rankQueue, *entity.Request) {
	var queue *rankQueue
	var urgent *entity.Request
	for _, q := range s.ranks {
		if q.waiting == 0 {
			continue
		}
		if urgent != nil && q.credit == 0 {
			continue
		}
		r := q.peek(hasRoom)
		if r == nil {
			continue
		}
		if urgent == nil {
			queue, urgent = q, r
			continue
		}
		if q.credit >= min(r.MaxCost, maxCreditTokens) {
			return q, r
		}
	}
	return queue, urgent
}

// candidateCache caches, per service, the endpoints that have room. It is
// invalidated after each assignment.
type candidateCache struct {
	world     *world.World
	endpoints entity.Table[string, []*entity.Endpoint] // by service
}

func newCandidateCache(w *world.World) *candidateCache { return &candidateCache{world: w} }

// hasCandidate reports whether any endpoint may get the request now.
func (c *candidateCache) hasCandidate(r *entity.Request) bool { return len(c.candidates(r)) > 0 }

// candidates returns the endpoints that may get the request now. Suspects and
// requests that must avoid endpoints bypass the cache, since their candidates
// depend on more than the service.
func (c *candidateCache) candidates(r *entity.Request) []*entity.Endpoint {
	if r.InTrial || len(r.ExcludedEndpoints) > 0 {
		return candidates(c.world, r)
	}
	endpoints, ok := c.endpoints.Get(r.Service)
	if !ok {
		endpoints = candidates(c.world, r)
		c.endpoints.Put(r.Service, endpoints)
	}
	return endpoints
}

// invalidate removes the entries that an assignment may have changed. Empty
// entries stay valid: room only shrinks while requests are assigned.
func (c *candidateCache) invalidate() {
	for _, service := range c.endpoints.Keys() {
		if endpoints, _ := c.endpoints.Get(service); len(endpoints) > 0 {
			c.endpoints.Delete(service)
		}
	}
}

// updateCredits charges the served rank and gives each other rank with waiting
// requests its floor percentage of the cost as credit. A rank without waiting
// requests loses its credit.
func (s *System) updateCredits(served *rankQueue, cost int64) {
	for _, q := range s.ranks {
		switch {
		case q == served:
			q.credit = max(q.credit-cost, 0)
		case q.waiting > 0:
			q.credit = min(q.credit+cost*int64(q.floorPercent)/100, maxCreditTokens)
		default:
			q.credit = 0
		}
	}
}
