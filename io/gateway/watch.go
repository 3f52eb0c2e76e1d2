package gateway

import (
	"context"
	"time"

	"hawthornspar/core/revision"
)

// table is a table of the store that a watcher follows.
type table interface {
	// read applies the complete table, and returns the store's version of it.
	read(context.Context) (version revision.Version, err error)
	// watch applies the changes since a version, if there are any, and returns the version
	// from which the next call continues, and the pause before it. With an error it
	// returns none, or a version if it only could not read the changes up to that.
	watch(ctx context.Context, version revision.Version) (next revision.Version, pause time.Duration, err error)
}

// watcher reads a table of the store once, and its changes from then on. It reads the
// table again when the store no longer has all changes.
type watcher struct {
	gateway   *Gateway
	table     table
	timeout   time.Duration // after which a watch without a response is given up
	store     *dependency
	version   revision.Version // from which the next watch continues
	known     bool             // whether version is known
	onAttempt func(error)      // called with the result of each step; nil for none
}

func (w *watcher) loop(ctx context.Context) {
	for ctx.Err() == nil {
		pause, err := w.step(ctx)
		w.record(err)
		if err != nil {
			pause = jitter(failurePause)
		}
		if pause > 0 {
			sleep(ctx, pause)
		}
	}
}

// record records the result of a step.
func (w *watcher) record(err error) {
	w.store.record(w.gateway, err)
	if w.onAttempt != nil {
		w.onAttempt(err)
	}
	if err != nil {
		w.known = w.known && !w.gateway.store.HistoryLost(err)
	}
}

// step reads the table, or waits for its next changes, and returns the pause that
// follows.
func (w *watcher) step(ctx context.Context) (pause time.Duration, err error) {
	if !w.known {
		w.version, err = w.table.read(ctx)
		w.known = err == nil
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	version, pause, err := w.table.watch(ctx, w.version)
	if !version.IsZero() {
		w.version = version
	}
	return pause, err
}
