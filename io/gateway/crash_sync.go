package gateway

import (
	"context"
	"time"

	"hawthornspar/core/quarantine"
	"hawthornspar/core/revision"
)

// Timing of the synchronisation of crashes with the store.
const (
	// crashWatchHold is how long the store may hold back the response to a watch, and
	// crashWatchTimeout when a watch without a response is given up. A VM must learn of
	// a crash within the time after a disturbance in which rules do not bind it.
	crashWatchHold    = 2 * time.Second
	crashWatchTimeout = 2600 * time.Millisecond
	// crashPause follows changes, so that many crashes at once cost few responses, and
	// each write.
	crashPause = 100 * time.Millisecond
	// crashGathering precedes the write of a crash: the requests of one VM lose their
	// responses within a few milliseconds.
	crashGathering = 20 * time.Millisecond
	// crashExpiryPeriod is the time between removals of old crashes.
	crashExpiryPeriod = 30 * time.Second
	// maxCrashWrites bounds the changes in one write.
	maxCrashWrites = 50
)

// crashTable learns the crashes that other VMs have recorded.
type crashTable struct{ gateway *Gateway }

func (c *crashTable) read(ctx context.Context) (revision.Version, error) {
	change, at, err := c.gateway.store.Crashes(ctx)
	if err == nil {
		c.gateway.readCrashes(change, at)
	}
	return at.Version, err
}

func (c *crashTable) watch(ctx context.Context, version revision.Version) (revision.Version, time.Duration, error) {
	change, at, err := c.gateway.store.WatchCrashes(ctx, version, crashWatchHold)
	if err != nil {
		return revision.Version{}, 0, err
	}
	c.gateway.state.setCrashClock(at.Ms)
	c.gateway.applyCrashes(change)
	if change.Empty() {
		return at.Version, 0, nil
	}
	return at.Version, crashPause, nil
}

// readCrashes applies the complete content of the store.
func (g *Gateway) readCrashes(c quarantine.Change, at StoreTime) {
	if r := g.state.readCrashes(c, at); r.SteppedBack {
		g.state.mu.Lock()
		g.recordCrashesRestored(r)
		g.state.mu.Unlock()
	}
	g.wakeCrashWriter()
	g.logVerdicts()
}

// applyCrashes applies what other VMs have recorded.
func (g *Gateway) applyCrashes(c quarantine.Change) {
	if c.Empty() {
		return
	}
	g.state.applyCrashes(c)
	g.wakeCrashWriter() // this VM may know of sound runs
	g.logVerdicts()
}

// confirmCrash records the crash of an endpoint that is missing in the registry, or
// has started again at the time born, for the requests whose responses it lost. The
// caller holds the state's lock.
func (g *Gateway) confirmCrash(endpoint string, born int64) {
	features := g.state.quarantine.ConfirmCrash(endpoint, born, time.Now())
	if len(features) == 0 {
		return
	}
	g.metrics.Increment("endpoint_crashes", "registry")
	g.log.Info("endpoint crashed", "endpoint", endpoint, "features", features[:min(len(features), maxLoggedParts)], "restarted", born > 0)
	g.wakeCrashWriter()
}

// wakeCrashWriter makes the writer of crashes look for changes.
func (g *Gateway) wakeCrashWriter() {
	select {
	case g.crashesRecorded <- struct{}{}:
	default: // it is woken already
	}
}

// crashWriter writes the crashes that this VM has recorded to the store.
type crashWriter struct{ gateway *Gateway }

func (c *crashWriter) loop(ctx context.Context) {
	expiry := time.NewTicker(crashExpiryPeriod)
	defer expiry.Stop()
	for ctx.Err() == nil {
		select {
		case <-c.gateway.crashesRecorded:
			sleep(ctx, crashGathering)
		case <-expiry.C:
			c.gateway.state.expireCrashes()
		case <-ctx.Done():
			return
		}
		c.writeAll(ctx)
	}
}

// writeAll writes all changes that are pending, and waits for those that are due later.
func (c *crashWriter) writeAll(ctx context.Context) {
	for ctx.Err() == nil {
		pending, next := c.gateway.state.pendingCrashes(maxCrashWrites)
		lost, nextLost := c.gateway.state.lostTrials()
		if next.IsZero() || !nextLost.IsZero() && nextLost.Before(next) {
			next = nextLost
		}
		switch {
		case len(pending) > 0:
			sleep(ctx, c.write(ctx, pending))
		case len(lost) > 0:
			sleep(ctx, c.restoreTrial(ctx, lost[0]))
		case next.IsZero():
			return
		default:
			sleep(ctx, min(time.Until(next), crashPause))
		}
	}
}

// restoreTrial claims a trial again that the store has lost, without running it, and returns
// the pause that follows.
func (c *crashWriter) restoreTrial(ctx context.Context, lost quarantine.Trial) time.Duration {
	current, claimed, err := c.gateway.store.ClaimTrial(ctx, lost, lost.Version)
	if err != nil {
		c.gateway.log.V(1).Info("trial not written again", "feature", lost.Feature, "error", err.Error())
		return jitter(failurePause)
	}
	c.gateway.state.setTrial(current)
	if claimed {
		c.gateway.metrics.Increment("store_rows_restored", "trial")
	}
	return crashPause
}

// write writes pending changes, and returns the pause that follows. Changes that the
// store rejects are dropped: they would hold up those behind them.
func (c *crashWriter) write(ctx context.Context, pending []quarantine.Write) time.Duration {
	err := c.gateway.store.WriteCrashes(ctx, pending)
	switch {
	case err == nil:
		c.gateway.state.crashesWritten(pending)
		c.gateway.logVerdicts()
		return crashPause
	case c.gateway.store.Rejected(err):
		c.gateway.log.Info("crashes dropped", "changes", len(pending), "error", err.Error())
		c.gateway.state.crashesWritten(pending)
		return crashPause
	}
	c.gateway.log.V(1).Info("crashes not written", "changes", len(pending), "error", err.Error())
	return jitter(failurePause)
}
