package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"hawthornspar/core/notrun"
)

// refusal is an error response that the gateway generates itself.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration // when the client may try again; 0 when unstated
	close      bool          // the connection cannot be used again
}

const (
	// otherVMRetryAfter follows a refusal that concerns this VM only: the client's
	// next attempt goes to another VM.
	otherVMRetryAfter = 50 * time.Millisecond
	// retryAfterSpread is the share by which a Retry-After varies either way, so
	// that clients that were refused together do not return together.
	retryAfterSpread = 0.25
)

// Refusals. Those with a status by which clients take a request for not run are sent only
// with the statement that it has not.
var (
	noConfiguration        = refusal{status: http.StatusServiceUnavailable, reason: "noConfiguration", retryAfter: otherVMRetryAfter}
	noRoute                = refusal{status: http.StatusNotFound, reason: "noRoute"}
	unknownKey             = refusal{status: http.StatusUnauthorized, reason: "unknownKey"}
	bodyTooLarge           = refusal{status: http.StatusRequestEntityTooLarge, reason: "bodyTooLarge", close: true}
	bodyTimeout            = refusal{status: http.StatusRequestTimeout, reason: "bodyTimeout", close: true}
	unreadableBody         = refusal{status: http.StatusBadRequest, reason: "badBody", close: true}
	bodyMemoryFull         = refusal{status: http.StatusServiceUnavailable, reason: "bodiesFull", retryAfter: otherVMRetryAfter, close: true}
	budgetExhausted        = refusal{status: http.StatusPaymentRequired, reason: "budgetExhausted"}
	budgetShort            = refusal{status: http.StatusTooManyRequests, reason: "budgetShort", retryAfter: time.Second}
	noEndpoint             = refusal{status: http.StatusServiceUnavailable, reason: "noEndpoint", retryAfter: 500 * time.Millisecond}
	endpointsFull          = refusal{status: http.StatusServiceUnavailable, reason: "endpointsFull", retryAfter: 300 * time.Millisecond}
	retryBudgetExhausted   = refusal{status: http.StatusServiceUnavailable, reason: "retriesSpent", retryAfter: 300 * time.Millisecond}
	linkCongested          = refusal{status: http.StatusServiceUnavailable, reason: "linkFull", retryAfter: otherVMRetryAfter, close: true}
	processorOverloaded    = refusal{status: http.StatusServiceUnavailable, reason: "processorFull", retryAfter: otherVMRetryAfter, close: true}
	registryStale          = refusal{status: http.StatusServiceUnavailable, reason: "registryStale", retryAfter: otherVMRetryAfter, close: true}
	stopping               = refusal{status: http.StatusServiceUnavailable, reason: "stopping", retryAfter: otherVMRetryAfter, close: true}
	quarantined            = refusal{status: http.StatusServiceUnavailable, reason: "quarantined"}
	deadlineExceededUnsent = refusal{status: http.StatusServiceUnavailable, reason: "lateUnsent"}
	deadlineExceeded       = refusal{status: http.StatusGatewayTimeout, reason: "late"}
	responsesFull          = refusal{status: http.StatusBadGateway, reason: "responsesFull"}
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
	// endpointsPaused ends a request when all endpoints have said that they want none
	// for some time.
	endpointsPaused = refusal{status: http.StatusServiceUnavailable, reason: "endpointsPaused"}
	// endpointCold follows an attempt whose endpoint was cold and had got as many requests
	// as this VM may send before the request was sent.
	endpointCold = refusal{status: http.StatusServiceUnavailable, reason: "endpointCold", retryAfter: 300 * time.Millisecond}
	// endpointsCold ends a request when all endpoints are cold and this VM may send to none.
	endpointsCold = refusal{status: http.StatusServiceUnavailable, reason: "endpointsCold"}
	// endpointEvacuated follows an attempt whose endpoint's failure domain was evacuated
	// before the request was sent.
	endpointEvacuated = refusal{status: http.StatusServiceUnavailable, reason: "endpointEvacuated", retryAfter: 300 * time.Millisecond}
	// domainEvacuated ends a request when all endpoints are in evacuated failure domains.
	domainEvacuated = refusal{status: http.StatusServiceUnavailable, reason: "domainEvacuated", retryAfter: time.Second}
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

// spreadRetryAfter varies a Retry-After by retryAfterSpread. random is a uniform
// number in [0, 1).
func spreadRetryAfter(d time.Duration, random float64) time.Duration {
	return time.Duration(float64(d) * (1 + retryAfterSpread*(2*random-1)))
}

// chargesRetryBudget reports whether an attempt that follows r as the end of another is
// charged to the retry budget: the earlier one reached its endpoint, and is not charged yet.
func (r refusal) chargesRetryBudget() bool {
	return r != unreachable && r != endpointLeft && r != endpointCold && r != endpointEvacuated && r != endpointError
}

// promisesNotRun reports whether clients take a status for the promise that the request
// has not run and never will, so that they send one again that may run only once.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// allowedBy returns r if a statement allows it, else outcomeUnknown.
func (r refusal) allowedBy(s notrun.Statement) refusal {
	if promisesNotRun(r.status) && !s.NotRun() {
		return outcomeUnknown
	}
	return r
}

// refuse writes a refusal, as far as the statement about the request allows it. timeLeft is
// the time until the request's deadline; 0 when unknown.
func (g *Gateway) refuse(w http.ResponseWriter, id string, r refusal, s notrun.Statement, timeLeft time.Duration) {
	r = r.allowedBy(s)
	g.metrics.Increment("refusals", r.reason)
	retryAfter := spreadRetryAfter(r.retryAfter, g.state.random.Float64())
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
