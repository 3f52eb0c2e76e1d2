// Package budget keeps spending within prepaid budgets: requests reserve
// their worst case from this VM's grants, and grants are drawn from the table.
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

// Sizer chooses how many tokens to draw.
type Sizer interface {
	// Size returns the tokens to draw when at least need are wanted now.
	// The result is at most left.
	Size(w *world.World, g *entity.Grant, need, left int64) int64
}

// System funds requests.
type System struct {
	sizer   Sizer
	active  entity.Table[string, *entity.Grant] // grants with waiting requests
	reads   entity.Table[int64, string]         // budget by read
	scanAt  time.Time
	probeAt time.Time
	recall  bool
}

// Option changes a System.
type Option func(*System)

// WithSizer replaces the policy of draw sizes.
func WithSizer(sizer Sizer) Option { return func(s *System) { s.sizer = sizer } }

// WithoutRecall makes the system neither recall tokens nor pass requests on.
// It serves as a baseline.
func WithoutRecall() Option { return func(s *System) { s.recall = false } }

// New returns the budget system.
func New(options ...Option) *System {
	s := &System{sizer: RateSizer{}, recall: true}
	for _, o := range options {
		o(s)
	}
	return s
}

// Handle implements world.System.
func (s *System) Handle(w *world.World, event inbox.Event) {
	switch e := event.(type) {
	case inbox.ReadDone:
		s.readDone(w, e)
	case inbox.PeerSaid:
		s.peerSaid(w, e)
	case inbox.ForwardEnded:
		s.forwardEnded(w, e)
	}
}

// Tick implements world.System.
func (s *System) Tick(w *world.World) {
	for _, r := range w.Take(entity.PhaseFunding) {
		s.wait(w, r)
	}
	for _, g := range s.active.Rows() {
		s.fund(w, g)
	}
	s.scan(w)
}

// wait puts a request in line for tokens.
func (s *System) wait(w *world.World, r *entity.Request) {
	if r.Cost == 0 {
		w.Enter(r, entity.PhaseQueued)
		return
	}
	g := Grant(w, r.Budget)
	g.Waiting = append(g.Waiting, r)
	s.active.Put(g.Budget, g)
}

// Grant returns this VM's grant of a budget, an empty one if it has none.
func Grant(w *world.World, budget string) *entity.Grant {
	g, ok := w.Grants.Get(budget)
	if !ok {
		g = &entity.Grant{Budget: budget, UsedAt: w.Now}
		w.Grants.Put(budget, g)
	}
	return g
}

// fund reserves for the waiting requests that fit and seeks tokens for the rest.
func (s *System) fund(w *world.World, g *entity.Grant) {
	s.reserve(w, g)
	if len(g.Waiting) == 0 {
		s.active.Delete(g.Budget)
		g.WantDraw, g.ShortAt, g.Recall = 0, time.Time{}, entity.Recall{}
		return
	}
	if !w.TableUp {
		s.seekPeers(w, g)
		s.probe(w, g)
	} else if g.ReadAt.IsZero() {
		s.read(w, g)
	} else {
		s.seekTable(w, g)
	}
	s.expire(w, g)
}

// reserve serves the most urgent first and lets small requests pass large
// ones that do not fit.
func (s *System) reserve(w *world.World, g *entity.Grant) {
	slices.SortStableFunc(g.Waiting, func(a, b *entity.Request) int { return cmp.Compare(a.Order, b.Order) })
	kept := g.Waiting[:0]
	for _, r := range g.Waiting {
		switch {
		case r.Phase != entity.PhaseFunding:
		case r.Cost <= g.Free():
			g.Reserved += r.Cost
			r.Reserve = r.Cost
			g.UsedAt = w.Now
			w.Enter(r, entity.PhaseQueued)
		default:
			kept = append(kept, r)
		}
	}
	clear(g.Waiting[len(kept):])
	g.Waiting = kept
}

// seekTable draws when the table has tokens for the smallest waiting request.
func (s *System) seekTable(w *world.World, g *entity.Grant) {
	if g.Drawing > 0 {
		return
	}
	need := smallest(g.Waiting) - g.Free()
	left := g.Row.Left()
	if left >= need {
		total := max(need, min(left, sum(g.Waiting)-g.Free()))
		g.WantDraw = s.sizer.Size(w, g, total, left)
		g.Urgent = true
		return
	}
	g.WantDraw = 0
	if g.ShortAt.IsZero() {
		g.ShortAt = w.Now
	}
	if !g.ReadAt.After(g.ShortAt) {
		s.read(w, g)
		return
	}
	s.seekHolders(w, g)
}

func smallest(waiting []*entity.Request) int64 {
	least := waiting[0].Cost
	for _, r := range waiting {
		least = min(least, r.Cost)
	}
	return least
}

func sum(waiting []*entity.Request) int64 {
	var total int64
	for _, r := range waiting {
		total += r.Cost
	}
	return total
}

func (s *System) read(w *world.World, g *entity.Grant) {
	if g.Reading {
		return
	}
	g.Reading = true
	id := w.NextID()
	s.reads.Put(id, g.Budget)
	w.Emit(outbox.Read{ID: id, Keys: []string{entity.BudgetKey(g.Budget)}})
}

// probe reads the row now and then while the table is out, so that its return
// is noticed.
func (s *System) probe(w *world.World, g *entity.Grant) {
	if w.Now.Before(s.probeAt) {
		return
	}
	s.probeAt = w.Now.Add(w.Policy.RecallEvery)
	s.read(w, g)
}

func (s *System) readDone(w *world.World, e inbox.ReadDone) {
	budget, ok := s.reads.Get(e.ID)
	if !ok {
		return
	}
	s.reads.Delete(e.ID)
	g := Grant(w, budget)
	g.Reading = false
	if !e.OK {
		return
	}
	for _, row := range e.Rows {
		Learn(w, g, row)
	}
}

// Learn takes a budget's row as read from the table. An older version than
// the known one is ignored.
func Learn(w *world.World, g *entity.Grant, row entity.Row) {
	if row.Version < g.Version {
		return
	}
	document, _ := row.Document.(entity.BudgetRow)
	g.Row, g.Version, g.ReadAt = document, row.Version, w.Now
}

// expire refuses requests that waited too long.
func (s *System) expire(w *world.World, g *entity.Grant) {
	for _, r := range g.Waiting {
		waited := w.Now.Sub(r.Arrived)
		limit := min(w.Policy.FundingWait, r.Deadline.Sub(r.Arrived))
		switch {
		case r.Phase != entity.PhaseFunding:
		case !w.TableUp && waited > w.Policy.UnreachableWait:
			s.refuse(w, r, entity.ReasonBudgetUnreachable)
		case waited > limit:
			s.refuse(w, r, s.reason(w, g))
		}
	}
}

func (s *System) reason(w *world.World, g *entity.Grant) entity.Reason {
	if !w.TableUp || g.ReadAt.IsZero() || g.Recall.Missing {
		return entity.ReasonBudgetUnreachable
	}
	return entity.ReasonBudgetExhausted
}

func (s *System) refuse(w *world.World, r *entity.Request, reason entity.Reason) {
	w.Refuse(r, reason, retryAfterShort)
}

// retryAfterShort is advised when tokens may come back soon.
const retryAfterShort = 2 * time.Second

// scan returns idle grants and draws ahead for busy ones.
func (s *System) scan(w *world.World) {
	if w.Now.Before(s.scanAt) {
		return
	}
	s.scanAt = w.Now.Add(scanEvery)
	for _, g := range w.Grants.Rows() {
		idle := w.Now.Sub(g.UsedAt) > w.Policy.IdleReturn
		switch {
		case idle && g.Settled():
			w.Grants.Delete(g.Budget)
		case w.Leaving || idle:
			g.WantBack = max(g.Free(), 0)
		case w.TableUp && len(g.Waiting) == 0 && !g.ReadAt.IsZero():
			s.drawAhead(w, g)
		}
	}
}

const scanEvery = time.Second

// drawAhead asks for tokens before a request has to wait for them.
func (s *System) drawAhead(w *world.World, g *entity.Grant) {
	wanted := int64(g.RateNow(w.Now) * w.Policy.GrantHorizon.Seconds())
	if g.Free() >= wanted/2 {
		return
	}
	if left := g.Row.Left(); left > 0 {
		g.WantDraw = s.sizer.Size(w, g, min(1, left), left)
	}
}
