package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hawthornspar/core/route"
)

// Limits of client connections until a configuration sets them.
const (
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// idleTimeoutSlack keeps connections a little longer than the limit, as
	// clients use them up to the limit.
	idleTimeoutSlack = time.Second
)

// server accepts client connections. net/http fixes the limits of a server, so
// a new server takes over new connections when the limits change.
type server struct {
	gateway     *Gateway
	mu          sync.Mutex
	limits      route.Limits
	current     *connListener
	httpServers []*http.Server
}

// connListener is a net.Listener that returns connections which the acceptor
// has accepted.
type connListener struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
	server  *http.Server
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *connListener) Addr() net.Addr { return l.address }

// run serves the connections.
func (l *connListener) run() { _ = l.server.Serve(l) } // returns http.ErrServerClosed at shutdown

func newServer(g *Gateway) *server { return &server{gateway: g} }

// listen opens the listening addresses.
func (s *server) listen() error {
	front, err := net.Listen("tcp4", s.gateway.settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s.setLimits(route.Limits{HeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}, front.Addr())
	a := &acceptor{server: s, listener: front}
	go a.loop()
	return s.listenInternal()
}

// listenInternal opens the addresses for readiness, control and metrics.
func (s *server) listenInternal() error {
	ready := http.NewServeMux()
	ready.HandleFunc("/", s.gateway.serveReady)
	if err := serveInternal(s.gateway.settings.ReadyListen, ready); err != nil {
		return err
	}
	if s.gateway.settings.ControlListen != "" {
		if err := serveInternal(s.gateway.settings.ControlListen, http.HandlerFunc(s.gateway.serveControl)); err != nil {
			return err
		}
	}
	if s.gateway.settings.MetricsListen == "" {
		return nil
	}
	return serveInternal(s.gateway.settings.MetricsListen, s.gateway.metrics.Handler())
}

// serveInternal starts to serve h on an address.
func serveInternal(address string, h http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	serving := &internalServer{listener: l, server: &http.Server{Handler: h, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}}
	go serving.run()
	return nil
}

// internalServer serves requests that do not come from clients.
type internalServer struct {
	server   *http.Server
	listener net.Listener
}

func (s *internalServer) run() { _ = s.server.Serve(s.listener) } // runs until the process ends

// serveReady handles readiness checks of the balancer.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	knowsHomes := g.state.knowsHomes() && !g.state.budgetsOpening() || time.Since(g.started) > maxHomesWait
	if g.shuttingDown.Load() || g.state.routes() == nil || !knowsHomes || g.linkBusy.Load() || g.processor.busy.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// setLimits applies l to new connections. address is that of the listener; nil
// keeps the current one.
func (s *server) setLimits(l route.Limits, address net.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil && s.limits == l {
		return
	}
	if address == nil {
		address = s.current.address
	}
	s.limits = l
	next := &connListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	next.server = &http.Server{
		Handler: s.gateway, MaxHeaderBytes: l.HeaderBytes,
		ReadHeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout + idleTimeoutSlack, ConnContext: withConn,
	}
	s.current = next
	s.httpServers = append(s.httpServers, next.server)
	go next.run()
}

// currentListener returns the listener that new connections are passed to.
func (s *server) currentListener() *connListener {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// shutdownAll closes idle connections and waits for running requests until the
// context ends.
func (s *server) shutdownAll(ctx context.Context) error {
	s.mu.Lock()
	servers := s.httpServers
	s.mu.Unlock()
	var lastErr error
	for _, h := range servers {
		if err := h.Shutdown(ctx); err != nil {
			lastErr = err
		}
	}
	return lastErr
}
