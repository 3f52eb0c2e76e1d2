package dispatch

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hawthornspar/core/entity"
	"hawthornspar/core/suspect"
	"hawthornspar/core/world"
)

// Chooser picks the endpoint of a request.
type Chooser interface {
	// Choose returns one of the candidates, which all have room.
	Choose(w *world.World, r *entity.Request, candidates []*entity.Endpoint) *entity.Endpoint
}

// loadBound is how far above the mean an endpoint may be loaded for the sake
// of its prefix cache.
const loadBound = 1.25

// Affinity prefers the endpoint that a prompt's prefix hashes to, unless it
// is loaded above the bound, then the next one.
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
	bound := int(math.Ceil(loadBound * float64(total) / float64(len(candidates))))
	var best *entity.Endpoint
	var bestHash uint64
	for _, e := range candidates {
		h := mix(r.Prefix, e.Spec.Name)
		if e.InFlight < bound && (best == nil || h > bestHash) {
			best, bestHash = e, h
		}
	}
	if best == nil {
		return leastLoaded(candidates)
	}
	return best
}

func mix(prefix uint64, name string) uint64 {
	h := (xxhash.Sum64String(name) ^ prefix) * 0x9E3779B97F4A7C15
	return h ^ h>>32
}

// LeastLoaded picks the endpoint with the most free room.
type LeastLoaded struct{}

// Choose implements Chooser.
func (LeastLoaded) Choose(_ *world.World, _ *entity.Request, candidates []*entity.Endpoint) *entity.Endpoint {
	return leastLoaded(candidates)
}

func leastLoaded(candidates []*entity.Endpoint) *entity.Endpoint {
	best := candidates[0]
	for _, e := range candidates[1:] {
		if load(e) < load(best) {
			best = e
		}
	}
	return best
}

func load(e *entity.Endpoint) float64 { return float64(e.InFlight) / max(e.Window, 1) }

// Random picks any endpoint with room. It serves as a baseline.
type Random struct{}

// Choose implements Chooser.
func (Random) Choose(w *world.World, _ *entity.Request, candidates []*entity.Endpoint) *entity.Endpoint {
	return candidates[w.Random.IntN(len(candidates))]
}

// usable tells whether an endpoint may get new work now.
func usable(w *world.World, e *entity.Endpoint) bool {
	return !e.Spec.Leaving && !w.Now.Before(e.DownUntil) && e.InFlight < int(e.Window)
}

// mayTry tells whether a suspect may run on the endpoint: one in health, alone
// among suspects, on the VM that owns trials there.
func mayTry(w *world.World, r *entity.Request, e *entity.Endpoint) bool {
	if e.Suspects > 0 || e.Failures > 0 {
		return false
	}
	return suspect.Owner(w, e.Spec.Name).Name == w.Self.Name
}

// candidates returns the endpoints that may get the request now.
func candidates(w *world.World, r *entity.Request) []*entity.Endpoint {
	var found []*entity.Endpoint
	for _, e := range w.Endpoints.Rows() {
		if !usable(w, e) || !e.Spec.Serves(r.Service) {
			continue
		}
		if slices.Contains(r.Avoid, e.Spec.Name) || r.SoleSuspect && !mayTry(w, r, e) {
			continue
		}
		found = append(found, e)
	}
	return found
}
