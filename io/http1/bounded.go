package http1

import (
	"io"
	"net/http"
)

// BodyTooLargeError reports that the body of a response exceeds the bound of its client.
type BodyTooLargeError struct{ MaxBytes int64 }

// Error implements error.
func (e *BodyTooLargeError) Error() string { return "the body of the response is too large" }

// BoundedTransport fails the reading of responses whose bodies are longer than MaxBytes,
// for clients that keep whole bodies in memory. A server in trouble may send bytes
// without end.
type BoundedTransport struct {
	Base     http.RoundTripper
	MaxBytes int64
}

// RoundTrip implements http.RoundTripper.
func (t *BoundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	response.Body = &boundedBody{ReadCloser: response.Body, left: t.MaxBytes, limit: t.MaxBytes}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the transport below, for
// http.Client.
func (t *BoundedTransport) CloseIdleConnections() {
	CloseIdleConnections(t.Base)
}

// CloseIdleConnections closes the idle connections of a transport that keeps some.
func CloseIdleConnections(t http.RoundTripper) {
	if c, ok := t.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// boundedBody is a body that may still have left bytes, and one more that shows that it
// is too long.
type boundedBody struct {
	io.ReadCloser
	left, limit int64
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.left < 0 {
		return 0, &BodyTooLargeError{MaxBytes: b.limit}
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.left+1)])
	b.left -= int64(n)
	if b.left < 0 {
		return n - 1, &BodyTooLargeError{MaxBytes: b.limit}
	}
	return n, err
}
