package gateway

import (
	"context"
	"net/http"
	"time"

	"hawthornspar/core/endpoints"
	"hawthornspar/core/escrow"
	"hawthornspar/core/notrun"
	"hawthornspar/core/quarantine"
	"hawthornspar/core/route"
)

// exchange is one client request with its attempts and the state of its
// response.
type exchange struct {
	gateway *Gateway
	writer  http.ResponseWriter
	request *http.Request
	info    RequestInfo
	arrived time.Time

	configurationVersion int64 // version of the configuration that admitted the request
	route                *route.Route
	account              *route.Account
	service              string
	engine               *route.Engine
	properties           endpoints.Request // what the choice of an endpoint depends on
	deadline             time.Time
	body                 []byte
	bodyMemory           int64                // bytes counted for the body in Gateway.bufferedBytes
	identity             quarantine.Feature   // empty until requestFeature is called
	parts                []quarantine.Feature // of the parts of the prompt that others may share
	trials               []quarantine.Trial   // trials of quarantined features that this request is

	reservation  *escrow.Reservation
	last         *endpoints.Attempt // the current or last attempt; nil if there was none
	attempted    map[string]bool    // endpoints that were chosen for earlier attempts
	addresses    []string           // to which earlier attempts were sent
	unreachable  int                // attempts that did not reach their endpoint
	attemptsSent int                // attempts that had a connection
	linkBytes    int                // counted for the link by awaitLink, and not sent yet
	runs         notrun.Record      // attempts that an endpoint may have run
	progress     progress           // of the response of the current attempt
	relayed      relayed
}

// forward makes attempts until the client has its response or the request is
// refused.
func (x *exchange) forward() {
	ctx, cancel := context.WithDeadline(x.request.Context(), x.deadline)
	defer cancel()
	defer context.AfterFunc(x.gateway.requestsEnd, cancel)()
	defer x.settle()
	defer x.refundTrials()
	defer x.limitWrites()()
	last := noEndpoint
	for {
		next, refused := x.nextAttempt(ctx, last)
		if next == retry {
			last = refused
			continue
		}
		if x.relayed.started && refused.status != 0 || refused == clientDisconnected {
			x.recordEnd("cutOff", refused.reason)
			x.abort()
		}
		if refused.status != 0 {
			x.refuse(refused)
			return
		}
		x.recordEnd("answered", "")
		return
	}
}

// maxWriteTime is how long after a request's deadline its client may take to read
// the response. A response that is ready is delivered late too, but a client that
// has stopped reading must not hold the request for good.
const maxWriteTime = 5 * time.Second

// limitWrites limits the time for writing the response, and ends a write at once when the
// client leaves. It returns a function that removes the limit for the next request on the
// connection.
func (x *exchange) limitWrites() func() {
	control := http.NewResponseController(x.writer)
	if err := control.SetWriteDeadline(x.deadline.Add(maxWriteTime)); err != nil {
		x.gateway.log.V(1).Info("no write deadline", "id", x.info.ID, "error", err.Error())
	}
	stop := context.AfterFunc(x.request.Context(), x.interruptWrites)
	return func() {
		stop()
		// It fails only on a closed connection.
		_ = control.SetWriteDeadline(time.Time{})
	}
}

// settle ends the reservation and bills the tokens that the request used.
func (x *exchange) settle() {
	if x.reservation == nil {
		return
	}
	x.gateway.state.settle(x.account.Name, x.reservation, x.billedTokens())
}

// billedTokens returns the tokens that the request is billed: its prompt once,
// and the output that was sent to the client. A response that never started is
// not billed.
func (x *exchange) billedTokens() int64 {
	if !x.relayed.started {
		return 0
	}
	return x.info.PromptTokens + x.outputTokens()
}

// outputTokens returns an upper estimate of the output tokens that were sent to
// the client.
func (x *exchange) outputTokens() int64 {
	perEvent := int64(1)
	if x.engine != nil && x.engine.TokensPerEvent > 0 {
		perEvent = x.engine.TokensPerEvent
	}
	return min(int64(x.relayed.events)*perEvent, x.info.MaxOutputTokens)
}

// refuse sends a refusal to the client, or closes the connection if the client
// has disconnected.
func (x *exchange) refuse(r refusal) {
	if r == clientDisconnected {
		x.recordEnd("cutOff", r.reason)
		x.abort()
	}
	x.recordEnd("refused", r.reason)
	x.gateway.refuse(x.writer, x.info.ID, r, x.runs.Statement(), x.timeLeft())
}

// timeLeft returns the time until the request's deadline. While no deadline is
// set, it returns the client's timeout; 0 when that is unknown.
func (x *exchange) timeLeft() time.Duration {
	if x.deadline.IsZero() {
		return x.info.ClientTimeout
	}
	return max(time.Until(x.deadline), time.Millisecond)
}

// recordEnd counts the request in the metrics and logs how it ended.
func (x *exchange) recordEnd(outcome, reason string) {
	name := ""
	if x.route != nil {
		name = x.route.Name
	}
	x.gateway.metrics.Increment("requests", outcome)
	x.gateway.metrics.ObserveDuration("request_seconds", outcome, time.Since(x.arrived))
	x.recordForecast()
	predicted, actual := x.firstEvent()
	x.gateway.log.Info("ended", "id", x.info.ID, "outcome", outcome, "reason", reason, "route", name, "account", x.accountName(),
		"configuration", x.configurationVersion, "sends", x.attemptsSent, "attempts", x.runs.PossibleRuns(), "events", x.relayed.events, "tokens", x.billedTokens(), "predictedMs", predicted, "firstMs", actual, "ms", time.Since(x.arrived).Milliseconds())
}
