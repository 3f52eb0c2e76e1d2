// Package core decides for one VM of the router fleet: what is spent, where
// each request runs, when it is tried again and what its caller is told. It
// has no clock, socket, goroutine or global random source: equal events at
// equal times with an equal seed give equal commands.
package core

import (
	"math/rand/v2"
	"time"

	"hawthornspar/core/admission"
	"hawthornspar/core/budget"
	"hawthornspar/core/claim"
	"hawthornspar/core/config"
	"hawthornspar/core/dispatch"
	"hawthornspar/core/drain"
	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/ledger"
	"hawthornspar/core/membership"
	"hawthornspar/core/outbox"
	"hawthornspar/core/recovery"
	"hawthornspar/core/retry"
	"hawthornspar/core/settle"
	"hawthornspar/core/suspect"
	"hawthornspar/core/world"
)

// Router runs the systems over one VM's tables.
type Router struct {
	World   *world.World
	systems []world.System
	flush   *ledger.Flush
	copies  *ledger.Copies
	last    time.Time
}

// options collects what New may vary.
type options struct {
	policy   world.Policy
	seed     uint64
	budget   []budget.Option
	dispatch []dispatch.Option
}

// Option changes a Router.
type Option func(*options)

// WithPolicy replaces the default policy.
func WithPolicy(policy world.Policy) Option { return func(o *options) { o.policy = policy } }

// WithSeed sets the seed of all random choices.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithBudget passes options to the budget system.
func WithBudget(list ...budget.Option) Option { return func(o *options) { o.budget = list } }

// WithDispatch passes options to the dispatch system.
func WithDispatch(list ...dispatch.Option) Option { return func(o *options) { o.dispatch = list } }

// New returns the router of one VM incarnation.
func New(self entity.VM, list ...Option) *Router {
	o := options{policy: world.DefaultPolicy(), seed: 1}
	for _, apply := range list {
		apply(&o)
	}
	w := &world.World{Self: self, Policy: o.policy, TableUp: true}
	w.Random = rand.New(rand.NewPCG(o.seed, o.seed))
	r := &Router{World: w, copies: ledger.NewCopies()}
	r.build(o)
	return r
}

// build wires the systems in the order in which a request passes them.
func (r *Router) build(o options) {
	r.flush = ledger.NewFlush(r.copies)
	claims := claim.New()
	changes := config.New()
	suspects := suspect.New(changes)
	recoveries := recovery.New(r.copies)
	stop := drain.New(changes, unwritten{r.flush, r.copies, claims})
	writer := ledger.NewWriter(r.flush, recoveries, stop)
	recoveries.Bind(writer)
	stop.Bind(writer)
	r.systems = []world.System{
		membership.New(), changes,
		admission.New(), suspects, retry.New(claims), settle.New(r.flush, r.copies),
		budget.New(o.budget...), claims, dispatch.New(suspects, o.dispatch...),
		recoveries, r.copies, stop, writer,
	}
}

// unwritten counts what only this VM's memory holds.
type unwritten struct {
	flush  *ledger.Flush
	copies *ledger.Copies
	claims *claim.System
}

// Left implements drain.Work.
func (u unwritten) Left(*world.World) int {
	return u.flush.Unflushed() + u.copies.Held() + u.claims.Pending()
}

// maxPasses bounds how often the systems run for one step.
const maxPasses = 6

// Step takes events at a time and returns the commands that follow.
func (r *Router) Step(now time.Time, events []inbox.Event) []outbox.Command {
	w := r.World
	if !r.last.IsZero() && now.Sub(r.last) > w.Policy.PauseLimit {
		w.Paused = true
		w.Log("resumed after a pause", "pause", now.Sub(r.last).String())
	}
	r.last, w.Now = now, now
	for _, e := range events {
		r.handle(e)
	}
	for pass := 0; pass < maxPasses; pass++ {
		w.Ended, w.Closed = w.Closed, nil
		for _, s := range r.systems {
			s.Tick(w)
		}
		if !w.Pending() && len(w.Closed) == 0 {
			break
		}
	}
	out := w.Outbox
	w.Outbox = nil
	return out
}

// query answers an operator, or another VM on an operator's behalf.
func (r *Router) query(e inbox.QueryAsked) {
	w := r.World
	if _, ok := config.Operator(w, e.KeyHash); !ok && !e.Trusted {
		w.Emit(outbox.QueryDone{ID: e.ID, Refused: true})
		return
	}
	w.Emit(outbox.QueryDone{ID: e.ID, Report: r.Report()})
}

func (r *Router) configuration(e inbox.ConfigAsked) {
	w := r.World
	if _, ok := config.Operator(w, e.KeyHash); !ok {
		w.Emit(outbox.ConfigDone{ID: e.ID, Refused: true})
		return
	}
	done := outbox.ConfigDone{ID: e.ID, Version: w.Config.Version}
	for _, item := range w.Config.Items() {
		version, _ := w.Config.Modified.Get(item.ItemName())
		done.Items = append(done.Items, entity.Change{Version: version, Item: item})
	}
	w.Emit(done)
}

func (r *Router) handle(e inbox.Event) {
	w := r.World
	switch e := e.(type) {
	case inbox.TransactDone:
		w.TableUp = e.Outcome != inbox.Unknown
	case inbox.ReadDone:
		w.TableUp = e.OK
	case inbox.QueryAsked:
		r.query(e)
	case inbox.ConfigAsked:
		r.configuration(e)
	}
	for _, s := range r.systems {
		s.Handle(w, e)
	}
}
