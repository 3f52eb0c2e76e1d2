// Package retry decides what follows the end of an attempt: settle, try
// again within a retry budget, or tell the caller the truth.
package retry

import (
	"time"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/settle"
	"hawthornspar/core/world"
)

// Keeper keeps the outcome of claimed requests.
type Keeper interface {
	Keep(w *world.World, r *entity.Request, answer entity.Answer)
}

// System handles ends of attempts.
type System struct {
	keeper Keeper
	tokens float64 // retries that may be made now
}

// New returns the retry system.
func New(keeper Keeper) *System { return &System{keeper: keeper, tokens: initialRetries} }

const (
	initialRetries = 20
	neverSent      = "neverSent" // reason of a retry
)

// Handle implements world.System.
func (s *System) Handle(w *world.World, event inbox.Event) {
	switch e := event.(type) {
	case inbox.Submitted:
		s.tokens = min(s.tokens+w.Policy.RetryRatio, w.Policy.RetryBurst)
	case inbox.AttemptEnded:
		s.ended(w, e)
	}
}

// Tick implements world.System.
func (s *System) Tick(*world.World) {}

func (s *System) ended(w *world.World, e inbox.AttemptEnded) {
	s.judge(w, e)
	r, ok := w.Requests.Get(e.Request)
	if !ok || r.Phase != entity.PhaseRunning || r.Attempt != e.Attempt {
		return
	}
	switch e.Outcome {
	case inbox.OutcomeAnswered:
		s.answered(w, r, e)
	case inbox.OutcomeNeverSent:
		r.Withdraw(entity.NeverRan{Attempt: e.Attempt})
		s.again(w, r, entity.PhaseQueued, neverSent)
	case inbox.OutcomeFull:
		r.Withdraw(entity.NeverRan{Attempt: e.Attempt})
		w.Emit(outbox.Count{Counter: world.CounterRetries, Reason: "endpointFull"})
		w.Enter(r, entity.PhaseQueued)
	case inbox.OutcomeRejected:
		s.lost(w, r, entity.ReasonEndpointRejected)
	case inbox.OutcomeBroken:
		s.broken(w, r, e.Died)
	case inbox.OutcomeCancelled:
		w.Close(r)
	}
}

func (s *System) answered(w *world.World, r *entity.Request, e inbox.AttemptEnded) {
	if r.Kind == entity.KindModel {
		settle.Owe(r, e.Tokens)
	} else if e.Answer.Status < 300 {
		settle.Owe(r, r.Cost)
	}
	if r.ClaimHeld {
		s.keeper.Keep(w, r, e.Answer)
	}
	w.Enter(r, entity.PhaseSettling)
}

// broken ends or repeats a request whose endpoint may have run it.
func (s *System) broken(w *world.World, r *entity.Request, died bool) {
	if !r.Repeatable {
		s.lost(w, r, entity.ReasonOutcomeUnknown)
		return
	}
	if r.Answering {
		w.Refuse(r, entity.ReasonAnswerInterrupted, 0)
		return
	}
	r.Avoid = append(r.Avoid, r.Endpoint)
	next := entity.PhaseQueued
	if died {
		next = entity.PhaseSuspect
	}
	s.again(w, r, next, "endpointBroke")
}

// lost ends a request and lets watchers of its claim know.
func (s *System) lost(w *world.World, r *entity.Request, reason entity.Reason) {
	if r.ClaimHeld {
		s.keeper.Keep(w, r, entity.Answer{})
	}
	w.Refuse(r, reason, 0)
}

// again queues the request for another endpoint if the retry budget allows.
func (s *System) again(w *world.World, r *entity.Request, next entity.Phase, why string) {
	r.Retries++
	if why != neverSent {
		r.Losses++
	}
	_, barred := w.Config.Barred.Get(r.Fingerprint)
	switch {
	case barred:
		w.Refuse(r, entity.ReasonQuarantined, 0)
	case r.Losses >= w.Policy.MaxAttempts:
		w.Refuse(r, entity.ReasonEndpointFailed, time.Second)
	case why != neverSent && s.tokens < 1:
		w.Refuse(r, entity.ReasonRetryBudgetSpent, time.Second)
	default:
		s.spend(why)
		w.Emit(outbox.Count{Counter: world.CounterRetries, Reason: why})
		w.Enter(r, next)
	}
}

// spend takes a retry from the budget. One that was never sent costs the
// endpoints nothing, and so is free.
func (s *System) spend(why string) {
	if why != neverSent {
		s.tokens--
	}
}

// judge keeps the endpoint's health and this VM's window of it.
func (s *System) judge(w *world.World, e inbox.AttemptEnded) {
	p, ok := w.Endpoints.Get(e.Endpoint)
	if !ok {
		return
	}
	switch e.Outcome {
	case inbox.OutcomeAnswered:
		p.Failures = 0
		p.Completed++
		p.Window = min(p.Window+growth(p), max(float64(p.Spec.Slots), 1))
	case inbox.OutcomeFull:
		p.Window = max(p.Window/2, 1)
		p.Steady = p.Window
		p.DownUntil = w.Now.Add(fullRest)
	case inbox.OutcomeNeverSent, inbox.OutcomeBroken:
		p.Failures++
		p.Steady = max(p.Steady, p.Window/2)
		p.Window = 1
		rest := w.Policy.EndpointRest << min(p.Failures-1, 6)
		p.DownUntil = w.Now.Add(min(rest, w.Policy.EndpointRestMax))
	}
}

// growth returns what one answer adds to the window: it doubles each round
// below the steady window, as after a failure, and then grows by one a round.
func growth(p *entity.Endpoint) float64 {
	if p.Window < p.Steady {
		return 1
	}
	return 1 / p.Window
}

// fullRest is how long a full endpoint gets nothing new.
const fullRest = 20 * time.Millisecond
