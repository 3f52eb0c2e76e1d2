package gateway

import (
	"encoding/json"
	"net/http"
	"time"
)

// refusal is an answer of the router's own.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration // when the client may try again; 0 for unstated
	close      bool          // the connection cannot be used again
}

// Refusals. Statuses 429 and 503 are used only while no endpoint can have run
// the request.
var (
	noConfiguration  = refusal{status: http.StatusServiceUnavailable, reason: "noConfiguration", retryAfter: time.Second}
	noRoute          = refusal{status: http.StatusNotFound, reason: "noRoute"}
	unknownKey       = refusal{status: http.StatusUnauthorized, reason: "unknownKey"}
	bodyTooLarge     = refusal{status: http.StatusRequestEntityTooLarge, reason: "bodyTooLarge", close: true}
	bodyTimeout      = refusal{status: http.StatusRequestTimeout, reason: "bodyTimeout", close: true}
	badBody          = refusal{status: http.StatusBadRequest, reason: "badBody", close: true}
	bodiesFull       = refusal{status: http.StatusServiceUnavailable, reason: "bodiesFull", retryAfter: time.Second, close: true}
	budgetExhausted  = refusal{status: http.StatusPaymentRequired, reason: "budgetExhausted"}
	budgetShort      = refusal{status: http.StatusTooManyRequests, reason: "budgetShort", retryAfter: time.Second}
	noEndpoint       = refusal{status: http.StatusServiceUnavailable, reason: "noEndpoint", retryAfter: 500 * time.Millisecond}
	endpointsFull    = refusal{status: http.StatusServiceUnavailable, reason: "endpointsFull", retryAfter: 300 * time.Millisecond}
	retriesSpent     = refusal{status: http.StatusServiceUnavailable, reason: "retriesSpent", retryAfter: 300 * time.Millisecond}
	linkFull         = refusal{status: http.StatusServiceUnavailable, reason: "linkFull", retryAfter: 300 * time.Millisecond, close: true}
	lateUnsent       = refusal{status: http.StatusServiceUnavailable, reason: "lateUnsent"}
	lateSent         = refusal{status: http.StatusGatewayTimeout, reason: "late"}
	outcomeUnknown   = refusal{status: http.StatusBadGateway, reason: "outcomeUnknown"}
	retryAfterShare  = 3 // clients come back within a third of the time that they have left
	refusalMediaType = "application/json"
)

// Reasons of further sends.
var (
	// unreachable follows a send that did not reach its endpoint.
	unreachable = refusal{status: http.StatusServiceUnavailable, reason: "unreachable", retryAfter: 300 * time.Millisecond}
	// misdirected follows a send to an address that another endpoint has now.
	misdirected = refusal{status: http.StatusServiceUnavailable, reason: "misdirected", retryAfter: 300 * time.Millisecond}
	// endpointError follows an endpoint's own failure of a repeatable request;
	// the retry budget has been asked already.
	endpointError = refusal{status: http.StatusBadGateway, reason: "endpointError"}
	// clientLeft ends a request whose answer nobody waits for.
	clientLeft = refusal{reason: "clientLeft"}
)

// refuse writes a refusal.
func (g *Gateway) refuse(w http.ResponseWriter, id string, r refusal, left time.Duration) {
	g.metrics.Count("refusals", r.reason)
	retryAfter := r.retryAfter
	if left > 0 {
		retryAfter = min(retryAfter, left/time.Duration(retryAfterShare))
	}
	h := w.Header()
	g.dialect.SetRouterHeaders(h, id, retryAfter)
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
