package endpoints

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Estimates for the choice of an endpoint.
const (
	// prefillPerMs is the prompt tokens that an engine reads in a millisecond,
	// in the order of today's accelerators.
	prefillPerMs = 100.0
	// runningMs is what each own running request adds to the estimate.
	runningMs = 2.0
	// domainMs keeps traffic inside a failure domain when estimates are close.
	domainMs = 3.0
	// noiseMs spreads equal estimates of VMs that do not see each other.
	noiseMs = 2.0
	// partLife is how long a cached part is expected to stay.
	partLife = 20 * time.Second
)

// Work is what the choice needs to know of a request.
type Work struct {
	Service string
	Parts   []Part
	Prompt  int64 // tokens
}

// shared returns the parts that other requests may share: all but the last,
// which belongs to the request itself.
func (w Work) shared() []Part {
	if len(w.Parts) < 2 {
		return nil
	}
	return w.Parts[:len(w.Parts)-1]
}

// Random returns uniform numbers in [0, 1).
type Random interface{ Float64() float64 }

// Choose returns the endpoint with the lowest estimate for a request, passing
// over those in tried. domain is the VM's own failure domain. It returns nil
// when none takes new work.
func (t *Table) Choose(w Work, tried map[string]bool, domain string, random Random, now time.Time) *Endpoint {
	list := t.eligible(w.Service, tried, now)
	var best *Endpoint
	bestCost := 0.0
	home := homeOf(w, list)
	mean := meanLag(list)
	for _, e := range list {
		cost := e.estimate(w, e == home, domain, now) + e.penalty(mean, now) + noiseMs*random.Float64()
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// eligible returns the endpoints that take new work. Those that failed lately
// are left out, unless fewer than half of the service would remain.
func (t *Table) eligible(service string, tried map[string]bool, now time.Time) []*Endpoint {
	var all, sound []*Endpoint
	for _, e := range t.byService[service] {
		if !e.usable(now) || tried[e.ID] {
			continue
		}
		all = append(all, e)
		if now.After(e.avoidUntil) {
			sound = append(sound, e)
		}
	}
	if 2*len(sound) < len(all) {
		return all
	}
	return sound
}

// homeOf returns the endpoint that rendezvous hashing gives the deepest shared
// part of a prompt, so that all VMs send the same prefix to the same place.
func homeOf(w Work, list []*Endpoint) *Endpoint {
	shared := w.shared()
	if len(shared) == 0 {
		return nil
	}
	deepest := shared[len(shared)-1].ID
	var home *Endpoint
	var top uint64
	for _, e := range list {
		weight := xxhash.Sum64String(deepest + "/" + e.ID)
		if home == nil || weight > top {
			home, top = e, weight
		}
	}
	return home
}

// estimate returns the milliseconds until the request's first answer.
func (e *Endpoint) estimate(w Work, home bool, domain string, now time.Time) float64 {
	tokens := w.Prompt - e.cached(w, home, now)
	cost := float64(e.prefilling+tokens)/prefillPerMs + runningMs*float64(e.running)
	if e.Domain != domain {
		cost += domainMs
	}
	return cost
}

// cached returns the prompt tokens that the endpoint is expected to keep. The
// home of a prefix counts as keeping it, as other VMs send it there too.
func (e *Endpoint) cached(w Work, home bool, now time.Time) int64 {
	var tokens int64
	for _, p := range w.shared() {
		used, ok := e.parts[p.ID]
		if !home && (!ok || now.Sub(used) > partLife) {
			return tokens
		}
		tokens += p.Tokens
	}
	return tokens
}
