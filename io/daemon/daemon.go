// Package daemon runs one VM of the router fleet: it connects the core, which
// does no input or output, to callers, endpoints, other VMs, operators and the
// platform.
package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"hawthornspar/core"
	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/world"
	"hawthornspar/io/caller"
	"hawthornspar/io/certificate"
	"hawthornspar/io/endpoint"
	"hawthornspar/io/metrics"
	"hawthornspar/io/operator"
	"hawthornspar/io/peer"
	"hawthornspar/io/platform"
	"hawthornspar/io/settings"
	"hawthornspar/timer"
)

// Limits of the event loop and timeouts of the HTTP servers.
const (
	tickInterval      = 20 * time.Millisecond
	inboxCapacity     = 8_192 // events
	maxBatchEvents    = 512   // events of one step of the core
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second // for a request's header and body
	idleTimeout       = 2 * time.Minute
	shutdownTimeout   = 5 * time.Second
)

// Daemon is one VM of the router fleet.
type Daemon struct {
	settings  settings.Settings
	self      entity.VM
	clock     timer.Clock
	log       logr.Logger
	router    *core.Router
	inbox     chan inbox.Event
	callers   *caller.Server
	endpoints *endpoint.Client
	platform  *platform.Client
	operators *operator.Server
	peers     *peer.Node
	metrics   *metrics.Registry
	servers   []*http.Server
	stopped   chan struct{} // closed when the core has completed its shutdown
	fenced    chan struct{} // closed when another incarnation replaced this one
}

// New returns a daemon that listens on no address until Run is called.
func New(s settings.Settings, clock timer.Clock, log logr.Logger) (*Daemon, error) {
	self := entity.VM{Name: s.Name, Incarnation: uuid.NewString(), Address: s.PeerAddress, Domain: s.FailureDomain}
	d := &Daemon{
		settings: s, self: self, clock: clock, log: log,
		inbox:   make(chan inbox.Event, inboxCapacity),
		stopped: make(chan struct{}), fenced: make(chan struct{}),
	}
	registry, err := metrics.New()
	if err != nil {
		return nil, err
	}
	policy := world.DefaultPolicy()
	policy.FlushInterval, policy.GrantHorizon, policy.MaxListLag = s.FlushInterval, s.GrantHorizon, s.MaxListLag
	policy.BootstrapHash = s.BootstrapHash
	seed := uint64(clock.Now().UnixNano())
	d.metrics = registry
	d.router = core.New(self, core.WithPolicy(policy), core.WithSeed(seed))
	d.callers = caller.New(s.Name, clock, d.post)
	d.endpoints = endpoint.New(self.Incarnation, d.post, log)
	d.platform = platform.New(s.Platform, d.post)
	d.operators = operator.New(d.platform, d.post)
	return d, nil
}

// post queues an event for the core. It blocks while the inbox is full, and
// drops the event once the daemon is fenced.
func (d *Daemon) post(e inbox.Event) {
	select {
	case d.inbox <- e:
	case <-d.fenced:
	}
}

// Run serves until ctx is done, then shuts down gracefully: it finishes every
// request in flight, writes every charge and returns every grant. If another
// incarnation replaces this one, Run returns *FencedError at once.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.listen(); err != nil {
		return err
	}
	d.log.Info("started", "vm", d.self.Name, "incarnation", d.self.Incarnation, "domain", d.self.Domain)
	go d.loop()
	select {
	case <-ctx.Done():
		d.post(inbox.ShutdownRequested{})
	case <-d.fenced:
		return &FencedError{}
	}
	select {
	case <-d.stopped:
	case <-d.fenced:
		return &FencedError{}
	}
	d.callers.Wait()
	d.shutdown()
	d.log.Info("ended", "vm", d.self.Name)
	return nil
}

// FencedError reports that another incarnation of the same VM name has replaced
// this one, whose writes the table service no longer accepts.
type FencedError struct{}

// Error implements error.
func (*FencedError) Error() string { return "another incarnation replaced this one" }

// listen opens the peer node and starts the operators' and the callers' HTTP
// servers.
func (d *Daemon) listen() error {
	pair := certificate.Pair{Certificate: []byte(d.settings.Certificate), Key: []byte(d.settings.Key)}
	mutualTLS, err := certificate.MutualTLS([]byte(d.settings.Authority), pair)
	if err != nil {
		return err
	}
	peerMux := http.NewServeMux()
	peerMux.Handle("/operator/", d.operators.PeerHandler())
	peerMux.Handle("/", d.callers.PeerHandler())
	d.peers, err = peer.Listen(d.self, d.settings.PeerListen, mutualTLS, peerMux, d.post, d.log)
	if err != nil {
		return err
	}
	d.callers.Bind(d.peers)
	d.operators.Bind(d.peers)
	if err := d.metrics.RegisterCounter("peer_bytes_sent", d.peers.BytesSent); err != nil {
		return err
	}
	operatorMux := http.NewServeMux()
	operatorMux.Handle("/operator/", d.operators.Handler())
	operatorMux.Handle("GET /metrics", d.metrics.Handler())
	operatorMux.Handle("GET /healthz", d.callers.Handler())
	operatorMux.Handle("GET /readyz", d.callers.Handler())
	if err := d.serve(d.settings.OperatorListen, operatorMux); err != nil {
		return err
	}
	return d.serve(d.settings.Listen, d.callers.Handler())
}

// serve starts an HTTP server on address.
func (d *Daemon) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
	}
	d.servers = append(d.servers, server)
	s := &httpServer{daemon: d, server: server, listener: listener}
	go s.run()
	return nil
}

// httpServer serves one listener on a goroutine of its own.
type httpServer struct {
	daemon   *Daemon
	server   *http.Server
	listener net.Listener
}

// run serves until the server is shut down, and logs any other error.
func (s *httpServer) run() {
	err := s.server.Serve(s.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		s.daemon.log.Error(err, "HTTP server failed", "address", s.listener.Addr().String())
	}
}

// shutdown lets the HTTP servers finish their open requests, for at most
// shutdownTimeout, and closes the peer node.
func (d *Daemon) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range d.servers {
		s.Shutdown(ctx)
	}
	d.peers.Close()
}
