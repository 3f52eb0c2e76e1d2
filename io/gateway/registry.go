package gateway

import (
	"context"
	"time"

	"hawthornspar/core/endpoints"
)

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
