package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"hawthornspar/core/endpoints"
	"hawthornspar/core/notrun"
	"hawthornspar/io/http1"
)

// minAttemptTime is the least time before the deadline that is worth an
// attempt: in less, an endpoint cannot do anything useful.
const minAttemptTime = 5 * time.Millisecond

// maxUnreachable bounds the attempts of one request that do not reach their
// endpoint: when several endpoints have no free connection, the others are as
// busy.
const maxUnreachable = 3

// action is what follows an attempt.
type action int

// Actions after an attempt.
const (
	finish action = iota // end the request: the client has its response, or gets a refusal
	retry                // make another attempt at another endpoint
)

// nextAttempt chooses an endpoint and makes one attempt there, if the time, the
// endpoints and the retry budget allow it. last is the refusal that the
// previous attempt ended with. A retry is not charged to the retry budget if
// the previous endpoint was unreachable, or if it was charged already.
func (x *exchange) nextAttempt(ctx context.Context, last refusal) (action, refusal) {
	if time.Until(x.deadline) < minAttemptTime {
		return finish, x.deadlineRefusal()
	}
	if x.runs.PossibleRuns() == 0 && x.gateway.stopsBefore(x.deadline) {
		return finish, stopping
	}
	if x.countUnreachable(last) {
		return finish, x.finalRefusal(last)
	}
	// It waits before an endpoint is chosen, as another may be better after the wait.
	if refused := x.awaitLink(ctx); refused != nil {
		return finish, *refused
	}
	defer x.returnLinkBytes()
	if refused := x.claimTrials(ctx); refused != nil {
		return finish, x.finalRefusal(*refused)
	}
	if x.attemptsSent > 0 && last.chargesRetryBudget() && !x.gateway.state.takeRetry(x.service) {
		return finish, x.finalRefusal(retryBudgetExhausted)
	}
	attempt := x.startAttempt(ctx)
	if attempt == nil {
		return finish, x.finalRefusal(x.shortageRefusal(last))
	}
	x.attempted[attempt.Endpoint.ID] = true
	x.gateway.log.Info("sent", "id", x.info.ID, "endpoint", attempt.Endpoint.ID, "service", x.service, "running", attempt.RunningBefore, "uncached", attempt.PrefillTokens,
		"predictedMs", int64(attempt.PredictedMs), "waitMs", int64(attempt.Estimate.WaitMs), "slotMs", int64(attempt.Estimate.SlotMs), "cost", round3(attempt.Cost.Own), "work", round3(attempt.Cost.Work), "costToOthers", round3(attempt.Cost.Others),
		"registry", attempt.RegistryVersion.String(), "registryAgeMs", attempt.RegistryAge.Milliseconds(), "leaving", attempt.Notices.Leaving, "paused", attempt.Notices.Paused, "cold", attempt.Notices.Cold, "evacuated", attempt.Notices.Evacuated, "left", time.Until(x.deadline).Milliseconds())
	outcome, next, refused := x.attempt(ctx, attempt)
	if x.request.Context().Err() != nil {
		outcome = endpoints.Inconclusive
	}
	if x.gateway.state.endAttempt(attempt, outcome) {
		x.gateway.log.Info("endpoint avoided", "endpoint", attempt.Endpoint.ID, "service", x.service, "request", x.info.ID, "reason", refused.reason)
	}
	if next == retry {
		x.gateway.metrics.Increment("retries", refused.reason)
		x.gateway.log.Info("retried", "id", x.info.ID, "endpoint", attempt.Endpoint.ID, "reason", refused.reason, "attempts", x.runs.PossibleRuns(), "sends", x.attemptsSent)
	}
	return next, refused
}

// countUnreachable counts the previous attempt if its endpoint was unreachable,
// and reports whether the limit of such attempts is reached.
func (x *exchange) countUnreachable(last refusal) bool {
	if last == unreachable {
		x.unreachable++
	}
	return x.unreachable >= maxUnreachable
}

// finalRefusal returns the refusal that ends the request: r if no endpoint can
// have run the request, else outcomeUnknown.
func (x *exchange) finalRefusal(r refusal) refusal {
	if x.runs.PossibleRuns() > 0 {
		return outcomeUnknown
	}
	return r
}

// deadlineRefusal returns the refusal of a request that has no time left for an
// attempt.
func (x *exchange) deadlineRefusal() refusal {
	if x.runs.PossibleRuns() > 0 {
		return deadlineExceeded
	}
	return deadlineExceededUnsent
}

// attempt sends the request to one endpoint and relays its response.
func (x *exchange) attempt(ctx context.Context, a *endpoints.Attempt) (endpoints.Outcome, action, refusal) {
	conn, err := x.connect(ctx, a.Endpoint.Address)
	if err != nil || !conn.Reused() {
		x.gateway.congestion.recordDial(err)
	}
	if err != nil {
		x.recordBroken(a, err)
		return x.notSent(ctx, err)
	}
	stop := conn.CloseOnDone(ctx)
	defer stop()
	x.progress = progress{}
	if refused := x.gateway.state.admit(a, x.gateway.reloaded.Load().DrainNotice); refused.status != 0 {
		conn.Close()
		return x.turnBack(refused)
	}
	x.addresses = append(x.addresses, a.Endpoint.Address)
	x.attemptsSent++
	x.runs.Begin(x.attemptsSent)
	x.linkBytes = 0
	err = conn.Send(x.endpointRequest(a))
	if err != nil {
		conn.Close()
		x.recordBroken(a, err)
		if proof := notrun.FromError(err); proof.Holds() {
			x.withdraw(a, proof)
			return x.notSent(ctx, err)
		}
		return x.noResponse(ctx, a, err)
	}
	response, err := conn.ReadResponse(x.request.Method, func(r *http.Response) bool { return x.isOwnResponse(r, conn.Reused()) })
	if err != nil {
		conn.Close()
		return x.noResponse(ctx, a, err)
	}
	return x.handleResponse(ctx, a, conn, response, stop)
}

// connect returns a connection to an address. It is a new one if the request was sent there
// before: on a kept one, a late copy of the earlier response would have the same id.
func (x *exchange) connect(ctx context.Context, address string) (*http1.Conn, error) {
	limit := x.gateway.state.maxConnections(x.service)
	if slices.Contains(x.addresses, address) {
		return x.gateway.pool.Open(ctx, address, limit)
	}
	return x.gateway.pool.Get(ctx, address, limit)
}

// withdraw takes the current attempt back, which a proof shows not to have run.
func (x *exchange) withdraw(a *endpoints.Attempt, proof notrun.Proof) {
	x.runs.Withdraw(x.attemptsSent, proof)
	x.gateway.metrics.Increment("not_run_proofs", string(proof.Fact()))
	x.gateway.log.Info("proved not run", "id", x.info.ID, "endpoint", a.Endpoint.ID, "proof", proof.Fact(), "sends", x.attemptsSent)
}
