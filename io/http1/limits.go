package http1

import (
	"bytes"
	"io"
	"net"
	"time"
)

// Limits of what is read from an endpoint besides the body of a request's own
// response. An endpoint in trouble may send bytes without end.
const (
	// maxHeadBytes bounds the status line and headers of one response.
	maxHeadBytes = 64 << 10
	// maxInterimResponses bounds the interim (1xx) responses before a final one.
	maxInterimResponses = 8
	// maxStrayResponses is how many responses to other requests are skipped
	// before ReadResponse returns an error.
	maxStrayResponses = 2
	// maxDiscardedBytes bounds the body of a response that is discarded, and
	// maxDiscardTime the time in which it arrives.
	maxDiscardedBytes = 256 << 10
	maxDiscardTime    = 500 * time.Millisecond
	// maxHeadTime bounds the time from the first byte of a head to its end.
	maxHeadTime = 3 * time.Second
)

// HeadTooLargeError reports that the head of a response exceeds maxHeadBytes.
type HeadTooLargeError struct{}

// Error implements error.
func (*HeadTooLargeError) Error() string { return "the head of the response is too large" }

// InterimResponsesError reports more than maxInterimResponses interim responses.
type InterimResponsesError struct{}

// Error implements error.
func (*InterimResponsesError) Error() string { return "too many interim responses" }

// headLimiter is a reader of a connection that keeps the bytes of a head, and fails once
// the head exceeds maxHeadBytes. It does not limit bodies.
type headLimiter struct {
	source  io.Reader
	limited bool
	left    int    // bytes that the current head may still have
	head    []byte // the current head, and what was read with it
}

// begin starts to limit and keep the bytes that are read. buffered has those that were read
// before.
func (l *headLimiter) begin(buffered []byte) {
	l.limited, l.left, l.head = true, maxHeadBytes, bytes.Clone(buffered)
}

// end stops to limit bytes, and returns those that were kept.
func (l *headLimiter) end() []byte {
	head := l.head
	l.limited, l.head = false, nil
	return head
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.source.Read(p)
	}
	if l.left <= 0 {
		return 0, &HeadTooLargeError{}
	}
	n, err := l.source.Read(p[:min(len(p), l.left)])
	l.left -= n
	l.head = append(l.head, p[:n]...)
	return n, err
}

// within runs read with a deadline on the connection.
func within(c net.Conn, limit time.Duration, read func() error) error {
	if err := c.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	if err := read(); err != nil {
		return err
	}
	return c.SetReadDeadline(time.Time{})
}
