package gateway

import (
	"context"
	"time"

	"hawthornspar/core/endpoints"
)

// registryTable keeps the endpoints up to date.
type registryTable struct {
	gateway *Gateway
	outage  endpoints.Outage // of the store, as seen by the requests for the registry
	// confirmed is the time up to which a response of the store shows all changes.
	confirmed time.Time
}

func (r *registryTable) read(ctx context.Context) (int64, error) {
	sent := time.Now()
	change, version, err := r.gateway.store.Registry(ctx)
	r.recordRequest(sent, err)
	if err != nil {
		return 0, err
	}
	r.gateway.replaceRegistry(change, version, r.outage.GraceEnd(r.confirmed, time.Now()))
	r.confirm(sent)
	return version, nil
}

func (r *registryTable) watch(ctx context.Context, version int64) (int64, time.Duration, error) {
	sent := time.Now()
	change, next, err := r.gateway.store.WatchRegistry(ctx, version, watchHold)
	r.recordRequest(sent, err)
	if err != nil {
		return 0, 0, err
	}
	// It depends on when the response came, and not on how long its changes take.
	confirmed := confirmedAt(sent, !change.Empty())
	r.gateway.changeRegistry(change, next, r.outage.GraceEnd(r.confirmed, time.Now()))
	r.confirm(confirmed)
	return next, registryPause, nil
}

// recordRequest records the result of a request that was sent at the given time. A store that
// has lost its history has responded, though not with the registry.
func (r *registryTable) recordRequest(sent time.Time, err error) {
	g := r.gateway
	g.state.recordStoreRequest(sent, err == nil)
	r.outage.Record(sent, err == nil || g.store.HistoryLost(err))
}

// confirm records that a response of the store, which has been applied, shows all changes up to
// a time.
func (r *registryTable) confirm(at time.Time) {
	r.confirmed = at
	r.gateway.state.recordRegistryCheck(at)
}

// replaceRegistry applies the complete registry as of a version of the store.
// Endpoints that it lacks are used until graceEnd.
func (g *Gateway) replaceRegistry(c endpoints.RegistryChange, version int64, graceEnd time.Time) {
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
	g.changeRegistry(c, version, graceEnd)
	g.state.setRegistryComplete()
}

// changeRegistry applies changes of the registry. Endpoints that are removed by it are used
// until graceEnd.
func (g *Gateway) changeRegistry(c endpoints.RegistryChange, version int64, graceEnd time.Time) {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registryVersion = max(s.registryVersion, version)
	for _, id := range c.Unreadable {
		g.log.Info("registration unreadable", "endpoint", id)
	}
	for _, r := range c.Put {
		rest, expiring := c.Expiring[r.ID]
		change := g.register(r, rest, expiring)
		if change == endpoints.Restarted {
			g.confirmCrash(r.ID, r.Born)
		}
		if change != endpoints.Unchanged {
			g.log.Info("endpoint", "endpoint", r.ID, "service", r.Service, "address", r.Address, "draining", r.Draining, "change", change.String(), "registry", version)
		}
	}
	for _, id := range append(c.Removed, c.Unreadable...) {
		if e := s.endpoints.Get(id); e != nil && !e.Draining && !graceEnd.After(time.Now()) {
			g.confirmCrash(id, 0)
		}
		if s.endpoints.Expire(id, graceEnd) {
			g.log.Info("endpoint missing", "endpoint", id, "goneIn", time.Until(graceEnd), "registry", version, "registryAge", s.knowledge.Registry.Age(time.Now()))
		}
	}
	g.sweep(time.Now())
}

// register applies a registration, or one that another VM uses for the rest of a grace period
// only. The caller holds the state's lock.
func (g *Gateway) register(r endpoints.Registration, rest time.Duration, expiring bool) endpoints.Change {
	t, now := g.state.endpoints, time.Now()
	if expiring {
		return t.RegisterExpiring(r, rest, now)
	}
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

// sweepPeriod is short compared with the grace of missing endpoints.
const sweepPeriod = 500 * time.Millisecond

func (s *sweeper) loop(ctx context.Context) {
	for sleep(ctx, sweepPeriod) {
		s.gateway.state.mu.Lock()
		s.gateway.sweep(time.Now())
		s.gateway.state.mu.Unlock()
		s.gateway.pool.CloseExpired()
	}
}
