// Package budget keeps spending within prepaid budgets. A request reserves the
// most tokens that it may cost from this VM's grant of the budget, and grants
// are drawn from the budget's row in the table service.
package budget

import (
	"cmp"
	"slices"
	"time"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// Sizer determines how many tokens to draw for a grant.
type Sizer interface {
	// Size returns the number of tokens to draw, at least need and at most
	// remaining, which is what the budget's row has left.
	Size(w *world.World, g *entity.Grant, need, remaining int64) int64
}

// System reserves tokens for requests and decides when grants are drawn,
// returned and recalled.
type System struct {
	sizer         Sizer
	active        entity.Table[string, *entity.Grant] // grants with waiting requests
	reads         entity.Table[int64, string]         // budget by ID of a read in progress
	nextScan      time.Time
	nextProbe     time.Time
	recallEnabled bool
}

// Option changes a System.
type Option func(*System)

// WithSizer sets the Sizer. The default is RateSizer.
func WithSizer(sizer Sizer) Option { return func(s *System) { s.sizer = sizer } }

// WithoutRecall disables both the recall of tokens from other VMs and the
// forwarding of requests to them. It is a baseline for comparisons.
func WithoutRecall() Option { return func(s *System) { s.recallEnabled = false } }

// New returns the budget system.
func New(options ...Option) *System {
	s := &System{sizer: RateSizer{}, recallEnabled: true}
	for _, o := range options {
		o(s)
	}
	return s
}

// Handle implements world.System.
func (s *System) Handle(w *world.World, event inbox.Event) {
	switch e := event.(type) {
	case inbox.ReadDone:
		s.handleRead(w, e)
	case inbox.PeerMessage:
		s.handleMessage(w, e)
	case inbox.ForwardEnded:
		s.handleForwardEnded(w, e)
	}
}

// Tick implements world.System.
func (s *System) Tick(w *world.World) {
	for _, r := range w.TakeEntered(entity.PhaseAwaitingBudget) {
		s.enqueue(w, r)
	}
	for _, g := range s.active.Rows() {
		s.fund(w, g)
	}
	s.scanGrants(w)
}

// enqueue adds a request to those that wait for tokens of its budget. A request
// without cost needs no tokens and is queued for an endpoint.
func (s *System) enqueue(w *world.World, r *entity.Request) {
	if r.MaxCost == 0 {
		w.SetPhase(r, entity.PhaseQueued)
		return
	}
	g := GrantOf(w, r.Budget)
	g.Waiting = append(g.Waiting, r)
	s.active.Put(g.Budget, g)
}

// GrantOf returns this VM's grant of a budget, and adds an empty one if there
// is none.
func GrantOf(w *world.World, budget string) *entity.Grant {
	g, ok := w.Grants.Get(budget)
	if !ok {
		g = &entity.Grant{Budget: budget, UsedAt: w.Now}
		w.Grants.Put(budget, g)
	}
	return g
}

// fund reserves tokens for the waiting requests that fit in the grant and tries
// to get more tokens for the rest.
func (s *System) fund(w *world.World, g *entity.Grant) {
	s.reserve(w, g)
	if len(g.Waiting) == 0 {
		s.active.Delete(g.Budget)
		g.WantDraw, g.ShortfallAt, g.Recall = 0, time.Time{}, entity.Recall{}
		return
	}
	if !w.TableReachable {
		s.forwardToPeers(w, g)
		s.probeTable(w, g)
	} else if g.ReadAt.IsZero() {
		s.readRow(w, g)
	} else {
		s.requestDraw(w, g)
	}
	s.expire(w, g)
}

// reserve reserves tokens for the waiting requests, the most urgent first.
// Requests that fit overtake larger ones that do not.
func (s *System) reserve(w *world.World, g *entity.Grant) {
	slices.SortStableFunc(g.Waiting, func(a, b *entity.Request) int { return cmp.Compare(a.Order, b.Order) })
	kept := g.Waiting[:0]
	for _, r := range g.Waiting {
		switch {
		case r.Phase != entity.PhaseAwaitingBudget:
		case r.MaxCost <= g.Free():
			g.Reserved += r.MaxCost
			r.Reserved = r.MaxCost
			g.UsedAt = w.Now
			w.SetPhase(r, entity.PhaseQueued)
		default:
			kept = append(kept, r)
		}
	}
	clear(g.Waiting[len(kept):])
	g.Waiting = kept
}

// requestDraw asks for a draw if the budget's row has enough tokens for the
// smallest waiting request. Otherwise it reads the row again, in case the known
// one is outdated, and then recalls tokens from other VMs.
func (s *System) requestDraw(w *world.World, g *entity.Grant) {
	if g.Drawing > 0 {
		return
	}
	need := smallestCost(g.Waiting) - g.Free()
	remaining := g.BudgetRow.Remaining()
	if remaining >= need {
		size := max(need, min(remaining, totalCost(g.Waiting)-g.Free()))
		g.WantDraw = s.sizer.Size(w, g, size, remaining)
		g.Urgent = true
		return
	}
	g.WantDraw = 0
	if g.ShortfallAt.IsZero() {
		g.ShortfallAt = w.Now
	}
	if !g.ReadAt.After(g.ShortfallAt) {
		s.readRow(w, g)
		return
	}
	s.recallTokens(w, g)
}

func smallestCost(waiting []*entity.Request) int64 {
	lowest := waiting[0].MaxCost
	for _, r := range waiting {
		lowest = min(lowest, r.MaxCost)
	}
	return lowest
}

func totalCost(waiting []*entity.Request) int64 {
	var total int64
	for _, r := range waiting {
		total += r.MaxCost
	}
	return total
}

// readRow reads the budget's row unless a read is in progress.
func (s *System) readRow(w *world.World, g *entity.Grant) {
	if g.Reading {
		return
	}
	g.Reading = true
	id := w.NextID()
	s.reads.Put(id, g.Budget)
	w.Emit(outbox.Read{ID: id, Keys: []string{entity.BudgetKey(g.Budget)}})
}

// probeTable reads the row at intervals while the table service is unreachable,
// to detect when it is reachable again.
func (s *System) probeTable(w *world.World, g *entity.Grant) {
	if w.Now.Before(s.nextProbe) {
		return
	}
	s.nextProbe = w.Now.Add(w.Policy.RecallInterval)
	s.readRow(w, g)
}

func (s *System) handleRead(w *world.World, e inbox.ReadDone) {
	budget, ok := s.reads.Get(e.ID)
	if !ok {
		return
	}
	s.reads.Delete(e.ID)
	g := GrantOf(w, budget)
	g.Reading = false
	if !e.OK {
		return
	}
	for _, row := range e.Rows {
		UpdateRow(w, g, row)
	}
}

// UpdateRow updates a grant with the budget's row as the table service returned
// it. A version older than the known one is ignored.
func UpdateRow(w *world.World, g *entity.Grant, row entity.Row) {
	if row.Version < g.BudgetVersion {
		return
	}
	document, _ := row.Document.(entity.BudgetRow)
	g.BudgetRow, g.BudgetVersion, g.ReadAt = document, row.Version, w.Now
}

// expire refuses requests that waited too long for tokens.
func (s *System) expire(w *world.World, g *entity.Grant) {
	for _, r := range g.Waiting {
		waited := w.Now.Sub(r.Arrived)
		limit := min(w.Policy.FundingTimeout, r.Deadline.Sub(r.Arrived))
		switch {
		case r.Phase != entity.PhaseAwaitingBudget:
		case !w.TableReachable && waited > w.Policy.UnreachableTimeout:
			s.refuse(w, r, entity.ReasonBudgetUnreachable)
		case waited > limit:
			s.refuse(w, r, s.timeoutReason(w, g))
		}
	}
}

// timeoutReason returns budgetExhausted only if the state of the budget is known:
// the table service is reachable, the budget's row was read, and no holder of a
// grant was missing in the last recall. Otherwise it returns budgetUnreachable.
func (s *System) timeoutReason(w *world.World, g *entity.Grant) entity.Reason {
	if !w.TableReachable || g.ReadAt.IsZero() || g.Recall.Incomplete {
		return entity.ReasonBudgetUnreachable
	}
	return entity.ReasonBudgetExhausted
}

func (s *System) refuse(w *world.World, r *entity.Request, reason entity.Reason) {
	w.Refuse(r, reason, retryAfter)
}

// retryAfter is the delay that a refusal advises before the client's retry. It is
// short because other VMs may return tokens soon.
const retryAfter = 2 * time.Second

// scanGrants deletes idle grants that are Deletable, returns the free tokens of
// other idle grants, and draws ahead for grants in use. While the VM shuts down
// it returns the free tokens of all grants.
func (s *System) scanGrants(w *world.World) {
	if w.Now.Before(s.nextScan) {
		return
	}
	s.nextScan = w.Now.Add(scanInterval)
	for _, g := range w.Grants.Rows() {
		idle := w.Now.Sub(g.UsedAt) > w.Policy.GrantIdleTimeout
		switch {
		case idle && g.Deletable():
			w.Grants.Delete(g.Budget)
		case w.ShuttingDown || idle:
			g.WantReturn = max(g.Free(), 0)
		case w.TableReachable && len(g.Waiting) == 0 && !g.ReadAt.IsZero():
			s.drawAhead(w, g)
		}
	}
}

// scanInterval is the time between two scans of the grants.
const scanInterval = time.Second

// drawAhead draws tokens once the free tokens fall below half of the spending
// expected within the policy's horizon, so that requests need not wait for a draw.
func (s *System) drawAhead(w *world.World, g *entity.Grant) {
	wanted := int64(g.SpendRateNow(w.Now) * w.Policy.GrantHorizon.Seconds())
	if g.Free() >= wanted/2 {
		return
	}
	if remaining := g.BudgetRow.Remaining(); remaining > 0 {
		g.WantDraw = s.sizer.Size(w, g, min(1, remaining), remaining)
	}
}
