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

// Bounds of clients' connections until a configuration sets them.
const (
	headerBytes   = 16 << 10
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	// idleSlack keeps connections a little longer than the limit, as clients
	// use them up to it.
	idleSlack = time.Second
)

// server accepts clients' connections. net/http fixes its bounds for each
// server, so a new one takes over new connections when the limits change.
type server struct {
	gateway *Gateway
	mu      sync.Mutex
	limits  route.Limits
	current *handover
	all     []*http.Server
}

// handover is a listener that is fed with accepted connections.
type handover struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
	server  *http.Server
}

// Accept implements net.Listener.
func (h *handover) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handover) Close() error {
	h.once.Do(func() { close(h.closed) })
	return nil
}

// Addr implements net.Listener.
func (h *handover) Addr() net.Addr { return h.address }

// run serves the connections.
func (h *handover) run() { _ = h.server.Serve(h) } // returns http.ErrServerClosed at the stop

func newServer(g *Gateway) *server { return &server{gateway: g} }

// listen opens the addresses.
func (s *server) listen() error {
	front, err := net.Listen("tcp4", s.gateway.settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s.limit(route.Limits{HeaderBytes: headerBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}, front.Addr())
	a := &acceptor{server: s, listener: front}
	go a.loop()
	return s.listenSide()
}

// listenSide opens the addresses for readiness and metrics.
func (s *server) listenSide() error {
	ready := http.NewServeMux()
	ready.HandleFunc("/", s.gateway.serveReady)
	if err := serveSide(s.gateway.settings.Ready, ready); err != nil {
		return err
	}
	if s.gateway.settings.Control != "" {
		if err := serveSide(s.gateway.settings.Control, http.HandlerFunc(s.gateway.serveControl)); err != nil {
			return err
		}
	}
	if s.gateway.settings.Metrics == "" {
		return nil
	}
	return serveSide(s.gateway.settings.Metrics, s.gateway.metrics.Handler())
}

func serveSide(address string, h http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	serving := &sideServer{listener: l, server: &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}}
	go serving.run()
	return nil
}

type sideServer struct {
	server   *http.Server
	listener net.Listener
}

func (s *sideServer) run() { _ = s.server.Serve(s.listener) } // lives as long as the process

// serveReady answers the balancer.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	settled := g.state.settled() || time.Since(g.started) > settleMost
	if g.stopping.Load() || g.state.routes() == nil || !settled || g.crowded.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// limit makes new connections obey l.
func (s *server) limit(l route.Limits, address net.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil && s.limits == l {
		return
	}
	if address == nil {
		address = s.current.address
	}
	s.limits = l
	h := &handover{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	h.server = &http.Server{
		Handler: s.gateway, MaxHeaderBytes: l.HeaderBytes,
		ReadHeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout + idleSlack,
	}
	s.current = h
	s.all = append(s.all, h.server)
	go h.run()
}

func (s *server) take() *handover {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// shutdown closes idle connections and waits for running requests.
func (s *server) shutdown(ctx context.Context) error {
	s.mu.Lock()
	servers := s.all
	s.mu.Unlock()
	var failed error
	for _, h := range servers {
		if err := h.Shutdown(ctx); err != nil {
			failed = err
		}
	}
	return failed
}

// acceptor hands accepted connections to the server in force.
type acceptor struct {
	server   *server
	listener net.Listener
}

// acceptPause follows a failed accept, mostly a lack of descriptors.
const acceptPause = 20 * time.Millisecond

func (a *acceptor) loop() {
	for {
		c, err := a.listener.Accept()
		if err != nil {
			a.server.gateway.log.Info("accept failed", "error", err.Error())
			time.Sleep(acceptPause)
			continue
		}
		h := a.server.take()
		select {
		case h.conns <- c:
		case <-h.closed:
			c.Close()
		}
	}
}
