// Package admission validates clients' submissions and admits them as requests,
// or refuses them.
package admission

import (
	"time"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// System is the admission system.
type System struct{}

// New returns the admission system.
func New() *System { return &System{} }

// Handle implements world.System.
func (s *System) Handle(w *world.World, event inbox.Event) {
	if e, ok := event.(inbox.Submitted); ok {
		s.admit(w, e.Submission)
	}
}

// Tick implements world.System.
func (s *System) Tick(*world.World) {}

// admit opens a request for a submission, attaches the submission to an open
// request with the same idempotency key, or refuses it.
func (s *System) admit(w *world.World, sub entity.Submission) {
	r := &entity.Request{Submission: sub, Arrived: w.Now}
	if sub.MayHaveRun {
		r.MarkPossiblyRun()
	}
	reason := s.resolve(w, r)
	if reason != "" {
		w.Emit(outbox.Refuse{Request: sub.ID, Refusal: r.Refuse(reason, 0)})
		w.CountRefusal(r.Account, r.Rank, reason)
		return
	}
	key := entity.ChargeKey{Budget: r.Account, RequestKey: r.RequestKey}
	if id, ok := w.RequestsByKey.Get(key); ok {
		s.join(w, r, id)
		return
	}
	w.Requests.Put(r.ID, r)
	w.RequestsByKey.Put(key, r.ID)
	w.SetPhase(r, entity.PhaseAwaitingBudget)
}

// join lets a client's retry share the response of the open request with the same
// idempotency key. It refuses a request whose content differs.
func (s *System) join(w *world.World, r *entity.Request, runningID int64) {
	running, ok := w.Requests.Get(runningID)
	if !ok || running.Fingerprint != r.Fingerprint {
		w.Emit(outbox.Refuse{Request: r.ID, Refusal: r.Refuse(entity.ReasonKeyReused, 0)})
		w.CountRefusal(r.Account, r.Rank, entity.ReasonKeyReused)
		return
	}
	w.Emit(outbox.Join{Request: r.ID, Running: runningID})
}

// resolve sets the fields of a request that depend on the configuration. It
// returns the reason to refuse the request, or an empty one.
func (s *System) resolve(w *world.World, r *entity.Request) entity.Reason {
	if w.ShuttingDown {
		return entity.ReasonShuttingDown
	}
	if !w.Ready {
		return entity.ReasonNotReady
	}
	key, ok := w.Config.Keys.Get(r.KeyHash)
	if !ok || key.Operator != "" {
		return entity.ReasonUnauthorized
	}
	r.Account, r.Budget = key.Account, key.Budget
	service, ok := w.Config.Services.Get(r.Service)
	if !ok {
		return entity.ReasonUnknownService
	}
	r.Kind, r.Idempotent = service.Kind, service.Idempotent
	s.setRank(w, r, key.Rank)
	if w.Config.IsQuarantined(r) {
		return entity.ReasonQuarantined
	}
	return s.setCost(r, service)
}

// setRank sets the rank of the API key, or the rank that the client requested if
// that is less urgent, and the deadline that follows from the rank.
func (s *System) setRank(w *world.World, r *entity.Request, keyRank string) {
	rank, _ := w.Config.Ranks.Get(keyRank)
	requested, ok := w.Config.Ranks.Get(r.Rank)
	if ok && requested.Order > rank.Order {
		rank = requested
	}
	r.Rank, r.Order = rank.Name, rank.Order
	target := time.Duration(rank.TargetMillis) * time.Millisecond
	r.Deadline = w.Now.Add(target)
}

// setCost sets the most tokens that the request may cost, which are reserved while
// it runs. It returns the reason to refuse the request, or an empty one.
func (s *System) setCost(r *entity.Request, service entity.Service) entity.Reason {
	if service.Kind == entity.KindApp {
		r.MaxCost = service.Price
		return ""
	}
	if r.MaxTokens <= 0 {
		return entity.ReasonMissingLimit
	}
	if service.MaxTokens > 0 && r.MaxTokens > service.MaxTokens {
		return entity.ReasonLimitTooLarge
	}
	r.MaxCost = r.PromptTokens + r.MaxTokens
	return ""
}
