package gateway

import (
	"errors"
	"net"
	"os"
	"sync"
)

// Sizes of what is read ahead from a client.
const (
	readAheadBytes    = 1 << 10 // one read
	maxReadAheadBytes = 8 << 10 // all that is kept
)

// clientConn is a connection of a client. Bytes that arrive while a request runs, such as
// the beginning of the next one, are read at once and kept: if the process dies with bytes
// unread, the kernel resets the connection, and the client would take that for the sign
// that the running request was not read either.
type clientConn struct {
	*net.TCPConn
	mu      sync.Mutex
	changed *sync.Cond // of the fields below
	ahead   []byte
	reading bool  // loop runs, and is the only one that reads from TCPConn
	err     error // how the connection ended
}

func newClientConn(c *net.TCPConn) *clientConn {
	k := &clientConn{TCPConn: c}
	k.changed = sync.NewCond(&k.mu)
	return k
}

// Read implements io.Reader. While a handler runs, net/http reads a single byte, to learn
// of the client's end; if there is one, all that follows is read ahead.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.readKept(p)
	if n == 0 && err == nil {
		n, err = c.TCPConn.Read(p)
	}
	if n > 0 && len(p) == 1 {
		c.startReadAhead()
	}
	return n, err
}

// readKept returns bytes that were read ahead, and waits for them while loop runs.
func (c *clientConn) readKept(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.ahead) == 0 && c.reading {
		c.changed.Wait()
	}
	if len(c.ahead) == 0 {
		return 0, c.err
	}
	n := copy(p, c.ahead)
	c.ahead = c.ahead[n:]
	return n, nil
}

func (c *clientConn) startReadAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading {
		return
	}
	c.reading = true
	go c.loop()
}

// loop reads ahead until the connection ends, maxReadAheadBytes are kept, or net/http
// interrupts its reads by a deadline.
func (c *clientConn) loop() {
	buffer := make([]byte, readAheadBytes)
	for {
		n, err := c.TCPConn.Read(buffer)
		if !c.keep(buffer[:n], err) {
			return
		}
	}
}

// keep adds what was read, and reports whether loop goes on.
func (c *clientConn) keep(read []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.changed.Broadcast()
	c.ahead = append(c.ahead, read...)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.err = err
	}
	c.reading = err == nil && len(c.ahead) < maxReadAheadBytes
	return c.reading
}
