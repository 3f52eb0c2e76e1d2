package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Buffer sizes of a connection.
const (
	readBufferBytes = 4096
	// maxInlineBodyBytes is the largest body that Send writes itself. A longer
	// one is written while the response is read, because an endpoint that
	// responds early may stop reading the request.
	maxInlineBodyBytes = 2048
)

// Conn is one connection to an endpoint, used by one request at a time.
type Conn struct {
	netConn     net.Conn
	pool        *Pool
	address     string
	reader      *bufio.Reader
	head        *headLimiter // what reader reads from
	idleSince   time.Time
	idleTimeout time.Duration
	reused      bool
	closeOnce   sync.Once
	outstanding atomic.Bool // a request was sent, and its response has not been read completely
	bodyDone    chan error  // the result of writing a long body; nil when none is being written
}

func newConn(netConn net.Conn, p *Pool, address string) *Conn {
	limiter := &headLimiter{source: netConn}
	return &Conn{netConn: netConn, pool: p, address: address, reader: bufio.NewReaderSize(limiter, readBufferBytes), head: limiter, idleTimeout: defaultIdleTimeout}
}

// Close closes the connection and interrupts reads and writes on it. While a request is
// outstanding the connection is reset: its peer may take an orderly end for that of the
// request only, and work on.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		if t, ok := c.netConn.(tcpConn); ok && c.outstanding.Load() {
			// If it fails, the connection is closed without a reset.
			_ = t.SetLinger(0)
		}
		c.netConn.Close()
		c.pool.release(c.address)
	})
}

// reusable reports whether an idle connection is still open and has received no
// bytes since its last response.
func (c *Conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	source, ok := c.netConn.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := source.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = rawConn.Control(func(fd uintptr) {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = e == unix.EAGAIN
	})
	return err == nil && open
}

// Request is an HTTP/1.1 request.
type Request struct {
	Method     string
	Target     string // request target of the request line
	Host       string
	Header     http.Header
	Body       []byte
	SendLength bool // send a Content-Length even if the body is empty
}

// UnsentError reports that no byte of the request was written.
type UnsentError struct{ Cause error }

// Error implements error.
func (e *UnsentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// NothingWritten reports that no byte was written.
func (*UnsentError) NothingWritten() bool { return true }

// NoResponseError reports that all or part of a request was written, and that no
// response to it was read.
type NoResponseError struct{ Cause error }

// Error implements error.
func (e *NoResponseError) Error() string { return "no answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Cause }

// StrayResponseError reports that only responses to other requests were read on the
// connection.
type StrayResponseError struct{}

// Error implements error.
func (*StrayResponseError) Error() string { return "the response belongs to another request" }

// Send writes a request. A body of more than maxInlineBodyBytes is written in the
// background. To interrupt a write, close the connection.
func (c *Conn) Send(r Request) error {
	head := r.head()
	long := len(r.Body) > maxInlineBodyBytes
	if !long {
		head = append(head, r.Body...)
	}
	c.outstanding.Store(true)
	n, err := c.netConn.Write(head)
	if err != nil && n == 0 {
		return &UnsentError{Cause: err}
	}
	if err != nil {
		return &NoResponseError{Cause: err}
	}
	if long {
		w := &bodyWriter{conn: c, body: r.Body}
		c.bodyDone = make(chan error, 1)
		go w.run()
	}
	return nil
}

// bodyWriter writes the body of a request in the background.
type bodyWriter struct {
	conn *Conn
	body []byte
}

func (w *bodyWriter) run() {
	_, err := w.conn.netConn.Write(w.body)
	w.conn.bodyDone <- err
}

// head returns the encoded request line and the headers.
func (r Request) head() []byte {
	var b strings.Builder
	b.Grow(1024)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Write returns only errors of its writer, and a strings.Builder returns none.
	_ = r.Header.Write(&b)
	if r.SendLength || len(r.Body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return []byte(b.String())
}

// ReadResponse reads the head of the first response that isOwn accepts.
// Responses to other requests, such as a second response to an earlier one, are
// skipped.
func (c *Conn) ReadResponse(method string, isOwn func(*http.Response) bool) (*http.Response, error) {
	for range maxStrayResponses + 1 {
		response, err := c.readHead(method)
		if err != nil {
			return nil, &NoResponseError{Cause: err}
		}
		if isOwn(response) {
			return response, nil
		}
		if err := c.Discard(response); err != nil {
			return nil, &NoResponseError{Cause: err}
		}
	}
	return nil, &StrayResponseError{}
}

// UndiscardedError reports a response whose body is too long to be read for nothing.
type UndiscardedError struct{}

// Error implements error.
func (*UndiscardedError) Error() string { return "the body of a discarded response is too long" }

// Discard reads the body of a response that is of no use, so that its connection can be
// used again. It fails for a body that is too long, or does not arrive in time.
func (c *Conn) Discard(response *http.Response) error {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 || response.ContentLength > maxDiscardedBytes {
		return &UndiscardedError{} // the body is too long, or extends to the end of the connection
	}
	read := func() error {
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscardedBytes+1))
		if err == nil && n > maxDiscardedBytes {
			return &UndiscardedError{}
		}
		return err
	}
	return within(c.netConn, maxDiscardTime, read)
}

// readHead reads the head of the next response, skipping interim (1xx) responses.
func (c *Conn) readHead(method string) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		response, err := c.readOneHead(method)
		if err != nil {
			return nil, err
		}
		if isInterim(response.StatusCode) {
			continue
		}
		if err := checkStatus(response.StatusCode); err != nil {
			return nil, err
		}
		return response, nil
	}
	return nil, &InterimResponsesError{}
}

// readOneHead waits for the first byte of a head and then reads and checks the whole
// head, within the limits of its size and of the time that it takes.
func (c *Conn) readOneHead(method string) (*http.Response, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // It never fails for bytes that are buffered.
	c.head.begin(buffered)
	response, err := c.parseHead(method)
	head := c.head.end()
	if err != nil {
		return nil, err
	}
	if err := checkHead(head, response); err != nil {
		return nil, err
	}
	response.Body = &trailerChecker{ReadCloser: response.Body, response: response}
	return response, nil
}

// parseHead waits for the first byte of a head and then parses it.
func (c *Conn) parseHead(method string) (response *http.Response, err error) {
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	err = within(c.netConn, maxHeadTime, func() error {
		response, err = http.ReadResponse(c.reader, &http.Request{Method: method})
		return err
	})
	return response, err
}

// Finish returns the connection to the pool after its response was read
// completely, or closes it if it cannot be reused.
func (c *Conn) Finish(response *http.Response) {
	c.outstanding.Store(false)
	if response.Close || !c.bodyWritten() || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.idleTimeout = parseIdleTimeout(response.Header.Get("Keep-Alive"))
	c.pool.putIdle(c)
}

// bodyWritten reports whether the body of the request was written completely.
func (c *Conn) bodyWritten() bool {
	if c.bodyDone == nil {
		return true
	}
	select {
	case err := <-c.bodyDone:
		c.bodyDone = nil
		return err == nil
	default:
		return false
	}
}

// parseIdleTimeout returns how long a connection may be idle: the timeout that a
// Keep-Alive header states, in whole seconds, less idleMargin, or defaultIdleTimeout.
func parseIdleTimeout(header string) time.Duration {
	for _, field := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}

// CloseOnDone closes the connection when ctx ends, unless stop is called
// before.
func (c *Conn) CloseOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, c.Close)
}

// Reused reports whether the connection carried an earlier request.
func (c *Conn) Reused() bool { return c.reused }
