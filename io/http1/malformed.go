package http1

import (
	"fmt"
	"net/http"
)

// Statuses that a final response may have (RFC 9110, section 15).
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// StatusCodeError reports a response whose status no final response may have.
type StatusCodeError struct{ Status int }

// Error implements error.
func (e *StatusCodeError) Error() string { return fmt.Sprintf("the status is %03d", e.Status) }

// CheckedTransport fails responses that are malformed, although net/http accepts them.
type CheckedTransport struct{ Base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t *CheckedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := checkStatus(response.StatusCode); err != nil {
		response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the transport below, for
// http.Client.
func (t *CheckedTransport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// isInterim reports whether a status is that of an interim response. Switching protocols is
// final (RFC 9110, section 15.2.2).
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < minFinalStatus && status != http.StatusSwitchingProtocols
}

// checkStatus reports a status that no final response may have. Switching protocols is among
// these, as no request asks for it.
func checkStatus(status int) error {
	if status < minFinalStatus || status > maxFinalStatus {
		return &StatusCodeError{Status: status}
	}
	return nil
}
