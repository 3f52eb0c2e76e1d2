package gateway

import (
	"errors"
	"syscall"
	"time"

	"hawthornspar/core/coldstart"
	"hawthornspar/core/endpoints"
)

// admit decides whether an attempt's request may be written to its endpoint now, and counts
// it if so. It returns the reason against it, or a refusal without a status. notice is how
// long endpoints serve after they have announced that they leave; 0 if that is unknown.
func (s *state) admit(a *endpoints.Attempt, notice time.Duration) refusal {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.knowledge.Stale(notice, now):
		return registryStale
	case s.endpoints.IsEvacuated(a.Endpoint):
		return endpointEvacuated
	case !s.endpoints.Accepts(a.Endpoint, now): // it left while the connection was opened
		return endpointLeft
	case !s.endpoints.TakeSend(a.Endpoint, now):
		return endpointCold
	}
	return refusal{}
}

// turnBack returns what follows an attempt whose request may not be written.
func (x *exchange) turnBack(refused refusal) (endpoints.Outcome, action, refusal) {
	if refused == registryStale {
		return endpoints.Inconclusive, finish, x.finalRefusal(refused)
	}
	return endpoints.Inconclusive, retry, refused
}

// recordBroken records for cold endpoints that a connection to an attempt's endpoint was
// refused or reset, if err says so.
func (x *exchange) recordBroken(a *endpoints.Attempt, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		x.gateway.state.recordBroken(a.Endpoint)
	}
}

// recordBroken records that a connection to an endpoint was refused or reset.
func (s *state) recordBroken(e *endpoints.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints.Current(e).RecordBroken(time.Now())
}

// recordCold records for how long an endpoint states to be cold. It reports whether the
// endpoint was not known to be cold.
func (s *state) recordCold(e *endpoints.Endpoint, d time.Duration) bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.endpoints.ColdLeft(e.ID, now)
	return s.endpoints.Current(e).RecordCold(d, now) && before == 0 && s.endpoints.ColdLeft(e.ID, now) > 0
}

// setColdMargin puts the rules for cold endpoints in force that follow from a margin and the
// configuration. The caller holds the lock.
func (s *state) setColdMargin(m coldstart.Margin) {
	s.coldMargin = m
	if s.routeTable == nil {
		return
	}
	tolerances := map[string]coldstart.Tolerance{}
	for _, d := range s.routeTable.Document.Services {
		tolerances[d.Name] = d.Cold
	}
	s.endpoints.SetColdRules(tolerances, m)
}

// coldEndpoints returns the number of cold endpoints.
func (s *state) coldEndpoints() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.endpoints.ColdCount(time.Now()))
}
