package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"hawthornspar/core/revision"
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
	name   string
	lost   bool
	lostAt time.Time
}

// record records the result of a request to the store.
func (d *dependency) record(g *Gateway, err error) {
	if err != nil && !d.lost {
		d.lost, d.lostAt = true, time.Now()
		g.log.Info("dependency lost", "dependency", d.name, "error", err.Error())
	}
	if err == nil && d.lost {
		d.lost = false
		g.log.Info("dependency regained", "dependency", d.name, "after", time.Since(d.lostAt))
	}
}

// operationsTable puts each new configuration and the evacuations in force.
type operationsTable struct {
	gateway *Gateway
	// rereadAt is when the table is read again because the last read may lack what the
	// operator has still to write again; zero if it does not.
	rereadAt time.Time
}

func (o *operationsTable) read(ctx context.Context) (revision.Version, error) {
	sent := time.Now()
	ops, version, err := o.gateway.store.Operations(ctx)
	responded := err == nil || !version.IsZero()
	if responded {
		o.rereadAt = o.gateway.state.restoredUntil(sent)
	}
	ops.Evacuations.Restored = !o.rereadAt.IsZero()
	o.apply(ops, sent, sent, responded)
	return version, err
}

func (o *operationsTable) watch(ctx context.Context, version revision.Version) (revision.Version, time.Duration, error) {
	sent := time.Now()
	if !o.rereadAt.IsZero() && sent.After(o.rereadAt) {
		next, err := o.read(ctx)
		return next, 0, err
	}
	ops, next, err := o.gateway.store.WatchOperations(ctx, version, watchHold)
	responded := err == nil || next.NewerThan(version)
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
