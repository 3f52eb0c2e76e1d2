package gateway

import (
	"context"
	"time"

	"hawthornspar/core/escrow"
)

// Pace of the budget keeper.
const (
	// budgetTick is how often it looks whether a write is due.
	budgetTick = 250 * time.Millisecond
	// censusPeriod is the time between reads of the other VMs' holdings for
	// each VM there is, so that all VMs together read the same rows a second
	// whatever their number.
	censusPeriod = 100 * time.Millisecond
	// writeShare is the part of the store's write rate that budgets may use.
	writeShare = 0.8
)

// budgetKeeper carries the book's transactions to the store.
type budgetKeeper struct {
	gateway *Gateway
	store   dependency
	census  time.Time // of the last read of all rows
}

func (k *budgetKeeper) loop(ctx context.Context) {
	k.store.name = "budgets"
	for ctx.Err() == nil {
		err := k.step(ctx)
		k.store.note(k.gateway, err)
		k.gateway.storeLost.Store(err != nil)
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
	k.gateway.state.mu.Lock()
	vms := k.gateway.state.vms
	k.gateway.state.mu.Unlock()
	spacing := time.Duration(float64(vms) / (writeShare * k.gateway.reloaded.Load().StoreWrites) * float64(time.Second))
	sleep(ctx, spacing)
	t := time.NewTimer(budgetTick)
	defer t.Stop()
	select {
	case <-t.C:
	case <-k.gateway.kick:
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
	s := k.gateway.state
	s.mu.Lock()
	unread := !s.book.Ready() || s.book.Unread()
	period := time.Duration(s.vms) * censusPeriod
	s.mu.Unlock()
	if !unread && time.Since(k.census) < period {
		return nil
	}
	asked := time.Now()
	snapshot, storeMs, err := k.gateway.store.Budgets(ctx)
	if err != nil {
		return err
	}
	k.census = time.Now()
	k.observe(snapshot, storeMs, asked)
	return nil
}

// observe takes a snapshot that was asked for at a time. The store's clock was
// read after that, so it showed no more than storeMs less the time since the
// start when this process began and its predecessor was dead.
func (k *budgetKeeper) observe(snapshot escrow.Snapshot, storeMs int64, asked time.Time) {
	s := k.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Clock(storeMs, time.Now())
	own := snapshot.Holdings[k.gateway.settings.Name]
	s.book.Observe(snapshot)
	count := s.book.VMs()
	if !s.book.Ready() {
		s.book.Start(own.Holding, own.Version, storeMs-asked.Sub(k.gateway.started).Milliseconds())
		count = max(count, defaultVMs)
	}
	if count != s.vms {
		k.gateway.log.Info("VMs counted", "vms", count, "before", s.vms)
	}
	s.vms = count
}

// write sends the transaction that is due.
func (k *budgetKeeper) write(ctx context.Context) error {
	s := k.gateway.state
	now := time.Now()
	s.mu.Lock()
	if !s.book.Due(now) {
		s.mu.Unlock()
		return nil
	}
	t := s.book.Plan(now)
	s.mu.Unlock()
	outcome, err := k.gateway.store.Transact(ctx, t)
	k.gateway.metrics.Time("store_seconds", "transact", time.Since(now))
	if err != nil {
		return err
	}
	k.apply(t, outcome)
	return nil
}

func (k *budgetKeeper) apply(t *escrow.Transaction, o escrow.Outcome) {
	s := k.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Clock(o.StoreMs, time.Now())
	owned := true
	if o.Applied {
		s.book.Applied(o.Version)
	} else {
		owned = s.book.Conflict(o.Current)
	}
	if !owned {
		k.gateway.log.Info("another incarnation has this VM's budgets")
	}
	s.bookChanged()
	for _, c := range t.Totals {
		k.gateway.log.Info("budget drawn", "account", c.Account, "applied", o.Applied, "tokens", c.Grant, "reclaimed", c.Reclaim, "left", c.Left,
			"spent", t.Holding.Accounts[c.Account].Spent, "sequence", t.Holding.Sequence)
	}
}

// close returns what is free, for at most the given time.
func (k *budgetKeeper) close(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	s := k.gateway.state
	s.mu.Lock()
	s.book.Close()
	due := s.book.Due(time.Now())
	s.mu.Unlock()
	for due && ctx.Err() == nil {
		if err := k.write(ctx); err != nil {
			k.gateway.log.Info("budget not returned", "error", err.Error())
			sleep(ctx, failPause)
		}
		s.mu.Lock()
		due = s.book.Due(time.Now())
		s.mu.Unlock()
	}
}
