package caller

import (
	"context"
	"encoding/json"
	"net/http/httptrace"
	"sync/atomic"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
)

// connectionTrace records whether a forwarded request got a connection. From
// then on the peer may have received the request.
type connectionTrace struct{ connected atomic.Bool }

// attach returns a context that records the connection of its request.
func (c *connectionTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { c.connected.Store(true) },
	})
}

// failureOutcome returns the outcome of a request that got no response:
// OutcomeNotSent without a connection, and OutcomeConnectionFailed when the
// peer may have run the request.
func (c *connectionTrace) failureOutcome() inbox.Outcome {
	if c.connected.Load() {
		return inbox.OutcomeConnectionFailed
	}
	return inbox.OutcomeNotSent
}

// failForward refuses a forwarded request for which the peer sent no complete
// response, or aborts the response if it has begun. The core counts the same
// refusal.
func (w *responseWriter) failForward(outcome inbox.Outcome, mayHaveRun bool) {
	r := entity.Request{Attempt: 1}
	reason := entity.ReasonForwardUnreachable
	if mayHaveRun {
		r.MarkPossiblyRun()
	}
	if outcome != inbox.OutcomeNotSent {
		r.MarkPossiblyRun()
		reason = entity.ReasonOutcomeUnknown
	}
	if w.started {
		abortResponse(w.request.Context())
		return
	}
	writeRefusal(w.response, r.Refuse(reason, 0))
}

// mustMarshal encodes a value whose type always encodes.
func mustMarshal(body any) []byte {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err) // a struct of strings and booleans always encodes
	}
	return raw
}
