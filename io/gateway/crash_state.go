package gateway

import (
	"time"

	"hawthornspar/core/quarantine"
	"hawthornspar/core/revision"
)

// noSuspects reports whether no feature is suspect of crashing endpoints.
func (s *state) noSuspects() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Empty()
}

// quarantinedFeatures returns the number of quarantined features.
func (s *state) quarantinedFeatures() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.quarantine.Quarantined(time.Now()))
}

// checkQuarantine decides whether a request with the given features may run.
func (s *state) checkQuarantine(features []quarantine.Feature) quarantine.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Check(features, time.Now())
}

// nextTrial returns the trial of a feature that is due for a request with the given
// features, and the version of its row on which the claim depends.
func (s *state) nextTrial(f quarantine.Feature, features []quarantine.Feature) (quarantine.Trial, revision.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.NextTrial(f, features, time.Now())
}

// setTrial records the trial that the store has.
func (s *state) setTrial(t quarantine.Trial) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.SetTrial(t)
}

// recordSound records how far an endpoint has come with a request without a crash, and
// reports whether the store is to be told.
func (s *state) recordSound(r quarantine.Run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.RecordSound(r, time.Now())
}

// recordCrash records the crash of an incarnation while it ran a request, and reports
// whether that is news.
func (s *state) recordCrash(r quarantine.Run, in quarantine.Incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.RecordCrash(r, in, time.Now())
}

// unreportedFeatures returns the number of features for which this VM's report of a crash
// has no room.
func (s *state) unreportedFeatures(in quarantine.Incarnation) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Unreported(in)
}

// recordLostResponse remembers a request whose response an incarnation lost.
func (s *state) recordLostResponse(r quarantine.Run, in quarantine.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.RecordLostResponse(r, in, time.Now())
}

// takeVerdicts returns how the set of quarantined features has changed.
func (s *state) takeVerdicts() []quarantine.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.TakeVerdicts(time.Now())
}

// setCrashClock sets the store's clock, by which crashes are dated.
func (s *state) setCrashClock(ms int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.SetStoreClock(ms, time.Now())
}

// applyCrashes applies what other VMs have recorded.
func (s *state) applyCrashes(c quarantine.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.SetVMs(s.vmCount)
	s.quarantine.Apply(c, time.Now())
}

// readCrashes applies the complete content of the store.
func (s *state) readCrashes(c quarantine.Change, at StoreTime) quarantine.Restored {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.SetVMs(s.vmCount)
	s.quarantine.SetStoreClock(at.Ms, time.Now())
	return s.quarantine.Read(c, at.Version.Era, time.Now())
}

// lostTrials returns the trials that the store has lost and that are to be claimed again now,
// and when the next ones are; zero for none.
func (s *state) lostTrials() ([]quarantine.Trial, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.LostTrials(time.Now())
}

// expireCrashes forgets old crashes.
func (s *state) expireCrashes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.Expire(time.Now())
}

// pendingCrashes returns changes that are not in the store yet, and when the next one
// may be written; zero if none waits.
func (s *state) pendingCrashes(limit int) ([]quarantine.Write, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Pending(limit, time.Now())
}

// crashesWritten removes changes that are in the store.
func (s *state) crashesWritten(list []quarantine.Write) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.Written(list)
}
