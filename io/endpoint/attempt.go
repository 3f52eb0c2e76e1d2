package endpoint

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
)

// Headers of the engines' protocol beside chat-completions.
const (
	headerRunID    = "X-Run-Id"
	headerPriority = "X-Priority"
)

// attempt sends one request to one endpoint.
type attempt struct {
	client   *Client
	start    outbox.StartAttempt
	exchange Exchange
	ctx      context.Context
	cancel   context.CancelFunc
	sent     atomic.Bool // bytes may have reached the endpoint
	stalled  atomic.Bool
	died     bool // the endpoint was found dead, or stayed out of reach, after the attempt broke
	frames   int
	usage    streamUsage
	tail     [][]byte
}

func (t *attempt) run() {
	defer t.cancel()
	defer t.client.forget(attemptID{t.start.Request, t.start.Attempt})
	end := inbox.AttemptEnded{Request: t.start.Request, Attempt: t.start.Attempt, Endpoint: t.start.Endpoint}
	if t.start.Kind == entity.KindModel {
		end.Outcome = t.stream()
		end.Tokens = t.usage.Prompt + max(t.usage.Completion, int64(t.frames))
	} else {
		end.Outcome, end.Answer = t.call()
	}
	end.Died = t.died && end.Outcome == inbox.OutcomeBroken
	t.client.post(end)
}

// dialer connects to IP numbers.
type dialer struct{ timeout time.Duration }

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: d.timeout}).DialContext(ctx, network, address)
}

// request builds the HTTP request and notes when it starts to leave.
func (t *attempt) request(ctx context.Context) (*http.Request, error) {
	method, url, header, body := t.exchange.Request(t.start.Address)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { t.sent.Store(true) }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header = header
	r.Header.Set(headerRunID, t.runID())
	r.Header.Set(headerPriority, strconv.Itoa(t.start.Order))
	return r, nil
}

func (t *attempt) runID() string {
	return t.client.vm + "-" + strconv.FormatInt(t.start.Request, 10) + "-" + strconv.Itoa(t.start.Attempt)
}

// failed tells how an attempt without an answer ended.
func (t *attempt) failed() inbox.Outcome {
	switch {
	case t.ctx.Err() != nil && !t.stalled.Load():
		return inbox.OutcomeCancelled
	case !t.sent.Load():
		return inbox.OutcomeNeverSent
	}
	return inbox.OutcomeBroken
}

// call sends an app call, once, and reads the whole answer.
func (t *attempt) call() (inbox.Outcome, entity.Answer) {
	ctx, cancel := context.WithTimeout(t.ctx, appTimeout)
	defer cancel()
	r, err := t.request(ctx)
	if err != nil {
		return inbox.OutcomeNeverSent, entity.Answer{}
	}
	r.GetBody = nil
	response, err := t.client.single.Do(r)
	if err != nil {
		return t.failed(), entity.Answer{}
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusTooManyRequests {
		return inbox.OutcomeFull, entity.Answer{}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil || len(body) > maxAnswerBytes {
		return t.failed(), entity.Answer{}
	}
	answer := entity.Answer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}
	t.exchange.Answer(t.start.Attempt, answer)
	return inbox.OutcomeAnswered, answer
}
