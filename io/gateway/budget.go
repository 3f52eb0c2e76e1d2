package gateway

import (
	"context"
	"time"

	"hawthornspar/core/escrow"
	"hawthornspar/core/home"
)

// Pace of the budget keeper.
const (
	// budgetTick is how often it looks whether a write is due.
	budgetTick = 250 * time.Millisecond
	// censusPeriod is the time between reads of the other homes' holdings for
	// each home there is, so that all homes together read the same rows a second
	// whatever their number.
	censusPeriod = 150 * time.Millisecond
	// writeShare is the part of the store's write rate that budgets may use.
	writeShare = 0.8
)

// budgetKeeper carries the transactions of a group's book to the store.
type budgetKeeper struct {
	gateway *Gateway
	group   *group
	store   dependency
	census  time.Time // of the last read of all rows
}

func (k *budgetKeeper) loop(ctx context.Context) {
	k.store.name = "budgets"
	for ctx.Err() == nil {
		err := k.step(ctx)
		k.store.note(k.gateway, err)
		k.group.storeLost.Store(err != nil)
		if err != nil {
			sleep(ctx, jitter(failPause))
			continue
		}
		k.rest(ctx)
	}
}

// rest keeps this VM's share of the store's write rate, then waits for a
// request that lacks budget, or a while.
func (k *budgetKeeper) rest(ctx context.Context) {
	spacing := time.Duration(float64(home.Count) / (writeShare * k.gateway.reloaded.Load().StoreWrites) * float64(time.Second))
	sleep(ctx, spacing)
	t := time.NewTimer(budgetTick)
	defer t.Stop()
	select {
	case <-t.C:
	case <-k.group.kick:
	case <-ctx.Done():
	}
}

func (k *budgetKeeper) step(ctx context.Context) error {
	if k.gateway.state.routes() == nil {
		return nil
	}
	if err := k.read(ctx); err != nil {
		return err
	}
	return k.write(ctx)
}

// read takes over from the predecessor and refreshes what is known of others.
func (k *budgetKeeper) read(ctx context.Context) error {
	if !k.readDue() {
		return nil
	}
	asked := time.Now()
	snapshot, storeMs, err := k.gateway.store.Budgets(ctx, k.group.number)
	if err != nil {
		return err
	}
	k.census = time.Now()
	k.observe(snapshot, storeMs, asked)
	return nil
}

// readDue tells whether the group is to be read: once by every VM, for what its
// predecessor held, and from time to time by its homes.
func (k *budgetKeeper) readDue() bool {
	s := k.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	book := k.group.book
	if !book.Ready() {
		return true
	}
	period := time.Duration(len(k.group.homes)+1) * censusPeriod
	return book.Home() && (book.Unread() || time.Since(k.census) >= period)
}

// observe takes a snapshot that was asked for at a time. The store's clock was
// read after that, so it showed no more than storeMs less the time since the
// start when this process began and its predecessor was dead.
func (k *budgetKeeper) observe(snapshot escrow.Snapshot, storeMs int64, asked time.Time) {
	s := k.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	book := k.group.book
	book.Clock(storeMs, time.Now())
	own := snapshot.Holdings[k.gateway.settings.Name]
	book.Observe(snapshot)
	if !book.Ready() {
		book.Start(own.Holding, own.Version, storeMs-asked.Sub(k.gateway.started).Milliseconds())
		k.gateway.log.Info("budgets taken over", "group", k.group.number, "version", own.Version, "accounts", len(own.Holding.Accounts))
	}
}

// write sends the transaction that is due.
func (k *budgetKeeper) write(ctx context.Context) error {
	k.group.writing.Lock()
	defer k.group.writing.Unlock()
	now := time.Now()
	t := k.plan(now)
	if t == nil {
		return nil
	}
	outcome, err := k.gateway.store.Transact(ctx, k.group.number, t)
	k.gateway.metrics.Time("store_seconds", "transact", time.Since(now))
	if err != nil {
		return err
	}
	k.apply(t, outcome)
	return nil
}

// plan returns the transaction that is due; nil for none.
func (k *budgetKeeper) plan(now time.Time) *escrow.Transaction {
	s := k.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if !k.group.book.Due(now) {
		return nil
	}
	return k.group.book.Plan(now)
}

func (k *budgetKeeper) apply(t *escrow.Transaction, o escrow.Outcome) {
	s := k.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	book := k.group.book
	book.Clock(o.StoreMs, time.Now())
	owned := true
	if o.Applied {
		book.Applied(t, o.Version)
	} else {
		owned = book.Conflict(t, o.Current)
	}
	if !owned {
		k.gateway.log.Info("another incarnation has this VM's budgets")
	}
	k.group.changed()
	for _, c := range t.Totals {
		k.gateway.log.Info("budget drawn", "account", c.Account, "applied", o.Applied, "tokens", c.Grant, "reclaimed", c.Reclaim, "left", c.Left,
			"spent", t.Holding.Accounts[c.Account].Spent, "sequence", t.Holding.Sequence)
	}
}

// close returns what is free, as long as the store takes it.
func (k *budgetKeeper) close(ctx context.Context) {
	s := k.gateway.state
	s.mu.Lock()
	k.group.book.Close()
	s.mu.Unlock()
	// A return that was sent and not answered may be carried out later; so none
	// is begun while the store is lost, and the tokens can go to another VM.
	for ctx.Err() == nil && !k.group.storeLost.Load() {
		s.mu.Lock()
		due := k.group.book.Due(time.Now())
		s.mu.Unlock()
		if !due {
			return
		}
		if err := k.write(ctx); err != nil {
			k.group.storeLost.Store(true)
			k.gateway.log.Info("budget not returned", "group", k.group.number, "error", err.Error())
			return
		}
	}
}
