// Package admission turns callers' submissions into requests, or refuses them.
package admission

import (
	"time"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// System admits requests.
type System struct{}

// New returns the admission system.
func New() *System { return &System{} }

// Handle implements world.System.
func (s *System) Handle(w *world.World, event inbox.Event) {
	if e, ok := event.(inbox.Submitted); ok {
		s.submit(w, e.Submission)
	}
}

// Tick implements world.System.
func (s *System) Tick(*world.World) {}

func (s *System) submit(w *world.World, sub entity.Submission) {
	r := &entity.Request{Submission: sub, Arrived: w.Now}
	if sub.MayHaveRun {
		r.Expose()
	}
	reason := s.resolve(w, r)
	if reason != "" {
		w.Emit(outbox.Refuse{Request: sub.ID, Refusal: r.Refuse(reason, 0)})
		w.CountRefusal(r.Account, r.Rank, reason)
		return
	}
	key := entity.ChargeKey{Budget: r.Account, RequestKey: r.RequestKey}
	if id, ok := w.ByKey.Get(key); ok {
		s.join(w, r, id)
		return
	}
	w.Requests.Put(r.ID, r)
	w.ByKey.Put(key, r.ID)
	w.Enter(r, entity.PhaseFunding)
}

// join lets a retry share the answer of the request that has its key.
func (s *System) join(w *world.World, r *entity.Request, running int64) {
	first, ok := w.Requests.Get(running)
	if !ok || first.Fingerprint != r.Fingerprint {
		w.Emit(outbox.Refuse{Request: r.ID, Refusal: r.Refuse(entity.ReasonKeyReused, 0)})
		w.CountRefusal(r.Account, r.Rank, entity.ReasonKeyReused)
		return
	}
	w.Emit(outbox.Join{Request: r.ID, Running: running})
}

// resolve fills in what the configuration says of a request. It returns the
// reason of a refusal, or an empty one.
func (s *System) resolve(w *world.World, r *entity.Request) entity.Reason {
	if w.Leaving {
		return entity.ReasonStopping
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
	r.Kind, r.Repeatable = service.Kind, service.Repeatable
	s.rank(w, r, key.Rank)
	if _, barred := w.Config.Barred.Get(r.Fingerprint); barred {
		return entity.ReasonQuarantined
	}
	return s.cost(r, service)
}

// rank takes the key's rank, or a less urgent one that the caller asked for.
func (s *System) rank(w *world.World, r *entity.Request, allowed string) {
	rank, _ := w.Config.Ranks.Get(allowed)
	asked, ok := w.Config.Ranks.Get(r.Rank)
	if ok && asked.Order > rank.Order {
		rank = asked
	}
	r.Rank, r.Order = rank.Name, rank.Order
	target := time.Duration(rank.TargetMillis) * time.Millisecond
	r.Deadline = w.Now.Add(target)
}

// cost sets the worst case that must be reserved.
func (s *System) cost(r *entity.Request, service entity.Service) entity.Reason {
	if service.Kind == entity.KindApp {
		r.Cost = service.Price
		return ""
	}
	if r.MaxTokens <= 0 {
		return entity.ReasonMissingLimit
	}
	if service.MaxTokens > 0 && r.MaxTokens > service.MaxTokens {
		return entity.ReasonLimitTooLarge
	}
	r.Cost = r.PromptTokens + r.MaxTokens
	return ""
}
