// Package raw is a stand-in for a server in trouble, which responds to any request with
// fixed bytes.
package raw

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"hawthornspar/timer"
)

// LongBytes is the length of a request that is more than the buffers of a connection hold,
// so that it is still being written when a server responds that has not read its body.
const LongBytes = 16 << 20

// Pause is the time between a response to a request whose body is not read and the end of
// its connection. The request fills the buffers of the connection meanwhile.
const Pause = 50 * time.Millisecond

// End is how a server ends a connection after its response.
type End int

// Ends of a connection.
const (
	Close     End = iota // in order, after the request was read
	Reset                // by a reset, with the body of the request unread
	HalfClose            // in order what the server sends, with the body of the request unread
)

// Server responds to the first request of each connection with fixed bytes.
type Server struct {
	Address  string // IP:port
	listener net.Listener
	clock    timer.Clock
	response string
	end      End
}

// Listen starts a server on a free loopback port.
func Listen(response string, end End) (*Server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "raw server")
	}
	s := &Server{Address: l.Addr().String(), listener: l, clock: timer.SystemClock{}, response: response, end: end}
	go s.loop()
	return s, nil
}

// Close stops the server.
func (s *Server) Close() error { return s.listener.Close() }

func (s *Server) loop() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		if t, ok := c.(*net.TCPConn); ok {
			w := &connection{TCPConn: t, server: s}
			go w.run()
		}
	}
}

// connection responds to one request.
type connection struct {
	*net.TCPConn
	server *Server
}

// run ignores errors of the connection: whoever made the request sees what is missing.
func (c *connection) run() {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if c.server.end == Close {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	_, _ = io.WriteString(c, c.server.response)
	switch c.server.end {
	case Reset:
		c.pause()
		_ = c.SetLinger(0)
	case HalfClose:
		c.pause()
		_ = c.CloseWrite()
		c.pause()
	}
}

// pause waits for a Pause.
func (c *connection) pause() {
	t := c.server.clock.NewTicker(Pause)
	defer t.Stop()
	<-t.C
}
