package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"hawthornspar/core/endpoints"
	"hawthornspar/io/http1"
)

const (
	// fleetPollPause is the time between requests for another VM's view while the
	// store fails, or nobody confirms what this VM knows, and fleetCheckPeriod that
	// between checks whether this is so.
	fleetPollPause   = 700 * time.Millisecond
	fleetCheckPeriod = 100 * time.Millisecond
	// fleetTimeout bounds a request, whose response may contain a large
	// configuration.
	fleetTimeout = 600 * time.Millisecond
	// maxFleetBytes bounds a response.
	maxFleetBytes = 16 << 20
)

// fleetPoller requests the view of other VMs while the store fails, or nobody confirms what
// this VM knows.
type fleetPoller struct {
	gateway  *Gateway
	client   *http.Client // for the control addresses of seeds
	wasStale bool
}

func newFleetPoller(g *Gateway) *fleetPoller {
	return &fleetPoller{gateway: g, client: &http.Client{Transport: &http1.CheckedTransport{Base: http.DefaultTransport}}}
}

func (p *fleetPoller) loop(ctx context.Context) {
	next := time.Now().Add(jitter(fleetPollPause))
	for sleep(ctx, fleetCheckPeriod) {
		p.logStaleness()
		if time.Now().After(next) && (p.gateway.configurationFailing.Load() || p.gateway.state.needsView()) {
			p.poll(ctx)
			next = time.Now().Add(jitter(fleetPollPause))
		}
	}
}

// logStaleness logs when this VM may send nothing by the registry that it knows, and when it
// may again.
func (p *fleetPoller) logStaleness() {
	if stale := p.gateway.isStale(); stale != p.wasStale {
		p.wasStale = stale
		p.gateway.log.Info("registry stale", "stale", stale)
	}
}

// poll requests the view of one VM and adopts what is newer in it.
func (p *fleetPoller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	sent := time.Now()
	if p.gateway.state.routes() == nil {
		p.gateway.adoptNewest(p.fetchSeeds(ctx), sent)
	}
	view, from, err := p.fetchAny(ctx)
	p.gateway.state.recordVMRequest(sent, err)
	if err != nil {
		p.gateway.log.V(1).Info("fleet view not received", "from", from, "error", err.Error())
		return
	}
	p.gateway.adoptAndConfirm(view, from, sent)
}

// adoptAndConfirm takes over the view of another VM, which was requested at the given time,
// and only then records what it confirms. Between the two, requests would go by the old
// registry.
func (g *Gateway) adoptAndConfirm(v fleetView, from string, sent time.Time) {
	g.adopt(v, from)
	g.state.recordView(v, sent)
}

// receivedView is the view of one VM.
type receivedView struct {
	fleetView
	from string // address of the VM
}

// fetchSeeds requests the views of all seeds.
func (p *fleetPoller) fetchSeeds(ctx context.Context) []receivedView {
	seeds := p.gateway.reloaded.Load().Seeds
	results := make(chan *seedRequest, len(seeds))
	for _, seed := range seeds {
		r := &seedRequest{poller: p, seed: seed, results: results}
		go r.run(ctx)
	}
	var views []receivedView
	for range seeds {
		r := <-results
		if r.err != nil {
			p.gateway.log.V(1).Info("fleet view not received", "from", r.seed, "error", r.err.Error())
			continue
		}
		views = append(views, receivedView{r.view, r.seed})
	}
	return views
}

// seedRequest requests the view of one seed.
type seedRequest struct {
	poller  *fleetPoller
	seed    string
	view    fleetView
	err     error
	results chan<- *seedRequest
}

func (r *seedRequest) run(ctx context.Context) {
	r.view, r.err = r.poller.fetch(ctx, "http://"+r.seed, r.poller.client)
	r.results <- r
}

// adoptNewest takes over views that were requested at the given time, the newest
// configuration first: a VM that has just
// started must not begin with an older one than it can know of, as that may have
// API keys that were withdrawn since.
func (g *Gateway) adoptNewest(views []receivedView, sent time.Time) {
	for _, v := range views {
		g.adoptEvacuations(v.fleetView, v.from)
	}
	slices.SortFunc(views, func(a, b receivedView) int {
		return cmp.Or(cmp.Compare(b.configurationVersion(), a.configurationVersion()), cmp.Compare(b.RegistryEra, a.RegistryEra), cmp.Compare(b.RegistryVersion, a.RegistryVersion))
	})
	for _, v := range views {
		g.adopt(v.fleetView, v.from)
	}
	for _, v := range views {
		g.state.recordView(v.fleetView, sent)
	}
}

// configurationVersion returns the version of the configuration in the view; 0 for
// none.
func (v fleetView) configurationVersion() int64 {
	if v.Configuration == nil {
		return 0
	}
	return v.Configuration.Version
}

// fetchAny requests the view of a peer when the transport between VMs is open,
// else that of a seed. It also returns the VM's address.
func (p *fleetPoller) fetchAny(ctx context.Context) (fleetView, string, error) {
	if address, ok := p.gateway.borrower.randomPeer(); ok {
		view, err := p.fetch(ctx, "https://"+address, &http.Client{Transport: p.gateway.borrower.transport()})
		if err != nil {
			p.gateway.borrower.closeConn(address)
		}
		return view, address, err
	}
	seeds := p.gateway.reloaded.Load().Seeds
	if len(seeds) == 0 {
		return fleetView{}, "", errors.WithStack(&NoPeerError{})
	}
	seed := seeds[rand.IntN(len(seeds))]
	view, err := p.fetch(ctx, "http://"+seed, p.client)
	return view, seed, err
}

// NoPeerError reports that no request can be sent to another VM: none is known, or
// the transport to them is not open.
type NoPeerError struct{}

// Error implements error.
func (*NoPeerError) Error() string { return "no other VM is known or reachable" }

// fetch requests the view of the VM at a base URL.
func (p *fleetPoller) fetch(ctx context.Context, base string, c *http.Client) (fleetView, error) {
	request, err := sling.New().Base(base).Get(fleetPath).QueryStruct(p.gateway.state.versions()).Request()
	if err != nil {
		return fleetView{}, errors.Wrap(err, "question")
	}
	response, err := c.Do(request.WithContext(ctx))
	if err != nil {
		return fleetView{}, errors.Wrap(err, "VM")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fleetView{}, errors.WithStack(&StatusError{Status: response.StatusCode})
	}
	var view fleetView
	if err = json.NewDecoder(io.LimitReader(response.Body, maxFleetBytes)).Decode(&view); err != nil {
		return fleetView{}, errors.Wrap(err, "VM's answer")
	}
	if view.VM == p.gateway.settings.Name { // a seed may be this VM itself
		return fleetView{}, errors.WithStack(&NoPeerError{})
	}
	return view, nil
}

// StatusError reports that another VM responded with an error status.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return "VM responded " + http.StatusText(e.Status) }

// adopt takes over what another VM knows, where it is newer.
func (g *Gateway) adopt(v fleetView, from string) {
	g.adoptEvacuations(v, from)
	if v.Configuration != nil {
		g.log.Info("configuration from a VM", "from", from, "version", v.Configuration.Version)
		g.configure(v.Configuration)
	}
	if known := g.state.knownRegistry(); v.Endpoints != nil && v.registry().NewerThan(known) {
		g.log.Info("registry from a VM", "from", from, "version", v.registry().String(), "endpoints", len(v.Endpoints))
		list := endpoints.RegistryChange{Put: v.Endpoints, Expiring: v.Expiring}
		g.updateRegistry(registryUpdate{RegistryChange: list, version: v.registry(), known: known, complete: true, graceEnd: time.Now()})
	}
	g.applyCrashes(v.Quarantines)
	if v.Authority != nil {
		g.authority.CompareAndSwap(nil, v.Authority)
	}
	if len(v.VMs) > 0 && !g.state.membersKnown() {
		g.updateMembers(v.VMs, "VM "+from)
	}
}
