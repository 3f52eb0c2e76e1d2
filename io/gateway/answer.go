package gateway

import (
	"context"
	"errors"
	"net/http"

	"hawthornspar/core/endpoints"
	"hawthornspar/core/route"
	"hawthornspar/io/http1"
)

// unsent follows a send of which nothing reached the endpoint.
func (x *exchange) unsent(ctx context.Context, err error) (endpoints.Outcome, step, refusal) {
	if ctx.Err() != nil {
		return endpoints.Unreached, done, x.late()
	}
	x.gateway.log.V(1).Info("not sent", "id", x.info.ID, "service", x.service, "error", err.Error(), "unreachable", x.unreachable)
	var limit *http1.LimitError
	if errors.As(err, &limit) {
		return endpoints.Unreached, again, unreachable
	}
	return endpoints.Failed, again, unreachable
}

// unanswered follows a send that may have run and whose answer is lost.
func (x *exchange) unanswered(ctx context.Context, err error) (endpoints.Outcome, step, refusal) {
	x.attempts++
	if ctx.Err() != nil {
		return endpoints.Failed, done, lateSent
	}
	x.gateway.log.Info("answer lost", "id", x.info.ID, "error", err.Error(), "attempts", x.attempts)
	if x.mayRepeat() {
		return endpoints.Failed, again, outcomeUnknown
	}
	return endpoints.Failed, done, outcomeUnknown
}

// mayRepeat tells whether the request may be sent again after it may have run.
func (x *exchange) mayRepeat() bool {
	return x.route.Kind.Repeatable() && x.attempts < max(x.route.MaxAttempts, 1)
}

// own tells whether an answer belongs to this request.
func (x *exchange) own(r *http.Response) bool {
	reply := x.gateway.dialect.ReadResponse(r.Header)
	if reply.ID != "" || r.StatusCode < http.StatusMultipleChoices {
		return reply.ID == x.info.ID
	}
	return true
}

// answer decides what an endpoint's answer means for the request.
func (x *exchange) answer(ctx context.Context, s *endpoints.Send, conn *http1.Conn, response *http.Response, stop func() bool) (endpoints.Outcome, step, refusal) {
	reply := x.gateway.dialect.ReadResponse(response.Header)
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest:
		x.finish(conn, response, stop)
		return endpoints.Misdirected, again, misdirected
	case reply.NotRun:
		x.finish(conn, response, stop)
		return endpoints.Rejected, again, endpointsFull
	}
	x.attempts++
	failed := response.StatusCode >= http.StatusInternalServerError
	if failed && x.route.Kind.Repeatable() && x.mayRepeat() && x.gateway.state.takeRetry(x.service) {
		x.finish(conn, response, stop)
		return endpoints.FailedAnswer, again, endpointError
	}
	if x.relayed.begun && response.StatusCode != http.StatusOK {
		x.finish(conn, response, stop)
		return endpoints.Answered, done, outcomeUnknown
	}
	err := x.relay(s, response)
	switch {
	case err == nil:
		stop()
		conn.Finish(response)
		return outcomeOf(response), done, refusal{}
	case x.request.Context().Err() != nil:
		conn.Close()
		return endpoints.Unreached, done, clientLeft
	case ctx.Err() != nil:
		conn.Close()
		return endpoints.Answered, done, lateSent
	}
	conn.Close()
	x.gateway.log.Info("answer cut off", "id", x.info.ID, "endpoint", s.Endpoint.ID, "error", err.Error(), "events", x.relayed.events)
	if x.route.Kind == route.Resumable && x.mayRepeat() || !x.relayed.begun && x.mayRepeat() {
		return endpoints.Failed, again, outcomeUnknown
	}
	return endpoints.Failed, done, outcomeUnknown
}

// outcomeOf tells a server error from other whole answers.
func outcomeOf(r *http.Response) endpoints.Outcome {
	if r.StatusCode >= http.StatusInternalServerError {
		return endpoints.FailedAnswer
	}
	return endpoints.Answered
}
