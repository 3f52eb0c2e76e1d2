package gateway

import (
	"context"
	"mime"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"hawthornspar/core/endpoints"
	"hawthornspar/core/notrun"
	"hawthornspar/core/route"
	"hawthornspar/io/http1"
)

// notSent handles an attempt of which nothing reached the endpoint.
func (x *exchange) notSent(ctx context.Context, err error) (endpoints.Outcome, action, refusal) {
	if ctx.Err() != nil {
		return endpoints.Inconclusive, finish, x.deadlineRefusal()
	}
	x.gateway.log.V(1).Info("not sent", "id", x.info.ID, "service", x.service, "error", err.Error(), "unreachable", x.unreachable)
	var limit *http1.LimitError
	if errors.As(err, &limit) {
		return endpoints.Inconclusive, retry, unreachable
	}
	return endpoints.Failed, retry, unreachable
}

// noResponse handles an attempt that may have run and whose response is lost.
func (x *exchange) noResponse(ctx context.Context, a *endpoints.Attempt, err error) (endpoints.Outcome, action, refusal) {
	if ctx.Err() != nil {
		return endpoints.Failed, finish, deadlineExceeded
	}
	x.recordBroken(a, err)
	x.gateway.log.Info("answer lost", "id", x.info.ID, "endpoint", a.Endpoint.ID, "feature", x.requestFeature(), "parts", x.loggedParts(), "error", err.Error(), "attempts", x.runs.PossibleRuns())
	x.checkForCrash(ctx, a, err)
	if x.mayRetry() {
		return endpoints.Failed, retry, outcomeUnknown
	}
	return endpoints.Failed, finish, outcomeUnknown
}

// mayRetry reports whether the request may be sent again after it may have run.
func (x *exchange) mayRetry() bool {
	return x.route.Kind.Repeatable() && x.runs.PossibleRuns() < max(x.route.MaxAttempts, 1)
}

// isOwnResponse reports whether a response belongs to this request. A response
// may lack the request's id only if its status is 300 or above and its connection
// has carried no other request, a late second response to which it could be.
func (x *exchange) isOwnResponse(r *http.Response, reused bool) bool {
	head := x.gateway.dialect.ReadResponse(r.Header)
	if head.RequestID != "" || reused || r.StatusCode < http.StatusMultipleChoices {
		return head.RequestID == x.info.ID
	}
	return true
}

// UnsealedResponseError reports a success that no endpoint has sealed, so that it
// is no response to the request.
type UnsealedResponseError struct{}

// Error implements error.
func (*UnsealedResponseError) Error() string { return "the response has no seal of an endpoint" }

// handleResponse decides what an endpoint's response means for the request, and
// relays it unless another attempt follows. stop is the result of CloseOnDone
// for conn.
func (x *exchange) handleResponse(ctx context.Context, a *endpoints.Attempt, conn *http1.Conn, response *http.Response, stop func() bool) (endpoints.Outcome, action, refusal) {
	head := x.gateway.dialect.ReadResponse(response.Header)
	x.obeyNotices(a, response.StatusCode, head)
	x.logNotRunClaim(a, conn, response.StatusCode, head)
	if proof := x.proofIn(a, response.StatusCode, head); proof.Holds() {
		x.withdraw(a, proof)
		x.discardResponse(conn, response, stop)
		if proof.Fact() == notrun.Misdirected {
			return endpoints.Misdirected, retry, misdirected
		}
		return endpoints.Rejected, retry, endpointsFull
	}
	if !head.Sealed && response.StatusCode < http.StatusMultipleChoices {
		conn.Close()
		return x.noResponse(ctx, a, errors.WithStack(&UnsealedResponseError{}))
	}
	if next, refused := x.replacement(a, response, head); refused.status != 0 {
		x.discardResponse(conn, response, stop)
		return responseOutcome(hasFailed(response.StatusCode, head)), next, refused
	}
	return x.relayResponse(ctx, a, conn, response, stop)
}

// replacement returns what follows a response of a run that is not relayed: another attempt,
// or a refusal that promises nothing. It returns no refusal if the response is relayed.
func (x *exchange) replacement(a *endpoints.Attempt, response *http.Response, head ResponseInfo) (action, refusal) {
	ambiguous := isAmbiguous(response.StatusCode, head)
	if ambiguous {
		x.gateway.metrics.Increment("ambiguous_statuses", strconv.Itoa(response.StatusCode))
		x.gateway.log.Info("ambiguous status", "id", x.info.ID, "endpoint", a.Endpoint.ID, "status", response.StatusCode)
	}
	if hasFailed(response.StatusCode, head) && x.mayRetry() && x.gateway.state.takeRetry(x.service) {
		return retry, endpointError
	}
	if ambiguous || x.relayed.started && !continuesStream(response) {
		return finish, outcomeUnknown
	}
	return finish, refusal{}
}

// isAmbiguous reports whether a client could take the response to a request that may have
// run for the statement that it has not.
func isAmbiguous(status int, head ResponseInfo) bool {
	return promisesNotRun(status) || head.NotRun && status >= http.StatusMultipleChoices
}

// hasFailed reports whether the endpoint has failed the request that it ran.
func hasFailed(status int, head ResponseInfo) bool {
	return status >= http.StatusInternalServerError || isAmbiguous(status, head)
}

// relayResponse sends the response of a run to the client, and decides what follows if it
// ends too early.
func (x *exchange) relayResponse(ctx context.Context, a *endpoints.Attempt, conn *http1.Conn, response *http.Response, stop func() bool) (endpoints.Outcome, action, refusal) {
	err := x.relay(a, response)
	if err == nil {
		stop()
		conn.Finish(response)
		x.recordEndOfRun(response)
		return responseOutcome(response.StatusCode >= http.StatusInternalServerError), finish, refusal{}
	}
	conn.Close()
	switch {
	case x.isCut(err):
		return endpoints.Inconclusive, finish, responsesFull
	case x.request.Context().Err() != nil:
		return endpoints.Inconclusive, finish, clientDisconnected
	case ctx.Err() != nil:
		return endpoints.Succeeded, finish, deadlineExceeded
	}
	x.recordBroken(a, err)
	x.gateway.log.Info("answer cut off", "id", x.info.ID, "endpoint", a.Endpoint.ID, "feature", x.requestFeature(), "parts", x.loggedParts(), "error", err.Error(), "events", x.relayed.events)
	x.checkForCrash(ctx, a, err)
	if x.route.Kind == route.Resumable && x.mayRetry() || !x.relayed.started && x.mayRetry() {
		return endpoints.Failed, retry, outcomeUnknown
	}
	return endpoints.Failed, finish, outcomeUnknown
}

// proofIn returns the proof in the head of a response that the current attempt has not run.
func (x *exchange) proofIn(a *endpoints.Attempt, status int, head ResponseInfo) notrun.Proof {
	sent := notrun.Attempt{RequestID: x.info.ID, EndpointID: a.Endpoint.ID}
	return notrun.FromResponse(sent, notrun.Response{Status: status, RequestID: head.RequestID, EndpointID: head.EndpointID, NotRun: head.NotRun, Sealed: head.Sealed})
}

// logNotRunClaim logs and counts a response that may be taken for the statement that the
// request has not run, with all that speaks for and against it.
func (x *exchange) logNotRunClaim(a *endpoints.Attempt, conn *http1.Conn, status int, head ResponseInfo) {
	if !head.NotRun && !promisesNotRun(status) {
		return
	}
	x.gateway.metrics.Increment("not_run_claims", strconv.Itoa(status))
	x.gateway.log.Info("not-run claim", "id", x.info.ID, "endpoint", a.Endpoint.ID, "address", a.Endpoint.Address, "status", status, "mark", head.NotRun, "sealed", head.Sealed,
		"requestID", head.RequestID, "answeredBy", head.EndpointID, "reused", conn.Reused(), "kind", x.route.Kind.String())
}

// streamMediaType is the media type of streams of events.
const streamMediaType = "text/event-stream"

// continuesStream reports whether a response can continue a stream that has begun. An
// error cannot, whatever its status.
func continuesStream(r *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	return r.StatusCode == http.StatusOK && err == nil && mediaType == streamMediaType
}

// responseOutcome distinguishes server errors from other complete responses.
func responseOutcome(failed bool) endpoints.Outcome {
	if failed {
		return endpoints.ServerError
	}
	return endpoints.Succeeded
}
