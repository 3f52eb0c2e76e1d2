package gateway

import (
	"time"

	"hawthornspar/core/escrow"
	"hawthornspar/core/route"
)

// budgetWait bounds how long a request waits for its VM to draw budget.
const budgetWait = 400 * time.Millisecond

// Bounds of waiting for budget that is held, but may not be spent yet.
const (
	// allowanceShare is the part of a request's time that it can take.
	allowanceShare = 0.5
	// giveUpShare is the part of the time after which clients give up a stream
	// that has not begun.
	giveUpShare = 0.7
)

// givesUpAfter returns how long clients wait for the first event of a stream.
func givesUpAfter(r *route.Route) time.Duration {
	return max(2*time.Second, 4*r.FirstTarget, 8*r.PauseTarget)
}

// allowanceWait returns how long a request may wait for its VM's bound to lift.
func (x *exchange) allowanceWait() time.Duration {
	limit := time.Duration(allowanceShare * float64(x.deadline.Sub(x.arrived)))
	if x.route.Kind.Stream() {
		limit = min(limit, time.Duration(giveUpShare*float64(givesUpAfter(x.route))))
	}
	return limit
}

// reserve sets aside the most that the request can use.
func (x *exchange) reserve() *refusal {
	if x.account == nil || x.account.Prepaid == nil {
		return nil
	}
	tokens := x.info.PromptTokens + x.info.OutputTokens
	begun := time.Now()
	defer func() { x.gateway.metrics.Time("budget_wait_seconds", "reserve", time.Since(begun)) }()
	until := x.arrived.Add(min(budgetWait, time.Until(x.deadline)/4))
	waits := false
	defer func() { x.gateway.state.wait(x.account.Name, tokens, &waits, false) }()
	for {
		reservation, changed, refused := x.gateway.tryReserve(x.account.Name, tokens)
		if reservation != nil {
			x.reservation = reservation
			return nil
		}
		now := time.Now()
		next, allowed := x.allowed(tokens, now)
		if !allowed && (refused != nil || !now.Before(until)) {
			x.gateway.logShort(x.info.ID, x.account.Name, tokens)
			if refused == nil {
				refused = &budgetShort
			}
			return refused
		}
		if !allowed {
			next = until
		}
		x.gateway.state.wait(x.account.Name, tokens, &waits, true)
		x.gateway.state.group(x.account.Name).wake()
		if !x.await(changed, next) {
			return &clientLeft
		}
	}
}

// allowed returns when the VM's own bound on spending, or that of a home, lets
// the request pass, if that is early enough to be worth the wait.
func (x *exchange) allowed(tokens int64, now time.Time) (time.Time, bool) {
	s := x.gateway.state
	latest := x.arrived.Add(x.allowanceWait())
	s.mu.Lock()
	wait, held := s.group(x.account.Name).book.AllowedIn(x.account.Name, tokens, now)
	s.mu.Unlock()
	if at := now.Add(wait + time.Millisecond); held && at.Before(latest) {
		return at, true
	}
	short, ok := x.gateway.borrower.short(x.account.Name, tokens)
	return short.until, ok && short.later && short.until.Before(latest)
}

// await returns at a change or at a time; false when the client has left.
func (x *exchange) await(changed <-chan struct{}, until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-x.request.Context().Done():
		return false
	}
	return true
}

// tryReserve reserves, or says why not. changed is closed when trying again is
// worth it.
func (g *Gateway) tryReserve(account string, tokens int64) (r *escrow.Reservation, changed <-chan struct{}, refused *refusal) {
	s := g.state
	w := s.group(account)
	s.mu.Lock()
	reservation, ok := w.book.Reserve(account, tokens, time.Now())
	changed = w.granted
	exhausted := w.book.Exhausted(account, tokens)
	undrawn := w.keeps() && w.book.Undrawn(account, tokens) && !w.storeLost.Load()
	need, _ := w.book.Lack(account, tokens, time.Now())
	s.mu.Unlock()
	short, isShort := g.borrower.short(account, need)
	switch {
	case ok:
		return reservation, nil, nil
	case exhausted, isShort && short.exhausted:
		return nil, changed, &budgetExhausted
	case isShort && !undrawn:
		return nil, changed, &budgetShort
	}
	g.borrower.ask(w, account, tokens)
	return nil, changed, nil
}

// logShort logs what a refusal for lack of budget was decided on.
func (g *Gateway) logShort(id, account string, tokens int64) {
	w := g.state.group(account)
	g.state.mu.Lock()
	b := w.book.Balance(account, time.Now())
	keeps := w.keeps()
	g.state.mu.Unlock()
	g.log.Info("budget short", "id", id, "account", account, "tokens", tokens, "granted", b.Granted, "committed", b.Committed,
		"free", b.Free, "left", b.Left, "others", b.Others, "home", keeps)
}
