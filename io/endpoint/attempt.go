package endpoint

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/notrun"
	"hawthornspar/core/outbox"
)

// HTTP headers that endpoints accept in addition to their protocol.
const (
	headerRunID    = "X-Run-Id"
	headerPriority = "X-Priority"
)

// headerNotRun is the header of a response by which an endpoint says that it has not run,
// and will not run, the run that the value names.
const headerNotRun = "X-Not-Run"

// attempt is one request sent to one endpoint.
type attempt struct {
	client      *Client
	command     outbox.StartAttempt
	exchange    Exchange
	ctx         context.Context
	cancel      context.CancelFunc
	sent        atomic.Bool // bytes may have reached the endpoint
	timedOut    atomic.Bool // no event arrived in time
	crashed     bool        // the connection broke, and the endpoint had crashed or stayed unreachable
	eventCount  int         // events passed on, without the final ones
	usage       tokenUsage
	rejection   notrun.Proof // in the response to the request
	finalEvents [][]byte     // events without text at the end of the response
}

// run sends the request and posts how the attempt ended.
func (a *attempt) run() {
	defer a.cancel()
	defer a.client.removeCancel(attemptID{a.command.Request, a.command.Attempt})
	end := inbox.AttemptEnded{Request: a.command.Request, Attempt: a.command.Attempt, Endpoint: a.command.Endpoint}
	if a.command.Kind == entity.KindModel {
		end.Outcome = a.streamModel()
		end.Tokens = a.usage.Prompt + max(a.usage.Completion, int64(a.eventCount))
	} else {
		end.Outcome, end.Response = a.callApp()
	}
	end.Proof = a.proof(end.Outcome)
	end.EndpointCrashed = a.crashed && end.Outcome == inbox.OutcomeConnectionFailed
	a.client.post(end)
}

// newRequest returns the HTTP request for the endpoint. As soon as the request
// has a connection, the attempt is marked as sent.
func (a *attempt) newRequest(ctx context.Context) (*http.Request, error) {
	method, url, header, body := a.exchange.Request(a.command.Address)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.sent.Store(true) }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header = header
	r.Header.Set(headerRunID, a.runID())
	r.Header.Set(headerPriority, strconv.Itoa(a.command.Order))
	return r, nil
}

// runID returns the name by which the engine knows this attempt's run.
func (a *attempt) runID() string {
	return a.client.incarnation + "-" + strconv.FormatInt(a.command.Request, 10) + "-" + strconv.Itoa(a.command.Attempt)
}

// failureOutcome returns the outcome of an attempt that got no complete response.
func (a *attempt) failureOutcome() inbox.Outcome {
	switch {
	case a.ctx.Err() != nil && !a.timedOut.Load():
		return inbox.OutcomeCancelled
	case !a.sent.Load():
		return inbox.OutcomeNotSent
	}
	return inbox.OutcomeConnectionFailed
}

// proof returns the proof that the attempt has not run, if its outcome has one.
func (a *attempt) proof(outcome inbox.Outcome) notrun.Proof {
	switch {
	case outcome == inbox.OutcomeNotSent && !a.sent.Load():
		return notrun.FromError(&notrun.UnwrittenError{})
	case outcome == inbox.OutcomeFull:
		return a.rejection
	}
	return notrun.Proof{}
}

// readRejection keeps the proof, if a response has one, that the attempt has not run.
func (a *attempt) readRejection(r *http.Response) {
	notRun := r.Header.Get(headerNotRun)
	a.rejection = notrun.FromResponse(notrun.Attempt{RequestID: a.runID()}, notrun.Response{Status: r.StatusCode, RequestID: notRun, NotRun: notRun != ""})
}

// callApp sends a call to an app service, once, and reads the complete response.
func (a *attempt) callApp() (inbox.Outcome, entity.AppResponse) {
	ctx, cancel := context.WithTimeout(a.ctx, appTimeout)
	defer cancel()
	r, err := a.newRequest(ctx)
	if err != nil {
		return inbox.OutcomeNotSent, entity.AppResponse{}
	}
	r.GetBody = nil // so that net/http cannot send the body again
	response, err := a.client.appClient.Do(r)
	if err != nil {
		return a.failureOutcome(), entity.AppResponse{}
	}
	defer response.Body.Close()
	a.readRejection(response)
	if a.rejection.Holds() {
		return inbox.OutcomeFull, entity.AppResponse{}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil || len(body) > maxResponseBytes {
		return a.failureOutcome(), entity.AppResponse{}
	}
	appResponse := entity.AppResponse{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}
	a.exchange.SetResponse(a.command.Attempt, appResponse)
	if response.StatusCode == http.StatusTooManyRequests {
		return inbox.OutcomeFull, appResponse
	}
	return inbox.OutcomeCompleted, appResponse
}
