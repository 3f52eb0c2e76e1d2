// Package daemon joins the core of one VM with everything that speaks to the
// outside, and runs it.
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

// Bounds of the daemon.
const (
	tickEvery     = 20 * time.Millisecond
	inboxSize     = 8_192
	maxBatch      = 512
	headerTimeout = 5 * time.Second
	bodyTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
	closeTimeout  = 5 * time.Second
)

// Daemon is one VM of the router fleet.
type Daemon struct {
	settings  settings.Settings
	self      entity.VM
	clock     timer.Service
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
	stopped   chan struct{}
	fenced    chan struct{}
}

// New builds a daemon. Nothing listens yet.
func New(s settings.Settings, clock timer.Service, log logr.Logger) (*Daemon, error) {
	self := entity.VM{Name: s.Name, Incarnation: uuid.NewString(), Address: s.PeerAddress, Domain: s.Domain}
	d := &Daemon{
		settings: s, self: self, clock: clock, log: log,
		inbox:   make(chan inbox.Event, inboxSize),
		stopped: make(chan struct{}), fenced: make(chan struct{}),
	}
	counts, err := metrics.New()
	if err != nil {
		return nil, err
	}
	policy := world.DefaultPolicy()
	policy.FlushEvery, policy.GrantHorizon, policy.ListLag = s.FlushEvery, s.GrantHorizon, s.ListLag
	policy.BootstrapHash = s.BootstrapHash
	seed := uint64(clock.Now().UnixNano())
	d.metrics = counts
	d.router = core.New(self, core.WithPolicy(policy), core.WithSeed(seed))
	d.callers = caller.New(s.Name, clock, d.post)
	d.endpoints = endpoint.New(self.Incarnation, d.post, log)
	d.platform = platform.New(s.Platform, d.post)
	d.operators = operator.New(d.platform, d.post)
	return d, nil
}

func (d *Daemon) post(e inbox.Event) {
	select {
	case d.inbox <- e:
	case <-d.fenced:
	}
}

// Run serves until ctx ends, then stops gracefully: it finishes every request
// in flight, writes every charge and returns every grant. A fenced daemon
// returns *FencedError at once.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.listen(); err != nil {
		return err
	}
	d.log.Info("started", "vm", d.self.Name, "incarnation", d.self.Incarnation, "domain", d.self.Domain)
	go d.loop()
	select {
	case <-ctx.Done():
		d.post(inbox.StopAsked{})
	case <-d.fenced:
		return &FencedError{}
	}
	select {
	case <-d.stopped:
	case <-d.fenced:
		return &FencedError{}
	}
	d.callers.Wait()
	d.close()
	d.log.Info("ended", "vm", d.self.Name)
	return nil
}

// FencedError says that the fleet counts this incarnation as dead.
type FencedError struct{}

// Error implements error.
func (*FencedError) Error() string { return "another incarnation replaced this one" }

func (d *Daemon) listen() error {
	own := certificate.Pair{Certificate: []byte(d.settings.Certificate), Key: []byte(d.settings.Key)}
	mutual, err := certificate.Mutual([]byte(d.settings.Authority), own)
	if err != nil {
		return err
	}
	peerMux := http.NewServeMux()
	peerMux.Handle("/operator/", d.operators.PeerHandler())
	peerMux.Handle("/", d.callers.PeerHandler())
	d.peers, err = peer.Listen(d.self, d.settings.PeerListen, mutual, peerMux, d.post, d.log)
	if err != nil {
		return err
	}
	d.callers.Bind(d.peers)
	d.operators.Bind(d.peers)
	if err := d.metrics.Observe("peer_bytes_sent", d.peers.BytesSent); err != nil {
		return err
	}
	operatorMux := http.NewServeMux()
	operatorMux.Handle("/operator/", d.operators.Handler())
	operatorMux.Handle("GET /metrics", d.metrics.Handler())
	operatorMux.Handle("GET /healthz", d.callers.Handler())
	operatorMux.Handle("GET /readyz", d.callers.Handler())
	if err := d.serve(d.settings.Operator, operatorMux); err != nil {
		return err
	}
	return d.serve(d.settings.Listen, d.callers.Handler())
}

// serve starts an HTTP server on an address.
func (d *Daemon) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout,
	}
	d.servers = append(d.servers, server)
	s := &serving{daemon: d, server: server, listener: listener}
	go s.run()
	return nil
}

type serving struct {
	daemon   *Daemon
	server   *http.Server
	listener net.Listener
}

func (s *serving) run() {
	err := s.server.Serve(s.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		s.daemon.log.Error(err, "server ended", "address", s.listener.Addr().String())
	}
}

func (d *Daemon) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, s := range d.servers {
		s.Shutdown(ctx)
	}
	d.peers.Close()
}
