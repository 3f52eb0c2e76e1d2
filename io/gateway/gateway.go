package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"hawthornspar/core/load"
	"hawthornspar/core/retrybudget"
	"hawthornspar/io/certificate"
	"hawthornspar/io/http1"
	"hawthornspar/io/metrics"
)

// defaultVMs is assumed until the store has told how many VMs there are.
const defaultVMs = 16

// Settings are what a gateway is told at its start.
type Settings struct {
	Name         string   // this VM's
	Incarnation  string   // unique for each start
	Domain       string   // failure domain
	Listen       string   // IP:port for clients
	Ready        string   // IP:port for readiness checks
	Peer         string   // IP:port (UDP) for other VMs; empty for none
	Control      string   // IP:port for VMs that have just started; empty for none
	Seeds        []string // control addresses of other VMs, IP:port; may be down
	Metrics      string   // IP:port for metrics; empty for none
	Retries      retrybudget.Bound
	BudgetReport time.Duration // time between writes of what a VM holds
	BudgetGroups int           // groups of client accounts; the same at all VMs and for good
	StoreWrites  float64       // transactions a second that one part of the store takes
	Grace        time.Duration // from SIGTERM until the process is killed
	LinkBytes    float64       // bytes a second that the VM's link carries each way; 0 for no limit
}

// Gateway is one VM's request path.
type Gateway struct {
	settings Settings
	store    Store
	dialect  Dialect
	pool     *http1.Pool
	state    *state
	log      logr.Logger
	metrics  *metrics.Registry
	stopping atomic.Bool
	// configurationLost says that the last call for the configuration failed.
	configurationLost atomic.Bool
	authority         atomic.Pointer[certificate.Pair] // of the fleet; nil until known
	borrower          *borrower
	repaid            sequences
	reloaded          atomic.Pointer[Reloadable]
	buffered          atomic.Int64 // bytes of request bodies in memory
	passed            atomic.Int64 // bytes of requests and answers since the last look
	requests          atomic.Int64 // of clients, since the last look
	jam               jam
	crowded           atomic.Bool // the link is near its capacity
	sheds             atomic.Bool // kept connections are closed for that
	server            *server
	started           time.Time // of this process, or a little later
}

// Option changes how a gateway is built.
type Option func(*Gateway)

// WithLog sets the log.
func WithLog(l logr.Logger) Option { return func(g *Gateway) { g.log = l } }

// New returns a gateway that speaks d to clients and endpoints.
func New(s Settings, st Store, d Dialect, p *http1.Pool, m *metrics.Registry, options ...Option) *Gateway {
	g := &Gateway{
		settings: s, store: st, dialect: d, pool: p, state: newState(s),
		log: logr.Discard(), metrics: m, started: time.Now(),
	}
	g.reloaded.Store(&Reloadable{Grace: s.Grace, Seeds: s.Seeds, StoreWrites: s.StoreWrites})
	for _, o := range options {
		o(g)
	}
	g.server = newServer(g)
	g.borrower = newBorrower(g)
	return g
}

// Run serves until the context ends, then stops gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	if err := g.metrics.Gauge("configuration_version", func() int64 { return g.state.versions().Configuration }); err != nil {
		return err
	}
	if err := g.server.listen(); err != nil {
		return err
	}
	g.log.Info("started", "incarnation", g.settings.Incarnation, "listen", g.settings.Listen)
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	configuration := &configurationFollower{gateway: g}
	go configuration.loop(work)
	registry := &registryFollower{gateway: g}
	go registry.loop(work)
	members := &memberFollower{gateway: g}
	go members.loop(work)
	for _, r := range g.state.groups {
		budget := &budgetKeeper{gateway: g, group: r}
		go budget.loop(work)
	}
	repayer := &repayer{gateway: g}
	go repayer.loop(work)
	peers := &peerOpener{gateway: g}
	go peers.run(work)
	viewer := &viewer{gateway: g, client: &http.Client{}}
	go viewer.loop(work)
	upkeep := &upkeep{gateway: g}
	go upkeep.loop(work)
	traffic := &loadWatch{gateway: g, meter: load.Meter{Capacity: g.settings.LinkBytes}}
	go traffic.loop(work)
	<-ctx.Done()
	g.stop(repayer)
	return nil
}

// Reload takes the settings that a running process can change: the retry
// budget, the grace, seeds and the store's write rate.
func (g *Gateway) Reload(s Settings) {
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	g.state.retries.SetBound(s.Retries)
	g.reloaded.Store(&Reloadable{Grace: s.Grace, Seeds: s.Seeds, StoreWrites: s.StoreWrites})
}

// Reloadable are the settings that can change while the process runs.
type Reloadable struct {
	Grace       time.Duration
	Seeds       []string
	StoreWrites float64
}
