// Package loadexchange tells the VMs of a fleet what the others have in flight at each
// endpoint. A VM reports its own load to the collector of its failure domain
// (core/endpointload), which responds with the load of the others. Exchanges are made
// on demand, and no request waits long for one: without them a VM knows only its own
// load.
package loadexchange

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"hawthornspar/core/endpointload"
	"hawthornspar/core/home"
)

const (
	// maxViewAge is the age of the last exchange from which a request makes
	// another one before its endpoint is chosen.
	maxViewAge = 100 * time.Millisecond
	// inFlightPeriod is the time between exchanges while requests are in flight. A
	// report expires after three of them.
	inFlightPeriod = 400 * time.Millisecond
	// tickPeriod is the time between checks of what is due.
	tickPeriod = 200 * time.Millisecond
	// rolesPeriod is the time between looks at the registered VMs.
	rolesPeriod = time.Second
	// longPrompt is the number of uncached tokens from which a prompt is reported
	// at once: other short prompts would wait behind it for a tenth of a second.
	longPrompt = 4_000
	// connectSpread spreads the first connections to collectors, as all VMs may
	// start at once.
	connectSpread = 3 * time.Second
)

// VM is the VM that an Exchanger runs in. Its methods don't wait for the network.
type VM interface {
	// SharesLoad reports whether the configuration describes engines.
	SharesLoad() bool
	// Members returns the registered VMs; the caller must not change the list.
	Members() []home.VM
	// EndpointIDs returns the ids of all known endpoints.
	EndpointIDs() []string
	// OwnLoads returns what this VM has in flight, by endpoint id.
	OwnLoads() map[string]endpointload.Load
	// TakeObservations returns the observations since the last call.
	TakeObservations() []endpointload.Observation
	// SetOthers sets what others have in flight, as known at a time.
	SetOthers(s endpointload.Summary, at time.Time)
	// ForgetOthers discards what others have in flight.
	ForgetOthers()
	// Transport returns the transport to other VMs; nil while it is not open.
	Transport() Transport
}

// Metrics records what an Exchanger does.
type Metrics interface {
	Increment(counter, reason string)
	ObserveDuration(histogram, kind string, d time.Duration)
}

// Exchanger makes the exchanges of one VM, and is the collector's side when other VMs
// ask this one.
type Exchanger struct {
	vm         VM
	name       string // of this VM
	domain     string // its failure domain
	metrics    Metrics
	log        logr.Logger
	spread     time.Duration // of the first connections to collectors
	bootTime   func() time.Duration
	directory  *directory
	collecting *collecting
	bytes      atomic.Int64 // sent and received, as an estimate

	mu        sync.Mutex
	active    bool // exchanges are made
	leaving   bool // this VM is no collector any more
	closed    bool // the last report has been made
	roles     roles
	links     map[string]*link // by VM name
	sequence  int64            // of the last report
	running   *exchange        // nil for none
	again     bool             // another exchange follows the running one
	lastAt    time.Time        // start of the last exchange
	allowance allowance        // of exchanges on demand
	reported  bool             // the last report had load
	view      moment           // of the last exchange that succeeded; zero for none
	previous  target           // of the last exchange
	asked     string           // name of the VM that was asked last, to log changes
}

// Option configures an Exchanger.
type Option func(*Exchanger)

// WithLog sets the logger.
func WithLog(l logr.Logger) Option { return func(e *Exchanger) { e.log = l } }

// WithConnectSpread sets the time over which the first connections to collectors are
// spread.
func WithConnectSpread(d time.Duration) Option { return func(e *Exchanger) { e.spread = d } }

// New returns the exchanger of the named VM in a failure domain.
func New(vm VM, name, domain string, m Metrics, options ...Option) *Exchanger {
	e := &Exchanger{
		vm: vm, name: name, domain: domain, metrics: m, log: logr.Discard(), spread: connectSpread, bootTime: timeSinceBoot,
		directory: &directory{ids: vm.EndpointIDs}, collecting: newCollecting(domain), links: map[string]*link{},
	}
	for _, o := range options {
		o(e)
	}
	return e
}

// Start keeps connections open and makes exchanges while requests are in flight, until
// the context ends.
func (e *Exchanger) Start(ctx context.Context) { go e.loop(ctx) }

// Bytes returns an estimate of the bytes sent and received for exchanges.
func (e *Exchanger) Bytes() int64 { return e.bytes.Load() }

func (e *Exchanger) loop(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	rolesAt := time.Time{}
	for {
		if now := time.Now(); now.Sub(rolesAt) >= rolesPeriod {
			e.assignRoles()
			rolesAt = now
		}
		e.tick()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// assignRoles looks at the registered VMs. With up to home.HomesPerGroup VMs, or without
// engines, no message is sent.
func (e *Exchanger) assignRoles() {
	members := e.vm.Members()
	active := e.domain != "" && len(members) > home.HomesPerGroup && e.vm.SharesLoad()
	var r roles
	if active {
		r = newRoles(e.domain, members)
	}
	e.mu.Lock()
	changed := e.active != active
	e.active, e.roles = active, r
	e.mu.Unlock()
	if changed {
		e.log.Info("load exchange", "active", active, "vms", len(members), "domain", e.domain)
	}
}

// tick keeps connections open, and starts the exchanges that are due.
func (e *Exchanger) tick() {
	t, now := e.vm.Transport(), time.Now()
	e.mu.Lock()
	active := e.active && !e.closed
	if active && t != nil {
		e.tendAll(t, now)
	}
	due := active && now.Sub(e.lastAt) >= inFlightPeriod
	reported := e.reported
	e.mu.Unlock()
	if !active {
		return
	}
	if due && (reported || len(e.vm.OwnLoads()) > 0) {
		e.start(0)
	}
	if t != nil {
		e.exchangeSums(t, now)
	}
}

// Refresh brings what is known of the others' load up to date before an endpoint is
// chosen. It waits at most until an exchange is late.
func (e *Exchanger) Refresh(ctx context.Context) {
	e.dropIfSuspended()
	if x := e.start(maxViewAge); x != nil {
		x.wait(ctx)
	}
	e.mu.Lock()
	active, view := e.active, e.view
	e.mu.Unlock()
	if active && !view.at.IsZero() {
		e.metrics.ObserveDuration("load_view_age_seconds", "choice", time.Since(view.at))
	}
}

// PromptSent reports a long prompt at once. The argument is the number of its tokens
// that the endpoint has to read.
func (e *Exchanger) PromptSent(uncachedTokens int64) {
	if uncachedTokens > longPrompt {
		e.start(0)
	}
}

// dropIfSuspended discards what is known of the others' load if this VM was suspended
// since, as the clock by which it ages may have stood still.
func (e *Exchanger) dropIfSuspended() {
	now := e.now()
	e.mu.Lock()
	drop := e.active && !e.view.at.IsZero() && e.view.suspendedUntil(now)
	if drop {
		e.view = moment{}
	}
	e.mu.Unlock()
	if drop {
		e.log.Info("load view dropped", "reason", "suspended")
		e.vm.ForgetOthers()
	}
}

// now returns the time on both clocks.
func (e *Exchanger) now() moment { return moment{time.Now(), e.bootTime()} }

// Leave ends this VM's part as a collector: those that ask it turn to another one.
func (e *Exchanger) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Close reports once that this VM has nothing in flight. No exchange follows.
func (e *Exchanger) Close() {
	t := e.vm.Transport()
	e.mu.Lock()
	to := e.collector(t)
	due := e.active && !e.closed && to.link != nil
	e.closed = true
	r := e.emptyReport()
	e.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	if _, err := e.report(ctx, t, to.link.vm, r); err != nil {
		e.log.V(1).Info("last report not answered", "collector", to.link.vm.Name, "error", err.Error())
	}
}
