package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"hawthornspar/core/endpoints"
	"hawthornspar/core/escrow"
	"hawthornspar/core/notrun"
	"hawthornspar/core/quarantine"
	"hawthornspar/core/route"
	"hawthornspar/io/http1"
)

// minAttemptTime is the least time before the deadline that is worth an
// attempt: in less, an endpoint cannot do anything useful.
const minAttemptTime = 5 * time.Millisecond

// maxUnreachable bounds the attempts of one request that do not reach their
// endpoint: when several endpoints have no free connection, the others are as
// busy.
const maxUnreachable = 3

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
	attempted    map[string]bool // endpoints that were chosen for earlier attempts
	addresses    []string        // to which earlier attempts were sent
	unreachable  int             // attempts that did not reach their endpoint
	attemptsSent int             // attempts that had a connection
	runs         notrun.Record   // attempts that an endpoint may have run
	progress     progress        // of the response of the current attempt
	relayed      relayed
}

// action is what follows an attempt.
type action int

// Actions after an attempt.
const (
	finish action = iota // end the request: the client has its response, or gets a refusal
	retry                // make another attempt at another endpoint
)

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

// limitWrites limits the time for writing the response, and returns a function
// that removes the limit for the next request on the connection.
func (x *exchange) limitWrites() func() {
	control := http.NewResponseController(x.writer)
	if err := control.SetWriteDeadline(x.deadline.Add(maxWriteTime)); err != nil {
		x.gateway.log.V(1).Info("no write deadline", "id", x.info.ID, "error", err.Error())
	}
	return func() {
		// It fails only on a closed connection.
		_ = control.SetWriteDeadline(time.Time{})
	}
}

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
	if refused := x.claimTrials(ctx); refused != nil {
		return finish, x.finalRefusal(*refused)
	}
	needsRetryBudget := x.attemptsSent > 0 && last != unreachable && last != endpointLeft && last != endpointError
	if needsRetryBudget && !x.gateway.state.takeRetry(x.service) {
		return finish, x.finalRefusal(retryBudgetExhausted)
	}
	attempt := x.gateway.state.startAttempt(x.properties, x.attempted)
	if attempt == nil {
		return finish, x.finalRefusal(x.pauseRefusal(last))
	}
	x.attempted[attempt.Endpoint.ID] = true
	x.gateway.log.Info("sent", "id", x.info.ID, "endpoint", attempt.Endpoint.ID, "service", x.service, "running", attempt.RunningBefore, "uncached", attempt.PrefillTokens,
		"registry", attempt.RegistryVersion, "leaving", attempt.Notices.Leaving, "paused", attempt.Notices.Paused, "left", time.Until(x.deadline).Milliseconds())
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
		return x.notSent(ctx, err)
	}
	stop := conn.CloseOnDone(ctx)
	defer stop()
	x.progress = progress{}
	if !x.gateway.state.accepts(a) { // it left while the connection was opened
		conn.Close()
		return endpoints.Inconclusive, retry, endpointLeft
	}
	x.addresses = append(x.addresses, a.Endpoint.Address)
	x.attemptsSent++
	x.runs.Begin(x.attemptsSent)
	request := x.endpointRequest(a)
	x.gateway.uplink.add(estimatedHeadBytes/2 + len(request.Body))
	err = conn.Send(request)
	if err != nil {
		conn.Close()
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
	x.gateway.log.Info("ended", "id", x.info.ID, "outcome", outcome, "reason", reason, "route", name, "account", x.accountName(),
		"configuration", x.configurationVersion, "sends", x.attemptsSent, "attempts", x.runs.PossibleRuns(), "events", x.relayed.events, "tokens", x.billedTokens(), "ms", time.Since(x.arrived).Milliseconds())
}
