package gateway

import (
	"context"
	"time"

	"hawthornspar/core/escrow"
	"hawthornspar/core/home"
)

// Timing of the budget syncer.
const (
	// writeCheckPeriod is the time between checks whether a write is due.
	writeCheckPeriod = 250 * time.Millisecond
	// readPeriodPerHome is the time between reads of the other home VMs'
	// allocations, for each home VM that there is, so that all of them together
	// read the same number of rows a second whatever their number.
	readPeriodPerHome = 150 * time.Millisecond
	// storeWriteShare is the share of the store's write rate that budgets may
	// use.
	storeWriteShare = 0.8
)

// budgetSyncer synchronises the budgets of a group with the store.
type budgetSyncer struct {
	gateway  *Gateway
	group    *group
	store    dependency
	lastRead time.Time // when all rows were last read
	// unsettledLogAt is when the VMs that the group waits for are logged next.
	unsettledLogAt time.Time
}

func (b *budgetSyncer) loop(ctx context.Context) {
	b.store.name = "budgets"
	for ctx.Err() == nil {
		err := b.step(ctx)
		b.store.record(b.gateway, err)
		b.group.storeFailing.Store(err != nil)
		if err != nil {
			sleep(ctx, jitter(failurePause))
			continue
		}
		b.waitForNextStep(ctx)
	}
}

// waitForNextStep waits as long as this VM's share of the store's write rate
// requires, and then until the group is woken or writeCheckPeriod has elapsed.
func (b *budgetSyncer) waitForNextStep(ctx context.Context) {
	minInterval := time.Duration(float64(home.HomesPerGroup) / (storeWriteShare * b.gateway.reloaded.Load().StoreWritesPerSecond) * float64(time.Second))
	sleep(ctx, minInterval)
	t := time.NewTimer(writeCheckPeriod)
	defer t.Stop()
	select {
	case <-t.C:
	case <-b.group.wakeups:
	case <-ctx.Done():
	}
}

// step reads and writes what is due.
func (b *budgetSyncer) step(ctx context.Context) error {
	if b.gateway.state.routes() == nil {
		return nil
	}
	if err := b.read(ctx); err != nil {
		return err
	}
	return b.write(ctx)
}

// read takes over the allocations of the previous incarnation and refreshes
// those of other VMs.
func (b *budgetSyncer) read(ctx context.Context) error {
	if !b.readDue() {
		return nil
	}
	requestedAt := time.Now()
	snapshot, storeMs, err := b.gateway.store.Budgets(ctx, b.group.number)
	if err != nil {
		return err
	}
	b.lastRead = time.Now()
	b.observe(snapshot, storeMs, requestedAt)
	b.reportFigures(time.Now())
	b.logUnsettled(time.Now())
	return nil
}

// readDue reports whether the group must be read: once by every VM, for the
// allocations of its previous incarnation, and periodically by its home VMs.
func (b *budgetSyncer) readDue() bool {
	s := b.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	budgets := b.group.budgets
	if !budgets.Ready() {
		return true
	}
	period := time.Duration(len(b.group.homes)+1) * readPeriodPerHome
	return budgets.IsHome() && (budgets.HasUnreadTotals() || time.Since(b.lastRead) >= period)
}

// observe applies a snapshot that was requested at requestedAt. The store's
// clock was read after that. When this process started, its previous
// incarnation had ended and the clock showed at most storeMs less the time from
// the start to the request.
func (b *budgetSyncer) observe(snapshot escrow.Snapshot, storeMs int64, requestedAt time.Time) {
	s := b.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	budgets := b.group.budgets
	budgets.SetStoreClock(storeMs, time.Now())
	own := snapshot.Allocations[b.gateway.settings.Name]
	if !budgets.SetSnapshot(snapshot) || budgets.Ready() {
		return
	}
	budgets.TakeOver(own.VMAllocations, own.Version, storeMs-requestedAt.Sub(b.gateway.started).Milliseconds())
	b.gateway.log.Info("budgets taken over", "group", b.group.number, "version", own.Version.String(), "accounts", len(own.VMAllocations.Accounts), "ready", budgets.Ready(), "declare", !budgets.Settlement().Declared)
}

// write sends the transaction that is due.
func (b *budgetSyncer) write(ctx context.Context) error {
	b.group.writeMu.Lock()
	defer b.group.writeMu.Unlock()
	now := time.Now()
	t := b.plan(now)
	if t == nil {
		return nil
	}
	outcome, err := b.gateway.store.Transact(ctx, b.group.number, t)
	b.gateway.metrics.ObserveDuration("store_seconds", "transact", time.Since(now))
	if err != nil {
		return err
	}
	b.apply(t, outcome)
	return nil
}

// plan returns the transaction that is due; nil for none.
func (b *budgetSyncer) plan(now time.Time) *escrow.Transaction {
	s := b.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if !b.group.budgets.Due(now) {
		return nil
	}
	return b.group.budgets.Plan(now)
}

// apply applies the outcome of a transaction.
func (b *budgetSyncer) apply(t *escrow.Transaction, o escrow.Outcome) {
	s := b.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	budgets := b.group.budgets
	budgets.SetStoreClock(o.StoreMs, time.Now())
	owned := true
	if o.Applied {
		budgets.Applied(t, o.Version)
	} else {
		owned = budgets.Conflict(t, o.Current)
	}
	if !owned {
		b.gateway.log.Info("another incarnation has taken over this VM's budgets")
	}
	b.group.notifyUpdate()
	b.logTransaction(t, o.Applied)
}

// close returns the free tokens, as long as the store accepts them.
func (b *budgetSyncer) close(ctx context.Context) {
	s := b.gateway.state
	s.mu.Lock()
	b.group.budgets.Close()
	s.mu.Unlock()
	// A transaction without a response may still be applied later. So none is
	// sent while the store fails, and the tokens can be handed over to another
	// VM instead.
	for ctx.Err() == nil && !b.group.storeFailing.Load() {
		if err := b.read(ctx); err != nil { // after a step back of the store
			b.failClose(err)
			return
		}
		s.mu.Lock()
		due := b.group.budgets.Due(time.Now())
		s.mu.Unlock()
		if !due {
			return
		}
		if err := b.write(ctx); err != nil {
			b.failClose(err)
			return
		}
	}
}

// failClose records that the store does not accept the free tokens.
func (b *budgetSyncer) failClose(err error) {
	b.group.storeFailing.Store(true)
	b.gateway.log.Info("budget not returned", "group", b.group.number, "error", err.Error())
}
