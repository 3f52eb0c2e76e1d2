package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"hawthornspar/core/endpoints"
	"hawthornspar/core/route"
)

// Timing of the synchronisation with the store.
const (
	// watchHold is how long the store may hold back the response to a watch,
	// and watchTimeout when a watch without a response is given up, which
	// leaves a slow store time to respond. Together with the pauses, a change
	// whose response was lost is still learnt within two seconds.
	watchHold    = 600 * time.Millisecond
	watchTimeout = 1200 * time.Millisecond
	// registryPause follows each response of the registry, as heartbeats change
	// it all the time.
	registryPause = 400 * time.Millisecond
	// failurePause follows a failed request.
	failurePause = 250 * time.Millisecond
	// expiryGrace is how long endpoints whose entries vanished around an outage
	// of the store have to register again.
	expiryGrace = 1800 * time.Millisecond
)

// sleep waits for a duration. It returns false when the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// jitter returns a random duration between half of d and one and a half times d.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// dependency logs when the store becomes unreachable and reachable again, as
// seen by one syncer.
type dependency struct {
	name       string
	lost       bool
	lostAt     time.Time
	regainedAt time.Time
}

// record records the result of a request to the store.
func (d *dependency) record(g *Gateway, err error) {
	if err != nil && !d.lost {
		d.lost, d.lostAt = true, time.Now()
		g.log.Info("dependency lost", "dependency", d.name, "error", err.Error())
	}
	if err == nil && d.lost {
		d.lost, d.regainedAt = false, time.Now()
		g.log.Info("dependency regained", "dependency", d.name, "after", time.Since(d.lostAt))
	}
}

// operationsTable puts each new configuration and the evacuations in force.
type operationsTable struct{ gateway *Gateway }

func (o *operationsTable) read(ctx context.Context) (int64, error) {
	sent := time.Now()
	ops, version, err := o.gateway.store.Operations(ctx)
	o.apply(ops, sent, sent, err == nil || version > 0)
	return version, err
}

func (o *operationsTable) watch(ctx context.Context, version int64) (int64, time.Duration, error) {
	sent := time.Now()
	ops, next, err := o.gateway.store.WatchOperations(ctx, version, watchHold)
	responded := err == nil || next > version
	o.apply(ops, sent, confirmedAt(sent, !ops.empty()), responded)
	return next, 0, err
}

// apply applies the response to a request that was sent at the given time, if there is one.
// It confirms what is known up to another time. The evacuations are applied first, as a
// configuration lets the VM serve.
func (o *operationsTable) apply(ops Operations, sent, confirmed time.Time, responded bool) {
	g := o.gateway
	g.state.recordStoreRequest(sent, responded)
	if !responded {
		return
	}
	g.evacuate(ops.Evacuations, sourceStore)
	g.state.recordEvacuationCheck(confirmed)
	if ops.Configuration != nil {
		g.configure(ops.Configuration)
	}
}

// configure puts a configuration in force if it is newer.
func (g *Gateway) configure(d *route.Document) {
	if !g.state.configure(d) {
		return
	}
	g.server.setLimits(d.Limits, nil)
	g.log.Info("configuration", "version", d.Version, "routes", len(d.Routes), "accounts", len(d.Accounts))
	for _, a := range d.Accounts {
		if a.Prepaid != nil {
			g.log.V(1).Info("budget configured", "account", a.Name, "prepaid", *a.Prepaid, "version", d.Version)
		}
	}
	for _, gr := range g.state.groups {
		gr.wake()
	}
}

// registryTable keeps the endpoints up to date.
type registryTable struct {
	gateway *Gateway
	store   *dependency
}

func (r *registryTable) read(ctx context.Context) (int64, error) {
	sent := time.Now()
	change, version, err := r.gateway.store.Registry(ctx)
	r.gateway.state.recordStoreRequest(sent, err == nil)
	if err != nil {
		return 0, err
	}
	r.gateway.replaceRegistry(change, version, r.expiryTime())
	r.gateway.state.recordRegistryCheck(sent)
	return version, nil
}

func (r *registryTable) watch(ctx context.Context, version int64) (int64, time.Duration, error) {
	sent := time.Now()
	change, next, err := r.gateway.store.WatchRegistry(ctx, version, watchHold)
	r.gateway.state.recordStoreRequest(sent, err == nil)
	if err != nil {
		return 0, 0, err
	}
	// It depends on when the response came, and not on how long its changes take.
	confirmed := confirmedAt(sent, !change.Empty())
	r.gateway.changeRegistry(change, next, r.expiryTime())
	r.gateway.state.recordRegistryCheck(confirmed)
	return next, registryPause, nil
}

// expiryTime returns the time from which an entry that is missing now counts as
// gone.
func (r *registryTable) expiryTime() time.Time {
	now := time.Now()
	if r.store.lost || now.Sub(r.store.regainedAt) < expiryGrace {
		return now.Add(expiryGrace)
	}
	return now
}

// replaceRegistry applies the complete registry as of a version of the store;
// endpoints that it lacks expire.
func (g *Gateway) replaceRegistry(c endpoints.RegistryChange, version int64, expiresAt time.Time) {
	g.state.mu.Lock()
	present := map[string]bool{}
	for _, r := range c.Put {
		present[r.ID] = true
	}
	for _, id := range g.state.endpoints.IDs() {
		if !present[id] {
			c.Removed = append(c.Removed, id)
		}
	}
	g.state.registryKnown = true
	g.state.mu.Unlock()
	g.changeRegistry(c, version, expiresAt)
	g.state.setRegistryComplete()
}

// changeRegistry applies changes of the registry.
func (g *Gateway) changeRegistry(c endpoints.RegistryChange, version int64, expiresAt time.Time) {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registryVersion = max(s.registryVersion, version)
	for _, id := range c.Unreadable {
		g.log.Info("registration unreadable", "endpoint", id)
	}
	for _, r := range c.Put {
		change := g.register(r)
		if change == endpoints.Restarted {
			g.confirmCrash(r.ID, r.Born)
		}
		if change != endpoints.Unchanged {
			g.log.Info("endpoint", "endpoint", r.ID, "service", r.Service, "address", r.Address, "draining", r.Draining, "change", change.String(), "registry", version)
		}
	}
	for id, remaining := range c.Expiring {
		s.endpoints.Expire(id, time.Now().Add(remaining))
	}
	for _, id := range append(c.Removed, c.Unreadable...) {
		if e := s.endpoints.Get(id); e != nil && !e.Draining && !expiresAt.After(time.Now()) {
			g.confirmCrash(id, 0)
		}
		if s.endpoints.Expire(id, expiresAt) {
			g.log.Info("endpoint missing", "endpoint", id, "goneIn", time.Until(expiresAt), "registry", version, "registryAge", s.knowledge.Registry.Age(time.Now()))
		}
	}
	g.sweep(time.Now())
}

// register applies a registration. The caller holds the state's lock.
func (g *Gateway) register(r endpoints.Registration) endpoints.Change {
	t, now := g.state.endpoints, time.Now()
	before := t.ColdLeft(r.ID, now)
	change := t.Register(r, now)
	if left := t.ColdLeft(r.ID, now); before == 0 && left > 0 {
		g.log.Info("endpoint cold", "endpoint", r.ID, "service", r.Service, "for", left, "by", "registry")
	}
	return change
}

// sweep drops the endpoints that have expired. The caller holds the state's
// lock.
func (g *Gateway) sweep(now time.Time) {
	for _, id := range g.state.endpoints.DropExpired(now) {
		g.log.Info("endpoint gone", "endpoint", id)
	}
}

// sweeper periodically drops endpoints that have expired and closes idle
// connections that are too old.
type sweeper struct{ gateway *Gateway }

// sweepPeriod is short compared with expiryGrace.
const sweepPeriod = 500 * time.Millisecond

func (s *sweeper) loop(ctx context.Context) {
	for sleep(ctx, sweepPeriod) {
		s.gateway.state.mu.Lock()
		s.gateway.sweep(time.Now())
		s.gateway.state.mu.Unlock()
		s.gateway.pool.CloseExpired()
	}
}
