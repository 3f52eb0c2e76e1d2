package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"hawthornspar/core/coldstart"
	"hawthornspar/core/load"
	"hawthornspar/core/retrybudget"
	"hawthornspar/io/certificate"
	"hawthornspar/io/http1"
	"hawthornspar/io/loadexchange"
	"hawthornspar/io/metrics"
	"hawthornspar/io/relaybuffer"
)

// defaultVMCount is the number of VMs assumed until the list of VMs is known.
const defaultVMCount = 16

// Settings are the settings of a gateway at its start.
type Settings struct {
	Name                 string // name of this VM
	Incarnation          string // unique for each start
	FailureDomain        string
	Listen               string   // IP:port for clients
	ReadyListen          string   // IP:port for readiness checks
	PeerListen           string   // IP:port (UDP) for other VMs; empty for none
	ControlListen        string   // IP:port for VMs that have just started; empty for none
	Seeds                []string // control addresses of other VMs, IP:port; may be down
	MetricsListen        string   // IP:port for metrics; empty for none
	Retries              retrybudget.Limit
	BudgetReportInterval time.Duration // time between writes of this VM's allocations
	BudgetGroups         int           // number of groups of client accounts; the same at all VMs and never changed
	StoreWritesPerSecond float64       // transactions per second that one partition of the store accepts
	GracePeriod          time.Duration // from SIGTERM until the process is killed
	DrainNotice          time.Duration // how long endpoints serve after they registered as draining; 0 when unknown
	MemoryBytes          int64         // memory of the VM; 0 when unknown
	LinkBytesPerSecond   float64       // bytes per second that the VM's link carries each way; 0 for no limit
	Cold                 coldstart.Margin
}

// Gateway forwards client requests on one VM.
type Gateway struct {
	settings     Settings
	store        Store
	dialect      Dialect
	pool         *http1.Pool
	state        *state
	log          logr.Logger
	metrics      *metrics.Registry
	shuttingDown atomic.Bool
	stopping     atomic.Pointer[stopSchedule] // nil until the shutdown begins
	// requestsEnd ends when the requests that are still running must end, at
	// endRequests.
	requestsEnd context.Context
	endRequests context.CancelFunc
	// configurationFailing is set if the last request for the configuration
	// failed.
	configurationFailing atomic.Bool
	authority            atomic.Pointer[certificate.Pair] // the fleet's certificate authority; nil until known
	borrower             *borrower
	loads                loadExchanger
	storeRelay           http.Handler // nil for none
	repaymentSequences   sequences
	figures              budgetFigures
	reloaded             atomic.Pointer[Reloadable]
	bufferedBytes        atomic.Int64 // bytes of request bodies in memory
	responses            *relaybuffer.Memory
	trafficBytes         atomic.Int64 // bytes of requests and responses so far
	requests             atomic.Int64 // client requests since the last sample
	congestion           congestion
	uplink               uplink
	processor            processor
	linkBusy             atomic.Bool   // the link is near its capacity
	closeKeepAlive       atomic.Bool   // kept-alive connections are closed because the link is busy
	crashesRecorded      chan struct{} // wakes the writer of crashes
	server               *server
	started              time.Time // when this process started, or a little later
}

// Option configures a Gateway.
type Option func(*Gateway)

// WithLog sets the logger.
func WithLog(l logr.Logger) Option { return func(g *Gateway) { g.log = l } }

// WithStoreRelay sets the handler of requests that other VMs send to the store
// through this one.
func WithStoreRelay(h http.Handler) Option { return func(g *Gateway) { g.storeRelay = h } }

// New returns a gateway that translates the headers of clients and endpoints
// with d.
func New(s Settings, st Store, d Dialect, p *http1.Pool, m *metrics.Registry, options ...Option) *Gateway {
	g := &Gateway{
		settings: s, store: st, dialect: d, pool: p, state: newState(s),
		log: logr.Discard(), metrics: m, crashesRecorded: make(chan struct{}, 1), started: time.Now(),
	}
	g.requestsEnd, g.endRequests = context.WithCancel(context.Background())
	g.uplink.queue.Capacity = s.LinkBytesPerSecond
	g.responses = relaybuffer.NewMemory(maxResponsesBytes(s.MemoryBytes))
	g.reloaded.Store(reloadable(s))
	for _, o := range options {
		o(g)
	}
	g.server = newServer(g)
	g.borrower = newBorrower(g)
	g.loads = loadexchange.New(loadView{g}, s.Name, s.FailureDomain, m, loadexchange.WithLog(g.log))
	return g
}

// Run serves until the context ends, then shuts down gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	if err := g.registerGauges(); err != nil {
		return err
	}
	if err := g.metrics.RegisterGauge("link_queue_ms", func() int64 { return g.uplink.length().Milliseconds() }); err != nil {
		return err
	}
	if err := g.metrics.RegisterGauge("response_buffer_bytes", g.responses.Used); err != nil {
		return err
	}
	if err := g.metrics.RegisterCounter("load_exchange_bytes", g.loads.Bytes); err != nil {
		return err
	}
	if err := g.server.listen(); err != nil {
		return err
	}
	g.log.Info("started", "incarnation", g.settings.Incarnation, "listen", g.settings.Listen)
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, w := range g.watchers() {
		go w.loop(background)
	}
	members := &memberSyncer{gateway: g}
	go members.loop(background)
	for _, gr := range g.state.groups {
		budget := &budgetSyncer{gateway: g, group: gr}
		go budget.loop(background)
	}
	crashWriter := &crashWriter{gateway: g}
	go crashWriter.loop(background)
	repayer := &repayer{gateway: g}
	go repayer.loop(background)
	peers := &peerListener{gateway: g}
	go peers.run(background)
	fleetPoller := newFleetPoller(g)
	go fleetPoller.loop(background)
	g.loads.Start(background)
	sweeper := &sweeper{gateway: g}
	go sweeper.loop(background)
	traffic := &loadMonitor{gateway: g, meter: load.Meter{Capacity: g.settings.LinkBytesPerSecond}}
	go traffic.loop(background)
	processor := &processorMonitor{gateway: g}
	go processor.loop(background)
	<-ctx.Done()
	g.shutdown(repayer)
	return nil
}

// registerGauges registers the gauges of the gateway's state.
func (g *Gateway) registerGauges() error {
	for _, gauge := range []struct {
		name string
		read func() int64
	}{
		{"configuration_version", func() int64 { return g.state.versions().Configuration }},
		{"quarantined_features", g.state.quarantinedFeatures},
		{"cold_endpoints", g.state.coldEndpoints},
		{"evacuated_domains", g.state.evacuatedDomains},
		{"store_era", g.state.storeEra},
		{"unsettled_budget_groups", g.state.unsettledGroups},
	} {
		if err := g.metrics.RegisterGauge(gauge.name, gauge.read); err != nil {
			return err
		}
	}
	return g.metrics.RegisterSampledGauge("budget_tokens", g.figures.samples)
}

// watchers returns a watcher for each table of the store that VMs follow.
func (g *Gateway) watchers() []*watcher {
	return []*watcher{
		{
			gateway: g, table: &operationsTable{gateway: g}, timeout: watchTimeout, store: &dependency{name: "configuration"},
			onAttempt: func(err error) { g.configurationFailing.Store(err != nil) },
		},
		{gateway: g, table: &registryTable{gateway: g}, timeout: watchTimeout, store: &dependency{name: "registry"}},
		{gateway: g, table: &crashTable{g}, timeout: crashWatchTimeout, store: &dependency{name: "crashes"}},
	}
}

// Reload applies the settings that can change while the process runs: the retry
// budget, the grace period, the seeds, the store's write rate, the drain notice
// and the margin of cold endpoints.
func (g *Gateway) Reload(s Settings) {
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	g.state.retries.SetLimit(s.Retries)
	g.state.setColdMargin(s.Cold)
	g.reloaded.Store(reloadable(s))
}

// Reloadable is the part of Settings that can change while the process runs.
type Reloadable struct {
	GracePeriod          time.Duration
	Seeds                []string
	StoreWritesPerSecond float64
	DrainNotice          time.Duration
}

func reloadable(s Settings) *Reloadable {
	return &Reloadable{GracePeriod: s.GracePeriod, Seeds: s.Seeds, StoreWritesPerSecond: s.StoreWritesPerSecond, DrainNotice: s.DrainNotice}
}
