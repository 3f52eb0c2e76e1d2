package gateway

import (
	"net/http"
	"time"

	"hawthornspar/core/endpoints"
)

// obeyNotices applies what an endpoint says of itself in the head of a response: that it
// is leaving, or for how long it wants no requests. A misdirected request was answered
// by another endpoint.
func (x *exchange) obeyNotices(a *endpoints.Attempt, status int, head ResponseInfo) {
	if status == http.StatusMisdirectedRequest {
		return
	}
	s, log := x.gateway.state, x.gateway.log
	if head.Leaving && s.recordLeaving(a.Endpoint) {
		log.Info("endpoint leaving", "endpoint", a.Endpoint.ID, "service", x.service, "request", x.info.ID, "status", status)
	}
	if status == http.StatusServiceUnavailable && s.recordPause(a.Endpoint, head.RetryAfter) {
		log.Info("endpoint paused", "endpoint", a.Endpoint.ID, "service", x.service, "request", x.info.ID, "for", head.RetryAfter)
	}
}

// pauseRefusal returns the refusal of a request for which no endpoint is left: last, or
// endpointsPaused if the first of them wants requests again at a known time.
func (x *exchange) pauseRefusal(last refusal) refusal {
	wait := x.gateway.state.pauseEnd(x.service)
	if wait == 0 {
		return last
	}
	refused := endpointsPaused
	// Retry-After varies either way; nobody should return before the time.
	refused.retryAfter = time.Duration(float64(wait) / (1 - retryAfterSpread))
	return refused
}

// recordLeaving records that an endpoint says it is leaving, and reports whether that
// was unknown.
func (s *state) recordLeaving(e *endpoints.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.RecordLeaving(time.Now())
}

// recordPause records for how long an endpoint wants no requests, and reports whether
// that changes anything.
func (s *state) recordPause(e *endpoints.Endpoint, d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.RecordPause(d, time.Now())
}

// pauseEnd returns the time until the first paused endpoint of a service wants requests
// again; 0 if none is paused or another accepts requests.
func (s *state) pauseEnd(service string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints.PauseEnd(service, time.Now())
}
