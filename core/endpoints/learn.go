package endpoints

import (
	"time"

	"hawthornspar/core/endpointload"
)

const (
	// minObservedMs is the predicted time from which an observation tells the
	// speed of an endpoint. Less is lost in what does not depend on the speed.
	minObservedMs = 20.0
	// maxObservedRatio bounds how much faster than predicted a request was.
	maxObservedRatio = 8.0
)

// predict records the prediction for an attempt that is about to start.
func (a *Attempt) predict(r Request, preferred bool, now time.Time) {
	e := a.Endpoint
	a.Estimate = e.estimate(r, preferred, now)
	a.PredictedMs = a.Estimate.TotalMs()
	a.fleetKnown = e.fleet.known(now)
	a.tokensAhead = e.tokensAhead(now) + float64(a.PrefillTokens)
	a.speed = e.speed
}

// learn updates what is known of the service and of the endpoint's speed by the
// time to the first chunk. A wait for a slot tells nothing of either.
func (a *Attempt) learn(now time.Time) {
	e := a.Endpoint
	a.ActualMs = milliseconds(now.Sub(a.startedAt))
	if !a.fleetKnown || a.Estimate.SlotMs > 0 {
		return
	}
	e.recordUnexplained(a.PredictedMs, a.ActualMs, now)
	usualMs := (a.Estimate.WaitMs + a.Estimate.ReadMs) * a.speed
	if e.profile.responses >= minResponses && usualMs >= minObservedMs {
		actualMs := max(a.ActualMs-a.Estimate.BaseMs, usualMs/maxObservedRatio)
		e.fleet.record(endpointload.Observation{Endpoint: e.ID, PredictedMs: usualMs, ActualMs: actualMs})
	}
	e.profile.observeFirstChunk(a.tokensAhead/a.speed, a.ActualMs)
}

// learnDuration updates the duration of the service's requests by an attempt
// that succeeded.
func (a *Attempt) learnDuration(now time.Time) {
	if a.fleetKnown && a.Estimate.SlotMs == 0 {
		a.Endpoint.profile.observeEnd(now.Sub(a.startedAt))
	}
}
