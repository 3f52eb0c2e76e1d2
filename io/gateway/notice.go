package gateway

import (
	"net/http"
	"time"

	"hawthornspar/core/endpoints"
)

// obeyNotices applies what an endpoint says of itself in the head of a response: that it
// is leaving, or for how long it wants no requests or is cold. A misdirected request was answered
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
	if head.ColdRemaining > 0 && s.recordCold(a.Endpoint, head.ColdRemaining) {
		log.Info("endpoint cold", "endpoint", a.Endpoint.ID, "service", x.service, "for", head.ColdRemaining, "by", "response", "request", x.info.ID, "status", status)
	}
}

// shortageRefusal returns the refusal of a request for which no endpoint is left: last, or
// endpointsPaused or endpointsCold if the first of them takes requests again at a known time, or
// domainEvacuated if all of them are evacuated.
func (x *exchange) shortageRefusal(last refusal) refusal {
	s := x.gateway.state.shortage(x.service)
	refused, wait := endpointsPaused, s.pauseEnd
	if s.coldEnd > 0 && (wait == 0 || s.coldEnd < wait) {
		refused, wait = endpointsCold, s.coldEnd
	}
	switch {
	case s.evacuated:
		return domainEvacuated
	case wait == 0:
		return last
	}
	// Retry-After varies either way; nobody should return before the time.
	refused.retryAfter = time.Duration(float64(wait) / (1 - retryAfterSpread))
	return refused
}

// recordLeaving records that an endpoint says it is leaving, and reports whether that
// was unknown.
func (s *state) recordLeaving(e *endpoints.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints.RecordLeaving(e, time.Now())
}

// recordPause records for how long an endpoint wants no requests, and reports whether
// that changes anything.
func (s *state) recordPause(e *endpoints.Endpoint, d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.RecordPause(d, time.Now())
}

// shortage says why a service has no endpoint for a request.
type shortage struct {
	pauseEnd time.Duration // until the first paused endpoint wants requests; 0 for none
	coldEnd  time.Duration // until the first cold endpoint may be sent to; 0 for none
	// evacuated is set if all endpoints are in evacuated failure domains.
	evacuated bool
}

// shortage returns why a service has no endpoint for a request. It is zero if one takes
// requests.
func (s *state) shortage(service string) shortage {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return shortage{
		pauseEnd: s.endpoints.PauseEnd(service, now), coldEnd: s.endpoints.ColdEnd(service, now), evacuated: s.endpoints.AllEvacuated(service, now),
	}
}
