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
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Sizes of buffers.
const (
	readBuffer = 4096
	// inlineBody is the largest body that is written before the answer is
	// awaited; a peer that answers early may not read a longer one.
	inlineBody = 2048
	// strayAnswers is how many answers to other requests are passed over.
	strayAnswers = 2
)

// Conn is one connection, used by one request at a time.
type Conn struct {
	raw      net.Conn
	pool     *Pool
	address  string
	reader   *bufio.Reader
	idleAt   time.Time
	keep     time.Duration
	reused   bool
	once     sync.Once
	bodyDone chan error // the outcome of writing a long body; nil when none is being written
}

func newConn(raw net.Conn, p *Pool, address string) *Conn {
	return &Conn{raw: raw, pool: p, address: address, reader: bufio.NewReaderSize(raw, readBuffer), keep: idleDefault}
}

// Close ends the connection and whatever is read or written on it.
func (c *Conn) Close() {
	c.once.Do(func() {
		c.raw.Close()
		c.pool.release(c.address)
	})
}

// quiet tells whether an idle connection is open and holds no stray bytes.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	source, ok := c.raw.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, e := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = e == unix.EAGAIN
	})
	return err == nil && open
}

// Request is a request as it is sent.
type Request struct {
	Method string
	Target string // as in the request line
	Host   string
	Header http.Header
	Body   []byte
	Length bool // a Content-Length is sent, also for an empty body
}

// UnsentError says that no byte of the request was written.
type UnsentError struct{ Cause error }

// Error implements error.
func (e *UnsentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// BrokenError says that a request was sent, wholly or in part, and no answer to
// it was read.
type BrokenError struct{ Cause error }

// Error implements error.
func (e *BrokenError) Error() string { return "no answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// StrayError says that answers to other requests came in place of the own one.
type StrayError struct{}

// Error implements error.
func (*StrayError) Error() string { return "the answer belongs to another request" }

// Send writes a request. Its end of the context closes the connection.
func (c *Conn) Send(r Request) error {
	head := r.head()
	long := len(r.Body) > inlineBody
	if !long {
		head = append(head, r.Body...)
	}
	n, err := c.raw.Write(head)
	if err != nil && n == 0 {
		return &UnsentError{Cause: err}
	}
	if err != nil {
		return &BrokenError{Cause: err}
	}
	if long {
		w := &bodyWriter{conn: c, body: r.Body}
		c.bodyDone = make(chan error, 1)
		go w.run()
	}
	return nil
}

type bodyWriter struct {
	conn *Conn
	body []byte
}

func (w *bodyWriter) run() {
	_, err := w.conn.raw.Write(w.body)
	w.conn.bodyDone <- err
}

func (r Request) head() []byte {
	var b strings.Builder
	b.Grow(1024 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Write only fails when the builder does, which it never does.
	_ = r.Header.Write(&b)
	if r.Length || len(r.Body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return []byte(b.String())
}

// Answer reads the head of the answer that mine accepts. Answers to other
// requests are read and passed over.
func (c *Conn) Answer(method string, mine func(*http.Response) bool) (*http.Response, error) {
	for range strayAnswers + 1 {
		response, err := c.head(method)
		if err != nil {
			return nil, &BrokenError{Cause: err}
		}
		if mine(response) {
			return response, nil
		}
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			break // ends with the connection
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, &BrokenError{Cause: err}
		}
	}
	return nil, &StrayError{}
}

// head reads one head, passing over interim ones.
func (c *Conn) head(method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// Finish gives the connection back after a wholly read answer, or closes it
// when it cannot be used again.
func (c *Conn) Finish(response *http.Response) {
	if response.Close || !c.bodyWritten() || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.keep = keepFor(response.Header.Get("Keep-Alive"))
	c.pool.put(c)
}

// bodyWritten tells whether the request's body was written to its end.
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

// keepFor reads the idle timeout, in whole seconds, of a Keep-Alive header.
func keepFor(header string) time.Duration {
	for _, field := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return idleDefault
}

// CloseWith closes the connection when the context ends, until stop is called.
func (c *Conn) CloseWith(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, c.Close)
}

// Reused tells whether the connection had served an earlier request.
func (c *Conn) Reused() bool { return c.reused }
