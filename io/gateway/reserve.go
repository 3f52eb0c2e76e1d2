package gateway

import (
	"time"

	"hawthornspar/core/escrow"
	"hawthornspar/core/route"
)

// maxBudgetWait bounds how long a request waits for its VM to draw tokens.
const maxBudgetWait = 400 * time.Millisecond

// Limits of the wait for tokens that are allocated to the VM, but may not be
// spent yet.
const (
	// allowanceWaitShare is the share of a request's timeout that the wait may
	// take.
	allowanceWaitShare = 0.5
	// firstEventWaitShare is the share that the wait may take of the time after
	// which clients give up on a stream that has not started.
	firstEventWaitShare = 0.7
)

// clientPatience returns how long clients wait for the first event of a stream.
func clientPatience(r *route.Route) time.Duration {
	return max(2*time.Second, 4*r.FirstTarget, 8*r.PauseTarget)
}

// allowanceWait returns how long a request may wait until its VM's limit on the
// spending rate allows it.
func (x *exchange) allowanceWait() time.Duration {
	limit := time.Duration(allowanceWaitShare * float64(x.deadline.Sub(x.arrived)))
	if x.route.Kind.IsStream() {
		limit = min(limit, time.Duration(firstEventWaitShare*float64(clientPatience(x.route))))
	}
	return limit
}

// reserve reserves the most tokens that the request may cost. It waits for
// missing tokens if they may arrive in time.
func (x *exchange) reserve() *refusal {
	if x.account == nil || x.account.Prepaid == nil {
		return nil
	}
	tokens := x.info.PromptTokens + x.info.MaxOutputTokens
	start := time.Now()
	defer func() { x.gateway.metrics.ObserveDuration("budget_wait_seconds", "reserve", time.Since(start)) }()
	giveUpAt := x.arrived.Add(min(maxBudgetWait, time.Until(x.deadline)/4))
	waiting := false
	defer func() { x.gateway.state.setWaiting(x.account.Name, tokens, &waiting, false) }()
	for {
		reservation, changed, refused := x.gateway.tryReserve(x.account.Name, tokens)
		if reservation != nil {
			x.reservation = reservation
			return nil
		}
		now := time.Now()
		next, allowed := x.allowed(tokens, now)
		if !allowed && (refused != nil || !now.Before(giveUpAt)) {
			x.gateway.logShortfall(x.info.ID, x.account.Name, tokens)
			if refused == nil || refused == &budgetShort {
				refused = shortUntil(next, now)
			}
			return refused
		}
		if !allowed {
			next = giveUpAt
		}
		x.gateway.state.setWaiting(x.account.Name, tokens, &waiting, true)
		x.gateway.state.group(x.account.Name).wake()
		if refused == nil {
			x.gateway.borrower.startBorrowing(x.gateway.state.group(x.account.Name), x.account.Name, tokens)
		}
		if !x.waitForChange(changed, next) {
			return &clientDisconnected
		}
	}
}

// minBudgetRetryAfter is the least time after which another attempt finds more
// budget, about that of a write to the store.
const minBudgetRetryAfter = 100 * time.Millisecond

// shortUntil returns the refusal of a request for which there is budget at the
// given time; zero when that is unknown.
func shortUntil(at, now time.Time) *refusal {
	short := budgetShort
	if !at.IsZero() {
		short.retryAfter = max(at.Sub(now), minBudgetRetryAfter)
	}
	return &short
}

// allowed returns when the limit on the spending rate of this VM, or of a home
// VM, allows the request, zero when that is unknown, and reports whether that is
// early enough to be worth the wait.
func (x *exchange) allowed(tokens int64, now time.Time) (time.Time, bool) {
	s := x.gateway.state
	latest := x.arrived.Add(x.allowanceWait())
	s.mu.Lock()
	wait, covered := s.group(x.account.Name).budgets.AvailableIn(x.account.Name, tokens, now)
	s.mu.Unlock()
	at := now.Add(wait + time.Millisecond)
	if covered && at.Before(latest) {
		return at, true
	}
	recent, ok := x.gateway.borrower.recentShortfall(x.account.Name, tokens)
	expected := ok && recent.expected
	switch {
	case expected && (!covered || recent.retryAt.Before(at)):
		return recent.retryAt, recent.retryAt.Before(latest)
	case covered:
		return at, false
	}
	return time.Time{}, false
}

// waitForChange returns when changed is closed or at is reached. It returns
// false if the client has disconnected.
func (x *exchange) waitForChange(changed <-chan struct{}, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-x.request.Context().Done():
		return false
	}
	return true
}

// tryReserve makes the reservation, or returns why it is refused. If it does
// neither, calling it again is worthwhile once changed is closed.
func (g *Gateway) tryReserve(account string, tokens int64) (r *escrow.Reservation, changed <-chan struct{}, refused *refusal) {
	s := g.state
	gr := s.group(account)
	s.mu.Lock()
	reservation, ok := gr.budgets.Reserve(account, tokens, time.Now())
	changed = gr.updated
	exhausted := gr.budgets.Exhausted(account, tokens)
	drawable := gr.isActiveHome() && gr.budgets.Obtainable(account, tokens, time.Now()) && !gr.storeFailing.Load()
	need, _ := gr.budgets.Shortfall(account, tokens, time.Now())
	s.mu.Unlock()
	recent, known := g.borrower.recentShortfall(account, need)
	switch {
	case ok:
		return reservation, nil, nil
	case exhausted, known && recent.exhausted:
		return nil, changed, &budgetExhausted
	case known && !drawable:
		return nil, changed, &budgetShort
	}
	return nil, changed, nil
}

// logShortfall logs the balance that a refusal for missing budget was based on.
func (g *Gateway) logShortfall(id, account string, tokens int64) {
	gr := g.state.group(account)
	g.state.mu.Lock()
	b := gr.budgets.Balance(account, time.Now())
	isActiveHome := gr.isActiveHome()
	g.state.mu.Unlock()
	g.log.Info("budget short", "id", id, "account", account, "tokens", tokens, "granted", b.Granted, "committed", b.Committed,
		"free", b.Available, "left", b.Undrawn, "others", b.OtherVMsFree, "movable", b.Movable, "home", isActiveHome)
}
