package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"hawthornspar/core/endpoints"
	"hawthornspar/core/escrow"
	"hawthornspar/core/route"
)

// bufferedMost bounds the request bodies in memory, well below a small VM's.
const bufferedMost = 64 << 20

// patienceDefault is used when neither the client nor the route sets a bound.
const patienceDefault = 60 * time.Second

// ServeHTTP takes a client's request: it finds the route and the account, reads
// the body, reserves budget and forwards.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{gateway: g, writer: w, request: r, arrived: time.Now(), tried: map[string]bool{}}
	x.ask = g.dialect.Ask(r.Header)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if refused := x.admit(); refused != nil {
		x.refuse(*refused)
		return
	}
	defer g.buffered.Add(-int64(len(x.body)))
	if refused := x.reserve(); refused != nil {
		x.refuse(*refused)
		return
	}
	x.run()
}

// admit finds route, account and service, and reads the body.
func (x *exchange) admit() *refusal {
	table := x.gateway.state.routes()
	if table == nil {
		return &noConfiguration
	}
	x.version = table.Document.Version
	x.route = table.Match(x.request.Host, rawPath(x.request.RequestURI))
	if x.route == nil {
		return &noRoute
	}
	x.account = table.Account(x.ask.Key)
	if x.account == nil && table.NeedsKey(x.route) {
		return &unknownKey
	}
	x.setDeadline()
	x.service = x.route.Pick(x.gateway.state.random.Float64())
	x.engine = engineOf(table, x.service)
	x.work = endpoints.Work{Service: x.service, Parts: x.ask.Parts, Prompt: x.ask.PromptTokens}
	x.gateway.state.countRequest(x.service)
	return x.readBody(table.Document.Limits.BodyBytes)
}

func engineOf(t *route.Table, service string) *route.Engine {
	if s := t.Service(service); s != nil {
		return s.Engine
	}
	return nil
}

// rawPath returns the path of a request line as it was sent.
func rawPath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

func (x *exchange) setDeadline() {
	patience := patienceDefault
	if x.ask.Patience > 0 {
		patience = x.ask.Patience
	}
	if x.route.Timeout > 0 {
		patience = min(patience, x.route.Timeout)
	}
	x.deadline = x.arrived.Add(patience)
}

// readBody takes the whole body into memory.
func (x *exchange) readBody(limit int64) *refusal {
	r := x.request
	if r.ContentLength == 0 || r.Body == http.NoBody {
		return nil
	}
	if limit > 0 && r.ContentLength > limit {
		return &bodyTooLarge
	}
	if x.gateway.buffered.Load()+max(r.ContentLength, 0) > bufferedMost {
		return &bodiesFull
	}
	control := http.NewResponseController(x.writer)
	if err := control.SetReadDeadline(x.deadline); err != nil {
		return &badBody
	}
	if limit > 0 {
		r.Body = http.MaxBytesReader(x.writer, r.Body, limit)
	}
	body, err := readAll(r.Body, r.ContentLength)
	x.gateway.buffered.Add(int64(len(body)))
	x.body = body
	if err != nil {
		x.gateway.buffered.Add(-int64(len(body)))
		x.body = nil
		return bodyRefusal(err)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return &badBody
	}
	return nil
}

func readAll(r io.Reader, length int64) ([]byte, error) {
	if length <= 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	n, err := io.ReadFull(r, body)
	return body[:n], err
}

func bodyRefusal(err error) *refusal {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return &bodyTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &bodyTimeout
	}
	return &badBody
}

// budgetWait bounds how long a request waits for its VM to draw budget.
const budgetWait = 400 * time.Millisecond

// Bounds of waiting for budget that is held, but may not be spent yet.
const (
	// liftShare is the part of a request's time that it can take.
	liftShare = 0.5
	// leaveShare is the part of the time after which clients give up a stream
	// that has not begun.
	leaveShare = 0.7
)

// leavesAfter returns how long clients wait for the first event of a stream.
func leavesAfter(r *route.Route) time.Duration {
	return max(2*time.Second, 4*r.FirstTarget, 8*r.PauseTarget)
}

// liftLimit returns how long a request may wait for its VM's bound to lift.
func (x *exchange) liftLimit() time.Duration {
	limit := time.Duration(liftShare * float64(x.deadline.Sub(x.arrived)))
	if x.route.Kind.Stream() {
		limit = min(limit, time.Duration(leaveShare*float64(leavesAfter(x.route))))
	}
	return limit
}

// reserve sets aside the most that the request can use.
func (x *exchange) reserve() *refusal {
	if x.account == nil || x.account.Prepaid == nil {
		return nil
	}
	tokens := x.ask.PromptTokens + x.ask.OutputTokens
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
		next, lifts := x.lifts(tokens, now)
		if !lifts && (refused != nil || !now.Before(until)) {
			x.gateway.logShort(x.ask.ID, x.account.Name, tokens)
			if refused == nil {
				refused = &budgetShort
			}
			return refused
		}
		if !lifts {
			next = until
		}
		x.gateway.state.wait(x.account.Name, tokens, &waits, true)
		x.gateway.wake()
		if !x.await(changed, next) {
			return &clientLeft
		}
	}
}

// lifts returns when the VM's own bound on spending lets the request pass, if
// that is early enough to be worth the wait.
func (x *exchange) lifts(tokens int64, now time.Time) (time.Time, bool) {
	s := x.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	wait, held := s.book.Lifts(x.account.Name, tokens, now)
	at := now.Add(wait + time.Millisecond)
	return at, held && at.Before(x.arrived.Add(x.liftLimit()))
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
	s.mu.Lock()
	reservation, ok := s.book.Reserve(account, tokens, time.Now())
	changed = s.granted
	exhausted := s.book.Exhausted(account, tokens)
	undrawn := s.book.Undrawn(account, tokens) && !g.storeLost.Load()
	s.mu.Unlock()
	switch {
	case ok:
		return reservation, nil, nil
	case exhausted:
		return nil, changed, &budgetExhausted
	case !undrawn && g.borrower.isDry(account):
		return nil, changed, &budgetShort
	}
	g.borrower.ask(account, tokens)
	return nil, changed, nil
}

// wake makes the budget keeper look at once.
func (g *Gateway) wake() {
	select {
	case g.kick <- struct{}{}:
	default:
	}
}

// logShort logs what a refusal for lack of budget was decided on.
func (g *Gateway) logShort(id, account string, tokens int64) {
	g.state.mu.Lock()
	b := g.state.book.Balance(account, time.Now())
	g.state.mu.Unlock()
	g.log.Info("budget short", "id", id, "account", account, "tokens", tokens, "granted", b.Granted, "committed", b.Committed,
		"free", b.Free, "left", b.Left, "others", b.Others)
}
