package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"hawthornspar/core/endpoints"
	"hawthornspar/core/escrow"
	"hawthornspar/core/route"
	"hawthornspar/io/http1"
)

// leastLeft is the least time in which an endpoint can do anything useful.
const leastLeft = 5 * time.Millisecond

// unreachableMost bounds the endpoints that are tried in vain for one request:
// when several have no connection left, the others are as busy.
const unreachableMost = 3

// exchange is one request of a client with its sends to endpoints.
type exchange struct {
	gateway *Gateway
	writer  http.ResponseWriter
	request *http.Request
	info    RequestInfo
	arrived time.Time

	version  int64 // of the configuration that it was admitted by
	route    *route.Route
	account  *route.Account
	service  string
	engine   *route.Engine
	work     endpoints.Work
	deadline time.Time
	body     []byte

	reservation *escrow.Reservation
	tried       map[string]bool // endpoints that it was sent to
	unreachable int             // endpoints that it could not be sent to
	sends       int
	attempts    int // sends that may have run
	relayed     relayed
}

// step is what follows a send.
type step int

const (
	done  step = iota // the client has its answer, or gets a refusal
	again             // send to another endpoint
)

// run forwards the request until the client has an answer.
func (x *exchange) run() {
	ctx, cancel := context.WithDeadline(x.request.Context(), x.deadline)
	defer cancel()
	defer x.settle()
	last := noEndpoint
	for {
		next, refused := x.attempt(ctx, last)
		if next == again {
			last = refused
			continue
		}
		if x.relayed.begun && refused.status != 0 || refused == clientLeft {
			x.end("cutOff", refused.reason)
			panic(http.ErrAbortHandler)
		}
		if refused.status != 0 {
			x.refuse(refused)
			return
		}
		x.end("answered", "")
		return
	}
}

// attempt sends the request once. last says why the send before it failed.
func (x *exchange) attempt(ctx context.Context, last refusal) (step, refusal) {
	if time.Until(x.deadline) < leastLeft {
		return done, x.late()
	}
	if x.outOfTries(last) {
		return done, x.giveUp(last)
	}
	arrived := x.sends > 0 && last != unreachable && last != endpointError
	if arrived && !x.gateway.state.takeRetry(x.service) {
		return done, x.giveUp(retriesSpent)
	}
	send := x.gateway.state.place(x.work, x.tried)
	if send == nil {
		return done, x.giveUp(last)
	}
	x.tried[send.Endpoint.ID] = true
	x.gateway.log.Info("sent", "id", x.info.ID, "endpoint", send.Endpoint.ID, "service", x.service, "running", send.Running, "uncached", send.Tokens,
		"registry", send.Registry, "left", time.Until(x.deadline).Milliseconds())
	outcome, next, refused := x.send(ctx, send)
	if x.request.Context().Err() != nil {
		outcome = endpoints.Unreached
	}
	if x.gateway.state.end(send, outcome) {
		x.gateway.log.Info("endpoint avoided", "endpoint", send.Endpoint.ID, "service", x.service, "request", x.info.ID, "reason", refused.reason)
	}
	if next == again {
		x.gateway.metrics.Count("retries", refused.reason)
		x.gateway.log.Info("retried", "id", x.info.ID, "endpoint", send.Endpoint.ID, "reason", refused.reason, "attempts", x.attempts, "sends", x.sends)
	}
	return next, refused
}

// outOfTries counts a send that did not reach its endpoint, and tells whether
// there were enough of them.
func (x *exchange) outOfTries(last refusal) bool {
	if last == unreachable {
		x.unreachable++
	}
	return x.unreachable >= unreachableMost
}

// giveUp returns the final refusal: not run only when nothing can have run.
func (x *exchange) giveUp(r refusal) refusal {
	if x.attempts > 0 {
		return outcomeUnknown
	}
	return r
}

func (x *exchange) late() refusal {
	if x.attempts > 0 {
		return lateSent
	}
	return lateUnsent
}

// send sends the request to one endpoint and relays its answer.
func (x *exchange) send(ctx context.Context, s *endpoints.Send) (endpoints.Outcome, step, refusal) {
	conn, err := x.gateway.pool.Get(ctx, s.Endpoint.Address, x.gateway.state.connections(x.service))
	if err != nil || !conn.Reused() {
		x.gateway.jam.opened(err)
	}
	if err != nil {
		return x.unsent(ctx, err)
	}
	stop := conn.CloseWith(ctx)
	defer stop()
	x.sends++
	err = conn.Send(x.outgoing(s))
	if err != nil {
		conn.Close()
		var unsent *http1.UnsentError
		if errors.As(err, &unsent) {
			return x.unsent(ctx, err)
		}
		return x.unanswered(ctx, err)
	}
	response, err := conn.Answer(x.request.Method, x.own)
	if err != nil {
		conn.Close()
		return x.unanswered(ctx, err)
	}
	return x.answer(ctx, s, conn, response, stop)
}

// settle bills what the request used.
func (x *exchange) settle() {
	if x.reservation == nil {
		return
	}
	x.gateway.state.settle(x.account.Name, x.reservation, x.used())
}

// used returns the tokens that the request is billed: its prompt once, and the
// output that the client was sent. An answer that never began is not billed.
func (x *exchange) used() int64 {
	if !x.relayed.begun {
		return 0
	}
	return x.info.PromptTokens + x.outputTokens()
}

// outputTokens returns the output that the client was sent, counted high.
func (x *exchange) outputTokens() int64 {
	perEvent := int64(1)
	if x.engine != nil && x.engine.TokensPerEvent > 0 {
		perEvent = x.engine.TokensPerEvent
	}
	return min(int64(x.relayed.events)*perEvent, x.info.OutputTokens)
}

func (x *exchange) refuse(r refusal) {
	if r == clientLeft {
		x.end("cutOff", r.reason)
		panic(http.ErrAbortHandler)
	}
	x.end("refused", r.reason)
	x.gateway.refuse(x.writer, x.info.ID, r, x.left())
}

// left returns the time until the client's deadline; 0 when it is unknown.
func (x *exchange) left() time.Duration {
	if x.deadline.IsZero() {
		return x.info.ClientTimeout
	}
	return max(time.Until(x.deadline), time.Millisecond)
}

// end logs how the request ended.
func (x *exchange) end(outcome, reason string) {
	name, account := "", ""
	if x.route != nil {
		name = x.route.Name
	}
	if x.account != nil {
		account = x.account.Name
	}
	x.gateway.metrics.Count("requests", outcome)
	x.gateway.metrics.Time("request_seconds", outcome, time.Since(x.arrived))
	x.gateway.log.Info("ended", "id", x.info.ID, "outcome", outcome, "reason", reason, "route", name, "account", account,
		"configuration", x.version, "sends", x.sends, "attempts", x.attempts, "events", x.relayed.events, "tokens", x.used(), "ms", time.Since(x.arrived).Milliseconds())
}
