package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"hawthornspar/core/endpoints"
	"hawthornspar/core/route"
)

// Pace of following the store.
const (
	// watchWait is how long the store may hold a watch back, and watchLimit when
	// one without an answer is given up, with a slow store's answer in between:
	// with the pauses, news that a call was lost for stays within two seconds.
	watchWait  = 600 * time.Millisecond
	watchLimit = 1200 * time.Millisecond
	// registryPause follows each answer of the registry, as heartbeats change
	// it all the time.
	registryPause = 400 * time.Millisecond
	// failPause follows a failed call.
	failPause = 250 * time.Millisecond
	// lapseGrace is how long endpoints whose entries vanished around an outage
	// of the store have to register again.
	lapseGrace = 1800 * time.Millisecond
)

// sleep waits, or returns false when the context ends first.
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

// jitter spreads a pause by half of it either way.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// dependency logs when the store is lost and regained, as seen by one follower.
type dependency struct {
	name     string
	lost     bool
	lostAt   time.Time
	regained time.Time
}

func (d *dependency) note(g *Gateway, err error) {
	if err != nil && !d.lost {
		d.lost, d.lostAt = true, time.Now()
		g.log.Info("dependency lost", "dependency", d.name, "error", err.Error())
	}
	if err == nil && d.lost {
		d.lost, d.regained = false, time.Now()
		g.log.Info("dependency regained", "dependency", d.name, "after", time.Since(d.lostAt))
	}
}

// configurationFollower keeps the newest configuration in force.
type configurationFollower struct {
	gateway *Gateway
	version int64
	known   bool
	store   dependency
}

func (f *configurationFollower) loop(ctx context.Context) {
	f.store.name = "configuration"
	for ctx.Err() == nil {
		d, err := f.next(ctx)
		f.store.note(f.gateway, err)
		f.gateway.configurationLost.Store(err != nil)
		if err != nil {
			f.known = f.known && !f.gateway.store.HistoryLost(err)
			sleep(ctx, jitter(failPause))
			continue
		}
		if d != nil {
			f.gateway.configure(d)
		}
	}
}

func (f *configurationFollower) next(ctx context.Context) (d *route.Document, err error) {
	if !f.known {
		d, f.version, err = f.gateway.store.Configuration(ctx)
		f.known = err == nil
		return d, err
	}
	ctx, cancel := context.WithTimeout(ctx, watchLimit)
	defer cancel()
	d, f.version, err = f.gateway.store.WatchConfiguration(ctx, f.version, watchWait)
	return d, err
}

// configure puts a document in force if it is newer.
func (g *Gateway) configure(d *route.Document) {
	if !g.state.configure(d) {
		return
	}
	g.server.limit(d.Limits, nil)
	g.log.Info("configuration", "version", d.Version, "routes", len(d.Routes), "accounts", len(d.Accounts))
	for _, a := range d.Accounts {
		if a.Prepaid != nil {
			g.log.V(1).Info("budget configured", "account", a.Name, "prepaid", *a.Prepaid, "version", d.Version)
		}
	}
	for _, r := range g.state.groups {
		r.wake()
	}
}

// registryFollower keeps the endpoints up to date.
type registryFollower struct {
	gateway *Gateway
	version int64
	known   bool
	store   dependency
}

func (f *registryFollower) loop(ctx context.Context) {
	f.store.name = "registry"
	for ctx.Err() == nil {
		pause := registryPause
		err := f.step(ctx)
		f.store.note(f.gateway, err)
		if err != nil {
			f.known = f.known && !f.gateway.store.HistoryLost(err)
			pause = jitter(failPause)
		}
		sleep(ctx, pause)
	}
}

func (f *registryFollower) step(ctx context.Context) error {
	if !f.known {
		change, version, err := f.gateway.store.Registry(ctx)
		if err != nil {
			return err
		}
		f.version, f.known = version, true
		f.gateway.replaceRegistry(change, version, f.goneAt())
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, watchLimit)
	defer cancel()
	change, version, err := f.gateway.store.WatchRegistry(ctx, f.version, watchWait)
	if err != nil {
		return err
	}
	f.version = version
	f.gateway.changeRegistry(change, version, f.goneAt())
	return nil
}

// goneAt returns when an entry that is missing now counts as gone.
func (f *registryFollower) goneAt() time.Time {
	now := time.Now()
	if f.store.lost || now.Sub(f.store.regained) < lapseGrace {
		return now.Add(lapseGrace)
	}
	return now
}

// replaceRegistry takes the whole registry as of a version of the store; what is
// missing is gone.
func (g *Gateway) replaceRegistry(c endpoints.RegistryChange, version int64, gone time.Time) {
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
	g.state.registry = true
	g.state.mu.Unlock()
	g.changeRegistry(c, version, gone)
}

// changeRegistry takes changes of the registry.
func (g *Gateway) changeRegistry(c endpoints.RegistryChange, version int64, gone time.Time) {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registryVersion = max(s.registryVersion, version)
	for _, id := range c.Unreadable {
		g.log.Info("registration unreadable", "endpoint", id)
	}
	for _, r := range c.Put {
		if change := s.endpoints.Put(r); change != endpoints.Unchanged {
			g.log.Info("endpoint", "endpoint", r.ID, "service", r.Service, "address", r.Address, "draining", r.Draining, "change", change.String())
		}
	}
	for _, id := range append(c.Removed, c.Unreadable...) {
		if s.endpoints.Expire(id, gone) {
			g.log.Info("endpoint missing", "endpoint", id, "goneIn", time.Until(gone))
		}
	}
	g.sweep(time.Now())
}

// sweep drops endpoints that are gone. The caller holds the state's lock.
func (g *Gateway) sweep(now time.Time) {
	for _, id := range g.state.endpoints.Sweep(now) {
		g.log.Info("endpoint gone", "endpoint", id)
	}
}

// upkeep does what is due from time to time.
type upkeep struct{ gateway *Gateway }

// upkeepPeriod is short against the grace of lapsed endpoints.
const upkeepPeriod = 500 * time.Millisecond

func (u *upkeep) loop(ctx context.Context) {
	for sleep(ctx, upkeepPeriod) {
		u.gateway.state.mu.Lock()
		u.gateway.sweep(time.Now())
		u.gateway.state.mu.Unlock()
		u.gateway.pool.Trim()
	}
}
