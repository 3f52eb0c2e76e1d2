package gateway

import (
	"net"
	"sync"
	"time"
)

// acceptPause follows a failed accept, mostly caused by a lack of file
// descriptors.
const acceptPause = 20 * time.Millisecond

// acceptor passes accepted connections to the current listener of its server. While
// it is told not to accept, its port is closed, so that clients are rejected before
// they send anything.
type acceptor struct {
	server    *server
	address   string
	mu        sync.Mutex
	changed   *sync.Cond
	accepting bool
	listener  net.Listener // nil while the port is closed
}

func newAcceptor(s *server, l net.Listener) *acceptor {
	a := &acceptor{server: s, address: l.Addr().String(), accepting: true, listener: l}
	a.changed = sync.NewCond(&a.mu)
	return a
}

// setAccepting opens or closes the port for new connections of clients.
func (s *server) setAccepting(accepting bool) { s.acceptor.setAccepting(accepting) }

func (a *acceptor) setAccepting(accepting bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.accepting == accepting {
		return
	}
	a.accepting = accepting
	if !accepting && a.listener != nil {
		a.listener.Close()
		a.listener = nil
	}
	a.changed.Broadcast()
}

func (a *acceptor) loop() {
	for {
		l := a.open()
		c, err := l.Accept()
		if err != nil {
			a.recordFailure(l, err)
			continue
		}
		a.pass(c)
	}
}

// open returns the open listener. It waits until connections are accepted.
func (a *acceptor) open() net.Listener {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		for !a.accepting {
			a.changed.Wait()
		}
		if a.listener != nil {
			return a.listener
		}
		l, err := net.Listen("tcp4", a.address)
		if err == nil {
			a.listener = l
			return l
		}
		a.server.gateway.log.Info("listen failed", "error", err.Error())
		a.mu.Unlock()
		time.Sleep(acceptPause)
		a.mu.Lock()
	}
}

// recordFailure logs a failed accept, unless the port was closed on purpose.
func (a *acceptor) recordFailure(l net.Listener, err error) {
	a.mu.Lock()
	closed := a.listener != l
	a.mu.Unlock()
	if closed {
		return
	}
	a.server.gateway.log.Info("accept failed", "error", err.Error())
	time.Sleep(acceptPause)
}

// pass passes a connection to the current listener.
func (a *acceptor) pass(c net.Conn) {
	l := a.server.currentListener()
	select {
	case l.conns <- c:
	case <-l.closed:
		c.Close()
	}
}
