package gateway

import (
	"time"

	"hawthornspar/core/endpoints"
	"hawthornspar/core/quarantine"
)

// noSuspects reports whether no request is suspect of crashing endpoints.
func (s *state) noSuspects() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Empty()
}

// quarantinedFingerprints returns the number of quarantined fingerprints.
func (s *state) quarantinedFingerprints() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.quarantine.Quarantined())
}

// checkQuarantine decides whether a request with a fingerprint may run.
func (s *state) checkQuarantine(f quarantine.Fingerprint) quarantine.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Check(f, time.Now())
}

// nextTrial returns the trial of a fingerprint that is due, and the version of its row
// on which the claim depends.
func (s *state) nextTrial(f quarantine.Fingerprint) (quarantine.Trial, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.NextTrial(f, time.Now())
}

// setTrial records the trial that the store has.
func (s *state) setTrial(t quarantine.Trial) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.SetTrial(t)
}

// clearSuspect forgets a fingerprint, and reports whether it was suspect.
func (s *state) clearSuspect(f quarantine.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Clear(f)
}

// recordLostResponse remembers a request whose response an endpoint lost.
func (s *state) recordLostResponse(f quarantine.Fingerprint, e *endpoints.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.RecordLostResponse(f, e.ID, e.Born, time.Now())
}

// setCrashClock sets the store's clock, by which crashes are dated.
func (s *state) setCrashClock(ms int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.SetStoreClock(ms, time.Now())
}

// expireCrashes forgets old crashes.
func (s *state) expireCrashes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.Expire(time.Now())
}

// pendingCrashes returns changes that are not in the store yet.
func (s *state) pendingCrashes(limit int) []quarantine.Write {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Pending(limit)
}

// crashesWritten removes the oldest n pending changes.
func (s *state) crashesWritten(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.Written(n)
}
