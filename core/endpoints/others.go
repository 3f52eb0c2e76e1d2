package endpoints

import (
	"math"
	"time"

	"hawthornspar/core/endpointload"
)

// What a collector said of the other VMs' load loses weight with its age.
const (
	// othersHalfLife is the age at which it counts half.
	othersHalfLife = 500 * time.Millisecond
	// othersTTL is the age from which it is not used, and endpoints are chosen by
	// this VM's own load.
	othersTTL = time.Second
	// reportAge is by how much the reports in a summary are older than the
	// summary. The endpoint goes on reading meanwhile.
	reportAge = 50 * time.Millisecond
	// maxObservations bounds the observations that wait to be reported.
	maxObservations = 64
)

// fleetView is what a table shares with its endpoints of the fleet-wide load.
type fleetView struct {
	at           time.Time // of the load of other VMs; zero if that was never known
	share        float64   // share of the fleet's requests that this VM sees
	observations []endpointload.Observation
}

// age returns the age of the load of other VMs.
func (f *fleetView) age(now time.Time) time.Duration { return max(now.Sub(f.at), 0) }

// known reports whether the load of other VMs is recent enough to be used.
func (f *fleetView) known(now time.Time) bool { return !f.at.IsZero() && f.age(now) < othersTTL }

// weight returns the weight of the load of other VMs, from 0 to 1.
func (f *fleetView) weight(now time.Time) float64 {
	return math.Exp2(-f.age(now).Seconds() / othersHalfLife.Seconds())
}

// record keeps an observation until it is taken. The oldest one makes room.
func (f *fleetView) record(o endpointload.Observation) {
	if len(f.observations) >= maxObservations {
		f.observations = f.observations[1:]
	}
	f.observations = append(f.observations, o)
}

// SetOthers records what the other VMs have in flight at each endpoint, as known
// at a time. It ignores what is older than the last one, and endpoints that are
// not registered.
func (t *Table) SetOthers(s endpointload.Summary, at time.Time) {
	if at.Before(t.fleet.at) {
		return
	}
	t.fleet.at = at
	for id, e := range t.byID {
		entry := s.Entries[id]
		e.others, e.speed = entry.Load.Clipped(), entry.Speed
		if !(e.speed >= minSpeed && e.speed <= maxSpeed) {
			e.speed = 1
		}
	}
	for _, list := range t.byService {
		normalizeSpeeds(list)
	}
}

// Bounds of an endpoint's relative speed.
const (
	minSpeed = 0.25
	maxSpeed = 4.0
)

// normalizeSpeeds divides the speeds of a service's endpoints by their geometric
// mean. Only the product of speed and service rate can be observed; without a
// fixed mean, both would drift.
func normalizeSpeeds(list []*Endpoint) {
	sum := 0.0
	for _, e := range list {
		sum += math.Log(e.speed)
	}
	mean := math.Exp(sum / float64(max(len(list), 1)))
	for _, e := range list {
		e.speed /= mean
	}
}

// OwnLoads returns what this VM has in flight, by endpoint id.
func (t *Table) OwnLoads() map[string]endpointload.Load {
	loads := map[string]endpointload.Load{}
	for id, e := range t.byID {
		if e.running > 0 {
			loads[id] = endpointload.Load{Running: e.running, PrefillTokens: e.prefillTokens, HeldTokens: e.heldTokens}
		}
	}
	return loads
}

// TakeObservations returns the latest observations, at most 64, and clears them.
func (t *Table) TakeObservations() []endpointload.Observation {
	list := t.fleet.observations
	t.fleet.observations = nil
	return list
}

// SetFleetShare sets the share of the fleet's requests that this VM sees, by
// which its own rates are scaled to those of the fleet. It is 1 while unknown.
func (t *Table) SetFleetShare(share float64) {
	if !(share > 0 && share <= 1) {
		share = 1
	}
	t.fleet.share = share
}

// runningRequests returns the expected number of requests at the endpoint.
func (e *Endpoint) runningRequests(now time.Time) float64 {
	ageMs := milliseconds(e.fleet.age(now) + reportAge)
	others := remainingRequests(float64(e.others.Running), float64(e.Slots), ageMs, e.profile.durationMs)
	return float64(e.running) + e.fleet.weight(now)*others
}

// remainingRequests returns how many of n requests have not ended after a time.
// Those that wait for a slot start as others end. Without this, all VMs would
// follow counts of requests that ended long ago.
func remainingRequests(n, slots, ageMs, durationMs float64) float64 {
	if slots > 0 && n > slots {
		started := min(n-slots, ageMs*slots/durationMs)
		n -= started
		ageMs -= started * durationMs / slots
	}
	return n * math.Exp(-ageMs/durationMs)
}

// tokensAhead returns the expected number of prompt tokens that a new request
// waits for.
func (e *Endpoint) tokensAhead(now time.Time) float64 {
	readMs := milliseconds(e.fleet.age(now) + reportAge)
	read := readMs * e.profile.model.tokensPerMs() * e.speed
	others := e.fleet.weight(now)*float64(e.others.PrefillTokens) - read
	return float64(e.prefillTokens) + max(others, 0)
}

// ForgetOthers discards what the other VMs have in flight, as after a time in which
// this VM was suspended and its clock stood still.
func (t *Table) ForgetOthers() { t.fleet.at = time.Time{} }
