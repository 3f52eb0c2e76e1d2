package endpoints

import (
	"time"

	"hawthornspar/core/revision"
)

// Durations for which an endpoint is avoided. After a failure the duration is
// initialAvoidance, doubled for each consecutive failure up to maxAvoidance.
const (
	initialAvoidance = 500 * time.Millisecond
	maxAvoidance     = 4 * time.Second
	// rejectionAvoidance follows a rejection. It is about the duration of a
	// request, after which a slot may be free.
	rejectionAvoidance = 100 * time.Millisecond
)

// Outcome is what the end of an attempt shows about its endpoint.
type Outcome int

// Outcomes of attempts.
const (
	// Succeeded: the endpoint sent a response that shows no fault.
	Succeeded Outcome = iota
	// ServerError: the endpoint responded with a server error.
	ServerError
	// Rejected: the response proves that the endpoint did not run the request.
	Rejected
	// Failed: the connection was refused or reset, or the response was missing
	// or truncated.
	Failed
	// Inconclusive: the attempt ended for a reason that shows nothing about the
	// endpoint, such as a disconnected client.
	Inconclusive
	// Misdirected: another endpoint has the address.
	Misdirected
)

// Attempt is one request of this VM, sent to one endpoint.
type Attempt struct {
	Endpoint        *Endpoint
	RunningBefore   int              // this VM's requests at the endpoint before the attempt
	PrefillTokens   int64            // prompt tokens that the endpoint is expected to prefill
	RegistryVersion revision.Version // version of the registry by which the endpoint was chosen
	RegistryAge     time.Duration    // since that registry was confirmed
	Notices         Notices
	Estimate        Estimate // of the time to the first chunk, by its parts
	PredictedMs     float64  // the estimate's total
	ActualMs        float64  // time to the first chunk; 0 until it came
	Cost            Cost     // by which the endpoint was chosen; zero if the load of other VMs was not known
	heldTokens      int64
	fleetKnown      bool    // whether the load of other VMs was known at the start
	tokensAhead     float64 // of all VMs, the request's own included
	speed           float64 // of the endpoint at the start
	startedAt       time.Time
	prefillEnded    bool
	ended           bool
}

// StartAttempt starts an attempt and adds it to the endpoint's load.
func (e *Endpoint) StartAttempt(r Request, now time.Time) *Attempt {
	return e.startAttempt(r, false, now)
}

// startAttempt implements StartAttempt. preferred tells whether the endpoint is
// the preferred one of the request's prefix.
func (e *Endpoint) startAttempt(r Request, preferred bool, now time.Time) *Attempt {
	tokens := r.PromptTokens - e.cachedTokens(r, preferred, now)
	a := &Attempt{Endpoint: e, RunningBefore: e.running, PrefillTokens: tokens, heldTokens: r.HeldTokens, startedAt: now}
	a.predict(r, preferred, now)
	e.running++
	e.heldTokens += r.HeldTokens
	e.prefillTokens += tokens
	if len(e.blockLastUsed) > maxPrefixBlocks {
		e.blockLastUsed = map[string]time.Time{}
	}
	for _, b := range r.sharedBlocks() {
		e.blockLastUsed[b.ID] = now
	}
	return a
}

// FirstChunk records the first chunk of the response, which ends the prefill of
// the prompt. Later calls have no effect.
func (a *Attempt) FirstChunk(now time.Time) {
	if a.prefillEnded {
		return
	}
	a.endPrefill()
	ms := float64(now.Sub(a.startedAt).Milliseconds())
	a.Endpoint.firstChunkMs.add(ms, now)
	a.Endpoint.model.observe(float64(a.PrefillTokens), ms)
	a.learn(now)
}

// endPrefill removes the prompt from the endpoint's load, whether it was
// prefilled or the attempt ended before.
func (a *Attempt) endPrefill() {
	if a.prefillEnded {
		return
	}
	a.prefillEnded = true
	a.Endpoint.prefillTokens -= a.PrefillTokens
}

// End removes the attempt from the endpoint's load and updates the endpoint's
// health. It reports whether the attempt was misdirected, or failed while the
// endpoint was not avoided. Later calls have no effect and return false.
func (a *Attempt) End(o Outcome, now time.Time) bool {
	if a.ended {
		return false
	}
	a.ended = true
	a.endPrefill()
	e := a.Endpoint
	e.running--
	e.heldTokens -= a.heldTokens
	switch o {
	case Succeeded:
		e.failureRate.add(0, now)
		a.learnDuration(now)
		e.consecutiveFailures = 0
		e.avoidUntil = time.Time{}
	case ServerError:
		e.failureRate.add(1, now)
	case Failed:
		e.failureRate.add(1, now)
		return e.avoid(now)
	case Misdirected:
		// If the endpoint is alive, its next heartbeat registers it again.
		e.expiresAt = now
		return true
	case Rejected:
		e.avoidUntil = later(e.avoidUntil, now.Add(rejectionAvoidance))
	case Inconclusive:
	}
	return false
}

// avoid starts or renews the avoidance after a failure. It reports whether the
// endpoint was not avoided before.
func (e *Endpoint) avoid(now time.Time) bool {
	wasHealthy := now.After(e.avoidUntil)
	duration := initialAvoidance << min(e.consecutiveFailures, 3)
	e.consecutiveFailures++
	e.avoidUntil = now.Add(min(duration, maxAvoidance))
	return wasHealthy
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
