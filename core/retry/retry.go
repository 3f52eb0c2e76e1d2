// Package retry decides what follows the end of an attempt: settlement, a retry
// within the retry budget, or a refusal that states what is known of the outcome.
package retry

import (
	"time"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/settle"
	"hawthornspar/core/world"
)

// Recorder stores the outcomes of claimed requests.
type Recorder interface {
	Record(w *world.World, r *entity.Request, response entity.AppResponse)
}

// System handles ends of attempts and updates the health of endpoints.
type System struct {
	recorder    Recorder
	retryTokens float64 // retries allowed now; each submitted request adds to them
}

// New returns the retry system.
func New(recorder Recorder) *System {
	return &System{recorder: recorder, retryTokens: initialRetryTokens}
}

// Start value of the retry budget, and the reason of retries that it does not
// limit.
const (
	initialRetryTokens = 20
	notSent            = "neverSent"
)

// Handle implements world.System.
func (s *System) Handle(w *world.World, event inbox.Event) {
	switch e := event.(type) {
	case inbox.Submitted:
		s.retryTokens = min(s.retryTokens+w.Policy.RetryRatio, w.Policy.RetryBurst)
	case inbox.AttemptEnded:
		s.handleEnd(w, e)
	}
}

// Tick implements world.System.
func (s *System) Tick(*world.World) {}

// handleEnd handles the end of an attempt. The end of an outdated attempt only
// updates the endpoint.
func (s *System) handleEnd(w *world.World, e inbox.AttemptEnded) {
	s.updateEndpoint(w, e)
	r, ok := w.Requests.Get(e.Request)
	if !ok || r.Phase != entity.PhaseRunning || r.Attempt != e.Attempt {
		return
	}
	switch e.Outcome {
	case inbox.OutcomeCompleted:
		s.complete(w, r, e)
	case inbox.OutcomeNotSent:
		if !e.Proof.Holds() {
			s.handlePossiblyRun(w, r, false)
			return
		}
		r.ConfirmNotRun(e.Attempt, e.Proof)
		s.retry(w, r, entity.PhaseQueued, notSent)
	case inbox.OutcomeFull:
		s.handleFull(w, r, e)
	case inbox.OutcomeRejected:
		s.fail(w, r, entity.ReasonEndpointRejected)
	case inbox.OutcomeConnectionFailed:
		s.handlePossiblyRun(w, r, e.EndpointCrashed)
	case inbox.OutcomeCancelled:
		w.Close(r)
	}
}

// handleFull queues a request again whose endpoint had no capacity. A non-idempotent
// request must not have run there, which only a proof shows; without one the endpoint's
// response, if there is one, is the outcome.
func (s *System) handleFull(w *world.World, r *entity.Request, e inbox.AttemptEnded) {
	switch {
	case e.Proof.Holds() || r.Idempotent:
		r.ConfirmNotRun(e.Attempt, e.Proof)
		w.Emit(outbox.Count{Counter: world.CounterRetries, Reason: "endpointFull"})
		w.SetPhase(r, entity.PhaseQueued)
	case e.Response.Status != 0:
		s.complete(w, r, e)
	default:
		s.fail(w, r, entity.ReasonOutcomeUnknown)
	}
}

// complete charges a request for its complete response. A model request is
// charged for the tokens used, any other request for its whole reservation if
// the status of the response is below 300.
func (s *System) complete(w *world.World, r *entity.Request, e inbox.AttemptEnded) {
	if r.Kind == entity.KindModel {
		settle.SetCharge(r, e.Tokens)
	} else if e.Response.Status < 300 {
		settle.SetCharge(r, r.MaxCost)
	}
	if r.ClaimHeld {
		s.recorder.Record(w, r, e.Response)
	}
	w.SetPhase(r, entity.PhaseSettling)
}

// handlePossiblyRun refuses or retries a request whose endpoint may have run
// it. Only idempotent requests whose client got no part of a response are
// retried, and not at the same endpoint.
func (s *System) handlePossiblyRun(w *world.World, r *entity.Request, crashed bool) {
	if !r.Idempotent {
		s.fail(w, r, entity.ReasonOutcomeUnknown)
		return
	}
	if r.ResponseStarted {
		w.Refuse(r, entity.ReasonResponseInterrupted, 0)
		return
	}
	r.ExcludedEndpoints = append(r.ExcludedEndpoints, r.Endpoint)
	next := entity.PhaseQueued
	if crashed {
		next = entity.PhaseSuspect
	}
	s.retry(w, r, next, "endpointBroke")
}

// fail refuses a request. If the request holds a claim, it first records there
// that the outcome is lost, for requests that watch the claim.
func (s *System) fail(w *world.World, r *entity.Request, reason entity.Reason) {
	if r.ClaimHeld {
		s.recorder.Record(w, r, entity.AppResponse{})
	}
	w.Refuse(r, reason, 0)
}

// retry moves the request to the phase next for another attempt, unless it is
// quarantined, has had too many broken attempts, or the retry budget is spent.
func (s *System) retry(w *world.World, r *entity.Request, next entity.Phase, reason string) {
	r.Retries++
	if reason != notSent {
		r.BrokenAttempts++
	}
	switch {
	case w.Config.IsQuarantined(r):
		w.SetPhase(r, entity.PhaseSuspect) // refused once all VMs know of the quarantine
	case r.BrokenAttempts >= w.Policy.MaxBrokenAttempts:
		w.Refuse(r, entity.ReasonEndpointFailed, time.Second)
	case reason != notSent && s.retryTokens < 1:
		w.Refuse(r, entity.ReasonRetryBudgetSpent, time.Second)
	default:
		s.consumeToken(reason)
		w.Emit(outbox.Count{Counter: world.CounterRetries, Reason: reason})
		w.SetPhase(r, next)
	}
}

// consumeToken takes a token from the retry budget. A retry is free if the last
// attempt was never sent, since that attempt caused no load on endpoints.
func (s *System) consumeToken(reason string) {
	if reason != notSent {
		s.retryTokens--
	}
}

// updateEndpoint updates the endpoint's health and this VM's window at it. The
// window grows with each response, halves when the endpoint is full, and falls
// to 1 after a failure, when the endpoint is not used for a backoff that doubles
// with each failure in a row.
func (s *System) updateEndpoint(w *world.World, e inbox.AttemptEnded) {
	ep, ok := w.Endpoints.Get(e.Endpoint)
	if !ok {
		return
	}
	switch e.Outcome {
	case inbox.OutcomeCompleted:
		ep.ConsecutiveFailures = 0
		ep.Completed++
		ep.Window = min(ep.Window+windowGrowth(ep), max(float64(ep.Spec.Slots), 1))
	case inbox.OutcomeFull:
		ep.Window = max(ep.Window/2, 1)
		ep.SlowStartThreshold = ep.Window
		ep.BackoffUntil = w.Now.Add(fullBackoff)
	case inbox.OutcomeNotSent, inbox.OutcomeConnectionFailed:
		ep.ConsecutiveFailures++
		ep.SlowStartThreshold = max(ep.SlowStartThreshold, ep.Window/2)
		ep.Window = 1
		backoff := w.Policy.EndpointBackoff << min(ep.ConsecutiveFailures-1, 6)
		ep.BackoffUntil = w.Now.Add(min(backoff, w.Policy.EndpointBackoffMax))
	}
}

// windowGrowth returns what one response adds to the window. Below the
// slow-start threshold, as after a failure, the window doubles per round of
// responses; above it, the window grows by one per round.
func windowGrowth(ep *entity.Endpoint) float64 {
	if ep.Window < ep.SlowStartThreshold {
		return 1
	}
	return 1 / ep.Window
}

// fullBackoff is how long a full endpoint gets no new requests.
const fullBackoff = 20 * time.Millisecond
