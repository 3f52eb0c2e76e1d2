package caller

import (
	"context"
	"encoding/json"
	"net/http/httptrace"
	"sync/atomic"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
)

// sending notes whether a forwarded request may have left this VM.
type sending struct{ connected atomic.Bool }

func (s *sending) context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.connected.Store(true) },
	})
}

// outcome tells a peer that was never reached from one that may have run it.
func (s *sending) outcome() inbox.Outcome {
	if s.connected.Load() {
		return inbox.OutcomeBroken
	}
	return inbox.OutcomeNeverSent
}

// unanswered tells the caller that the peer did not answer whole. The core
// counts the same refusal.
func (t *writer) unanswered(outcome inbox.Outcome, mayHaveRun bool) {
	r := entity.Request{Attempt: 1}
	reason := entity.ReasonForwardUnreachable
	if mayHaveRun {
		r.Expose()
	}
	if outcome != inbox.OutcomeNeverSent {
		r.Expose()
		reason = entity.ReasonOutcomeUnknown
	}
	if t.started {
		hangUp(t.request.Context())
		return
	}
	writeRefusal(t.response, r.Refuse(reason, 0))
}

func mustMarshal(body any) []byte {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err) // a struct of strings always encodes
	}
	return raw
}
