package dispatch

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hawthornspar/core/entity"
	"hawthornspar/core/suspect"
	"hawthornspar/core/world"
)

// Chooser selects the endpoint that gets a request.
type Chooser interface {
	// Choose returns one of the candidates. All of them have room for the request.
	Choose(w *world.World, r *entity.Request, candidates []*entity.Endpoint) *entity.Endpoint
}

// maxRelativeLoad is the load, relative to the mean of the candidates, below
// which an endpoint gets requests for the sake of its prefix cache.
const maxRelativeLoad = 1.25

// Affinity selects endpoints by rendezvous hashing of the prompt prefix with
// bounded load: the endpoint with the highest score whose load is below the
// bound. Requests without a prefix go to the least loaded endpoint.
type Affinity struct{}

// Choose implements Chooser.
func (Affinity) Choose(_ *world.World, r *entity.Request, candidates []*entity.Endpoint) *entity.Endpoint {
	if r.Prefix == 0 {
		return leastLoaded(candidates)
	}
	total := 1
	for _, e := range candidates {
		total += e.InFlight
	}
	bound := int(math.Ceil(maxRelativeLoad * float64(total) / float64(len(candidates))))
	var best *entity.Endpoint
	var bestScore uint64
	for _, e := range candidates {
		h := rendezvousScore(r.Prefix, e.Spec.Name)
		if e.InFlight < bound && (best == nil || h > bestScore) {
			best, bestScore = e, h
		}
	}
	if best == nil {
		return leastLoaded(candidates)
	}
	return best
}

// rendezvousScore returns the score of an endpoint name for a prefix hash. The
// multiplier is 2^64 divided by the golden ratio, as in Fibonacci hashing.
func rendezvousScore(prefix uint64, name string) uint64 {
	h := (xxhash.Sum64String(name) ^ prefix) * 0x9E3779B97F4A7C15
	return h ^ h>>32
}

// LeastLoaded selects the endpoint with the smallest used fraction of its window.
type LeastLoaded struct{}

// Choose implements Chooser.
func (LeastLoaded) Choose(_ *world.World, _ *entity.Request, candidates []*entity.Endpoint) *entity.Endpoint {
	return leastLoaded(candidates)
}

func leastLoaded(candidates []*entity.Endpoint) *entity.Endpoint {
	best := candidates[0]
	for _, e := range candidates[1:] {
		if utilization(e) < utilization(best) {
			best = e
		}
	}
	return best
}

// utilization returns the used fraction of this VM's window at the endpoint.
func utilization(e *entity.Endpoint) float64 { return float64(e.InFlight) / max(e.Window, 1) }

// Random selects a candidate uniformly at random. It is a baseline for
// comparisons.
type Random struct{}

// Choose implements Chooser.
func (Random) Choose(w *world.World, _ *entity.Request, candidates []*entity.Endpoint) *entity.Endpoint {
	return candidates[w.Random.IntN(len(candidates))]
}

// usable reports whether an endpoint may get new requests now: it is not
// draining, no backoff is in progress, and this VM's window has room.
func usable(w *world.World, e *entity.Endpoint) bool {
	return !e.Spec.Draining && !w.Now.Before(e.BackoffUntil) && e.InFlight < int(e.Window)
}

// mayRunSuspect reports whether the endpoint may get a suspect request: the
// endpoint has no recent failures and runs no other suspect of this VM, and this
// VM is the one that runs suspects there.
func mayRunSuspect(w *world.World, r *entity.Request, e *entity.Endpoint) bool {
	if e.SuspectsInFlight > 0 || e.ConsecutiveFailures > 0 {
		return false
	}
	return suspect.TrialOwner(w, e.Spec.Name).Name == w.Self.Name
}

// candidates returns the endpoints that may get the request now, in the order
// of the endpoint table.
func candidates(w *world.World, r *entity.Request) []*entity.Endpoint {
	var found []*entity.Endpoint
	for _, e := range w.Endpoints.Rows() {
		if !usable(w, e) || !e.Spec.Serves(r.Service) {
			continue
		}
		if slices.Contains(r.ExcludedEndpoints, e.Spec.Name) || r.InTrial && !mayRunSuspect(w, r, e) {
			continue
		}
		found = append(found, e)
	}
	return found
}
