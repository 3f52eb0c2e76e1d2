package gateway

import (
	"encoding/json"
	"net/http"
	"time"
)

// refusal is an error response that the gateway generates itself.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration // when the client may try again; 0 when unstated
	close      bool          // the connection cannot be used again
}

// Refusals. Statuses 429 and 503 are used only if no endpoint can have run the
// request.
var (
	noConfiguration        = refusal{status: http.StatusServiceUnavailable, reason: "noConfiguration", retryAfter: time.Second}
	noRoute                = refusal{status: http.StatusNotFound, reason: "noRoute"}
	unknownKey             = refusal{status: http.StatusUnauthorized, reason: "unknownKey"}
	bodyTooLarge           = refusal{status: http.StatusRequestEntityTooLarge, reason: "bodyTooLarge", close: true}
	bodyTimeout            = refusal{status: http.StatusRequestTimeout, reason: "bodyTimeout", close: true}
	unreadableBody         = refusal{status: http.StatusBadRequest, reason: "badBody", close: true}
	bodyMemoryFull         = refusal{status: http.StatusServiceUnavailable, reason: "bodiesFull", retryAfter: time.Second, close: true}
	budgetExhausted        = refusal{status: http.StatusPaymentRequired, reason: "budgetExhausted"}
	budgetShort            = refusal{status: http.StatusTooManyRequests, reason: "budgetShort", retryAfter: time.Second}
	noEndpoint             = refusal{status: http.StatusServiceUnavailable, reason: "noEndpoint", retryAfter: 500 * time.Millisecond}
	endpointsFull          = refusal{status: http.StatusServiceUnavailable, reason: "endpointsFull", retryAfter: 300 * time.Millisecond}
	retryBudgetExhausted   = refusal{status: http.StatusServiceUnavailable, reason: "retriesSpent", retryAfter: 300 * time.Millisecond}
	linkCongested          = refusal{status: http.StatusServiceUnavailable, reason: "linkFull", retryAfter: 300 * time.Millisecond, close: true}
	processorOverloaded    = refusal{status: http.StatusServiceUnavailable, reason: "processorFull", retryAfter: 100 * time.Millisecond, close: true}
	deadlineExceededUnsent = refusal{status: http.StatusServiceUnavailable, reason: "lateUnsent"}
	deadlineExceeded       = refusal{status: http.StatusGatewayTimeout, reason: "late"}
	outcomeUnknown         = refusal{status: http.StatusBadGateway, reason: "outcomeUnknown"}

	// Parts of the headers of refusals.
	retryAfterDivisor = 3 // clients try again within a third of the time that they have left
	refusalMediaType  = "application/json"
)

// Refusals that are also reasons for retries, and clientDisconnected.
var (
	// unreachable follows an attempt that did not reach its endpoint.
	unreachable = refusal{status: http.StatusServiceUnavailable, reason: "unreachable", retryAfter: 300 * time.Millisecond}
	// endpointLeft follows an attempt whose endpoint stopped accepting requests
	// before the request was sent.
	endpointLeft = refusal{status: http.StatusServiceUnavailable, reason: "endpointLeft", retryAfter: 300 * time.Millisecond}
	// misdirected follows an attempt at an address that another endpoint has
	// now.
	misdirected = refusal{status: http.StatusServiceUnavailable, reason: "misdirected", retryAfter: 300 * time.Millisecond}
	// endpointError follows a server error of an endpoint for a repeatable
	// request; the retry budget has been charged already.
	endpointError = refusal{status: http.StatusBadGateway, reason: "endpointError"}
	// clientDisconnected ends a request whose client no longer waits for the
	// response.
	clientDisconnected = refusal{reason: "clientLeft"}
)

// refuse writes a refusal. timeLeft is the time until the request's deadline; 0
// when unknown.
func (g *Gateway) refuse(w http.ResponseWriter, id string, r refusal, timeLeft time.Duration) {
	g.metrics.Increment("refusals", r.reason)
	retryAfter := r.retryAfter
	if timeLeft > 0 {
		retryAfter = min(retryAfter, timeLeft/time.Duration(retryAfterDivisor))
	}
	h := w.Header()
	g.dialect.SetRefusalHeaders(h, id, retryAfter)
	h.Set("Content-Type", refusalMediaType)
	if r.close {
		h.Set("Connection", "close")
	}
	w.WriteHeader(r.status)
	body := struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}{}
	body.Error.Code = r.reason
	if err := json.NewEncoder(w).Encode(body); err != nil {
		g.log.V(1).Info("refusal not written", "id", id, "reason", r.reason, "error", err.Error())
	}
}
