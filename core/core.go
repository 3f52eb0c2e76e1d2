// Package core makes the decisions of one VM of the router fleet: spending of
// budgets, dispatching, retries and the outcome that each client gets. It is
// deterministic: it uses no clock, socket, goroutine or global random source, and
// the same events at the same times with the same seed yield the same commands.
package core

import (
	"math/rand/v2"
	"time"

	"hawthornspar/core/admission"
	"hawthornspar/core/budget"
	"hawthornspar/core/claim"
	"hawthornspar/core/config"
	"hawthornspar/core/dispatch"
	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/ledger"
	"hawthornspar/core/membership"
	"hawthornspar/core/outbox"
	"hawthornspar/core/recovery"
	"hawthornspar/core/retry"
	"hawthornspar/core/settle"
	"hawthornspar/core/shutdown"
	"hawthornspar/core/suspect"
	"hawthornspar/core/world"
)

// Router runs the systems of one VM's core on their shared World. It is not safe
// for concurrent use.
type Router struct {
	World    *world.World
	systems  []world.System
	flusher  *ledger.Flusher
	copier   *ledger.Copier
	lastStep time.Time
}

// options holds the settings of New.
type options struct {
	policy   world.Policy
	seed     uint64
	budget   []budget.Option
	dispatch []dispatch.Option
}

// Option configures a Router.
type Option func(*options)

// WithPolicy sets the policy instead of world.DefaultPolicy.
func WithPolicy(policy world.Policy) Option { return func(o *options) { o.policy = policy } }

// WithSeed sets the seed of all random choices.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithBudget passes options to the budget system.
func WithBudget(opts ...budget.Option) Option { return func(o *options) { o.budget = opts } }

// WithDispatch passes options to the dispatch system.
func WithDispatch(opts ...dispatch.Option) Option { return func(o *options) { o.dispatch = opts } }

// New returns the router of one incarnation of a VM.
func New(self entity.VM, opts ...Option) *Router {
	o := options{policy: world.DefaultPolicy(), seed: 1}
	for _, apply := range opts {
		apply(&o)
	}
	w := &world.World{Self: self, Policy: o.policy, TableReachable: true}
	w.Random = rand.New(rand.NewPCG(o.seed, o.seed))
	r := &Router{World: w, copier: ledger.NewCopier()}
	r.buildSystems(o)
	return r
}

// buildSystems constructs the systems and lists them in the order in which each
// pass runs them.
func (r *Router) buildSystems(o options) {
	r.flusher = ledger.NewFlusher(r.copier)
	claims := claim.New()
	configs := config.New()
	suspects := suspect.New(configs)
	recoveries := recovery.New(r.copier)
	shutdownSystem := shutdown.New(configs, unwrittenRecords{r.flusher, r.copier, claims})
	writer := ledger.NewWriter(r.flusher, recoveries, shutdownSystem)
	recoveries.Bind(writer)
	shutdownSystem.Bind(writer)
	r.systems = []world.System{
		membership.New(), configs,
		admission.New(), suspects, retry.New(claims), settle.New(r.flusher, r.copier),
		budget.New(o.budget...), claims, dispatch.New(suspects, o.dispatch...),
		recoveries, r.copier, shutdownSystem, writer,
	}
}

// unwrittenRecords counts the charges, copies of charges and claim updates that
// are not yet in the table service. The VM must not shut down before they are.
type unwrittenRecords struct {
	flusher *ledger.Flusher
	copier  *ledger.Copier
	claims  *claim.System
}

// Pending implements shutdown.Backlog.
func (u unwrittenRecords) Pending(*world.World) int {
	return u.flusher.Unflushed() + u.copier.Stored() + u.claims.Pending()
}

// maxPassesPerStep limits how often the systems run in one step. Requests that
// are still between phases then wait for the next step.
const maxPassesPerStep = 6

// Step processes the events that have arrived by now and returns the resulting
// commands. It has to be called without events too, as time-outs and periodic
// work depend on it.
func (r *Router) Step(now time.Time, events []inbox.Event) []outbox.Command {
	w := r.World
	if !r.lastStep.IsZero() && now.Sub(r.lastStep) > w.Policy.MaxStepGap {
		w.Suspended = true
		w.Log("resumed after a pause", "pause", now.Sub(r.lastStep).String())
	}
	r.lastStep, w.Now = now, now
	for _, e := range events {
		r.handleEvent(e)
	}
	for pass := 0; pass < maxPassesPerStep; pass++ {
		w.ClosedLastPass, w.ClosedThisPass = w.ClosedThisPass, nil
		for _, s := range r.systems {
			s.Tick(w)
		}
		if !w.HasEntered() && len(w.ClosedThisPass) == 0 {
			break
		}
	}
	commands := w.Outbox
	w.Outbox = nil
	return commands
}

// handleQuery responds to an operator, or to another VM on behalf of one, with
// this VM's report.
func (r *Router) handleQuery(e inbox.QueryRequested) {
	w := r.World
	if _, ok := config.Operator(w, e.KeyHash); !ok && !e.Trusted {
		w.Emit(outbox.QueryDone{ID: e.ID, Refused: true})
		return
	}
	w.Emit(outbox.QueryDone{ID: e.ID, Report: r.Report()})
}

// handleConfigQuery responds to an operator with the items of the current
// configuration.
func (r *Router) handleConfigQuery(e inbox.ConfigRequested) {
	w := r.World
	if _, ok := config.Operator(w, e.KeyHash); !ok {
		w.Emit(outbox.ConfigDone{ID: e.ID, Refused: true})
		return
	}
	done := outbox.ConfigDone{ID: e.ID, Version: w.Config.Version}
	for _, item := range w.Config.Items() {
		version, _ := w.Config.ModifiedVersions.Get(item.ItemName())
		done.Items = append(done.Items, entity.Change{Version: version, Item: item})
	}
	w.Emit(done)
}

// handleEvent processes one event and passes it to all systems.
func (r *Router) handleEvent(e inbox.Event) {
	w := r.World
	switch e := e.(type) {
	case inbox.TransactDone:
		w.TableReachable = e.Outcome != inbox.TransactUnknown
	case inbox.ReadDone:
		w.TableReachable = e.OK
	case inbox.QueryRequested:
		r.handleQuery(e)
	case inbox.ConfigRequested:
		r.handleConfigQuery(e)
	}
	for _, s := range r.systems {
		s.Handle(w, e)
	}
}
