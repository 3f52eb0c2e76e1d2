package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// ResetError reports that a connection was reset, or lost, while a write to it was
// running. What was read of a response that ends with its connection is not complete.
type ResetError struct{ Cause error }

// Error implements error.
func (e *ResetError) Error() string { return "the connection broke in a write: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ResetError) Unwrap() error { return e.Cause }

// tcpConn has the methods of a *net.TCPConn that this package needs. It has no ReadFrom,
// which would write without Write.
type tcpConn interface {
	net.Conn
	syscall.Conn
	SetLinger(seconds int) error
}

// resetConn is a connection whose reads report the errors of writes. The kernel reports a
// reset once: if a write is told of it, the next read returns io.EOF, as at an orderly end.
type resetConn struct {
	tcpConn
	writing sync.Mutex // held while a write is running
	broken  error      // of the first write that was told how the connection broke
}

// ReportResets returns a connection whose reads return a *ResetError in place of io.EOF if
// a write was told that the connection broke. A connection that is not TCP is returned as
// it is.
func ReportResets(c net.Conn) net.Conn {
	if t, ok := c.(tcpConn); ok {
		return &resetConn{tcpConn: t}
	}
	return c
}

// ReportingDial returns a DialContext for a transport of net/http, whose connections report
// resets as ReportResets says.
func ReportingDial(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return ReportResets(c), nil
	}
}

// Write implements net.Conn.
func (c *resetConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.tcpConn.Write(p)
	if c.broken == nil && showsBreak(err) {
		c.broken = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.tcpConn.Read(p)
	if err != io.EOF {
		return n, err
	}
	if cause := c.endWrites(); cause != nil {
		return n, &ResetError{Cause: cause}
	}
	return n, io.EOF
}

// endWrites ends a write that is still running, and returns how writes were told that the
// connection broke. The peer has ended what it sends, so that no response depends on more
// of the request.
func (c *resetConn) endWrites() error {
	// If it fails, the connection is closed, and so the write ends, too.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.broken
}

// showsBreak reports whether the error of a write shows that the connection broke before
// the peer ended in order what it sends. After that end the kernel reports EPIPE.
func showsBreak(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}
