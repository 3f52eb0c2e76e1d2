package gateway

import (
	"time"

	"hawthornspar/core/revision"
)

// rewriteTime is how long after the store has come back from a copy the operator and the
// endpoints may need to write again what it has lost.
const rewriteTime = 2800 * time.Millisecond

// ObserveEra learns the era of a response of the store. It returns a revision.OutdatedError
// if the response is of an era that is over and must not be used.
func (g *Gateway) ObserveEra(e revision.Era) error {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	from := s.eras.Era()
	steppedBack, err := s.eras.Observe(e)
	if err != nil {
		g.metrics.Increment("store_responses_dropped", "outdated")
		g.log.V(1).Info("response of the store dropped", "error", err.Error())
		return err
	}
	if steppedBack {
		g.stepBack(from)
	}
	return nil
}

// stepBack begins to restore what the store has lost. The caller holds the state's lock.
func (g *Gateway) stepBack(from revision.Era) {
	s := g.state
	s.steppedBackAt = time.Now()
	g.metrics.Increment("store_step_backs", "seen")
	g.log.Info("store has come back from a copy", "era", s.eras.Era(), "before", from, "registry", s.registryVersion.String(), "evacuations", s.evacuations.Version().String())
}

// restoredUntil returns the end of the time in which the store may lack what others have
// still to write again; zero if a request that is sent at the given time is after it.
func (s *state) restoredUntil(sent time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := s.steppedBackAt.Add(rewriteTime)
	if s.steppedBackAt.IsZero() || sent.After(end) {
		return time.Time{}
	}
	return end
}
