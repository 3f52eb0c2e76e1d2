package gateway

import (
	"context"
	"slices"
	"time"

	"hawthornspar/core/endpoints"
	"hawthornspar/core/revision"
)

// registryTable keeps the endpoints up to date.
type registryTable struct {
	gateway *Gateway
	outage  endpoints.Outage // of the store, as seen by the requests for the registry
	// confirmed is the time up to which a response of the store shows all changes.
	confirmed time.Time
	// steppedBackAt is when the store's step back was seen that outage accounts for.
	steppedBackAt time.Time
}

func (r *registryTable) read(ctx context.Context) (revision.Version, error) {
	sent, known := time.Now(), r.gateway.state.knownRegistry()
	change, version, err := r.gateway.store.Registry(ctx)
	r.recordRequest(sent, err)
	if err != nil {
		return revision.Version{}, err
	}
	restored := r.recordStepBack(sent)
	r.gateway.updateRegistry(registryUpdate{RegistryChange: change, version: version, known: known, complete: true, restored: restored, graceEnd: r.graceEnd()})
	r.confirm(sent)
	return version, nil
}

func (r *registryTable) watch(ctx context.Context, version revision.Version) (revision.Version, time.Duration, error) {
	sent, known := time.Now(), r.gateway.state.knownRegistry()
	change, next, err := r.gateway.store.WatchRegistry(ctx, version, watchHold)
	r.recordRequest(sent, err)
	if err != nil {
		return revision.Version{}, 0, err
	}
	// It depends on when the response came, and not on how long its changes take.
	confirmed := confirmedAt(sent, !change.Empty())
	r.gateway.updateRegistry(registryUpdate{RegistryChange: change, version: next, known: known, graceEnd: r.graceEnd()})
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

// recordStepBack reports whether the response to a request that was sent at the given time
// may lack what endpoints have still to write again, as the store has come back from a copy.
func (r *registryTable) recordStepBack(sent time.Time) bool {
	until := r.gateway.state.restoredUntil(sent)
	if until.IsZero() {
		return false
	}
	if at := until.Add(-rewriteTime); !at.Equal(r.steppedBackAt) {
		r.steppedBackAt = at
		r.outage.RecordStepBack(at)
	}
	return true
}

// graceEnd returns the time until which endpoints are used that the response lacks which has
// just come.
func (r *registryTable) graceEnd() time.Time { return r.outage.GraceEnd(r.confirmed, time.Now()) }

// confirm records that a response of the store, which has been applied, shows all changes up to
// a time.
func (r *registryTable) confirm(at time.Time) {
	r.confirmed = at
	r.gateway.state.recordRegistryCheck(at)
}

// registryUpdate is what the store or another VM says of the registry.
type registryUpdate struct {
	endpoints.RegistryChange
	version  revision.Version // version of the store that the registry then corresponds to
	known    revision.Version // version that the VM had when it asked
	restored bool             // whether it is of a store that has just come back from a copy
	complete bool             // whether all endpoints are listed, so that others are missing
	graceEnd time.Time        // until when missing endpoints are used
}

// updateRegistry applies what the store or another VM says of the registry, unless something
// newer has overtaken it.
func (g *Gateway) updateRegistry(u registryUpdate) {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.overtaken(u) {
		g.log.Info("registry overtaken", "version", u.version.String(), "known", s.registryVersion.String())
		return
	}
	if u.complete {
		u.Removed = append(u.Removed, s.unlisted(u.Put)...)
		s.registryKnown = true
	}
	if u.restored {
		u.Put = slices.DeleteFunc(u.Put, s.endpoints.HasSeenLeave)
	}
	s.registryVersion = u.version
	g.changeEndpoints(u)
	if u.complete {
		s.endpoints.SetComplete()
	}
}

// overtaken reports whether the VM has learnt a newer registry since it asked for an update. A
// store that has gone back to an earlier version lists an older one, which is the newest all
// the same. The caller holds the lock.
func (s *state) overtaken(u registryUpdate) bool {
	hasGoneBack := u.complete && u.known == s.registryVersion && u.version.Era == u.known.Era
	return s.registryVersion.NewerThan(u.version) && !hasGoneBack
}

// unlisted returns the ids of the known endpoints that are not listed. The caller holds the
// lock.
func (s *state) unlisted(list []endpoints.Registration) []string {
	listed := map[string]bool{}
	for _, r := range list {
		listed[r.ID] = true
	}
	return slices.DeleteFunc(s.endpoints.IDs(), func(id string) bool { return listed[id] })
}

// changeEndpoints applies an update to the known endpoints. The caller holds the state's lock.
func (g *Gateway) changeEndpoints(u registryUpdate) {
	t := g.state.endpoints
	for _, id := range u.Unreadable {
		g.log.Info("registration unreadable", "endpoint", id)
	}
	for _, r := range u.Put {
		rest, expiring := u.Expiring[r.ID]
		change := g.register(r, rest, expiring)
		if change == endpoints.Restarted {
			g.confirmCrash(r.ID, r.Born)
		}
		if change != endpoints.Unchanged {
			g.log.Info("endpoint", "endpoint", r.ID, "service", r.Service, "address", r.Address, "draining", r.Draining, "change", change.String(), "registry", u.version.String())
		}
	}
	for _, id := range append(u.Removed, u.Unreadable...) {
		if e := t.Get(id); e != nil && !e.Draining && !u.graceEnd.After(time.Now()) {
			g.confirmCrash(id, 0)
		}
		if t.Expire(id, u.graceEnd) {
			g.log.Info("endpoint missing", "endpoint", id, "goneIn", time.Until(u.graceEnd), "registry", u.version.String(), "registryAge", g.state.knowledge.Registry.Age(time.Now()))
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
