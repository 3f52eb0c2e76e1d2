package http1

import (
	"bytes"
	"fmt"
	"io"
	"iter"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
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

// FieldNameError reports a header or trailer field whose name is no token (RFC 9110, section
// 5.1), such as a folded line, which has no name of its own.
type FieldNameError struct{ Name string }

// Error implements error. Of a long name it has the beginning only, as it is logged.
func (e *FieldNameError) Error() string { return fmt.Sprintf("the name of a field is %.40q", e.Name) }

// EncodingError reports a response of HTTP/1.0 with a transfer encoding, which that version
// does not have, so that its body has no known end (RFC 9112, section 6.1).
type EncodingError struct{}

// Error implements error.
func (*EncodingError) Error() string { return "a response of HTTP/1.0 has a transfer encoding" }

// CheckedTransport fails responses that are malformed, although net/http accepts them.
type CheckedTransport struct{ Base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t *CheckedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := checkResponse(response); err != nil {
		response.Body.Close()
		return nil, err
	}
	response.Body = &trailerChecker{ReadCloser: response.Body, response: response}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the transport below, for
// http.Client.
func (t *CheckedTransport) CloseIdleConnections() {
	CloseIdleConnections(t.Base)
}

// checkResponse reports a malformed head of a final response. Of folded lines net/http shows
// nothing: it joins them as RFC 9112, section 5.2, allows.
func checkResponse(r *http.Response) error {
	if err := checkStatus(r.StatusCode); err != nil {
		return err
	}
	return checkNames(r.Header)
}

// checkNames reports a field whose name is no token. Trailers that are only announced have
// no values.
func checkNames(h http.Header) error {
	for name, values := range h {
		if values != nil && !httpguts.ValidHeaderFieldName(name) {
			return &FieldNameError{Name: name}
		}
	}
	return nil
}

// checkHead reports a line in the raw head of a response whose name is no token. A folded
// line is one, too: it could hide the length of the body. It also reports an encoding that
// the version of the response does not have, which net/http ignores.
func checkHead(raw []byte, r *http.Response) error {
	for name := range fieldNames(raw) {
		if !httpguts.ValidHeaderFieldName(name) {
			return &FieldNameError{Name: name}
		}
		if !r.ProtoAtLeast(1, 1) && strings.EqualFold(name, "Transfer-Encoding") {
			return &EncodingError{}
		}
	}
	return nil
}

// fieldNames returns what stands before the first colon of each line in the raw head of a
// response, without the status line.
func fieldNames(raw []byte) iter.Seq[string] {
	return func(yield func(string) bool) {
		_, fields, _ := bytes.Cut(raw, []byte("\n"))
		for line := range bytes.Lines(fields) {
			line = bytes.TrimRight(line, "\r\n")
			if len(line) == 0 {
				return // the head has ended
			}
			name, _, _ := bytes.Cut(line, []byte(":"))
			if !yield(string(name)) {
				return
			}
		}
	}
}

// trailerChecker is the body of a response whose trailers are checked once they were read.
type trailerChecker struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (c *trailerChecker) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := checkNames(c.response.Trailer); err != nil {
		return n, err
	}
	return n, io.EOF
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
