package quarantine

import "time"

// trialDelays are the times from one trial of a quarantined fingerprint to the next;
// the first follows at once. There is no further trial after the last. A request that
// crashes every endpoint thus crashes two and one for each trial.
var trialDelays = []time.Duration{0, 30 * time.Second, 5 * time.Minute}

const (
	// trialRetryAfter is when callers may return while a trial runs.
	trialRetryAfter = 500 * time.Millisecond
	// maxRetryAfter bounds what callers of a quarantined request are told.
	maxRetryAfter = time.Minute
)

// Trial is the last trial of a quarantined fingerprint: one request that may run
// although it is quarantined. The fleet's VMs claim it with a conditional write.
type Trial struct {
	Fingerprint Fingerprint
	VM          string // name of the VM that claimed it
	Count       int    // trials so far
	StoreMs     int64  // start on the store's clock
	Version     int64  // version of the store's row; 0 if there is none
}

// Decision says whether a request may run.
type Decision struct {
	Allowed    bool
	TrialDue   bool          // the request may run if its VM claims the trial
	RetryAfter time.Duration // when the caller may try again, if it may not run
}

// Check decides whether a request with a fingerprint may run.
func (t *Table) Check(f Fingerprint, now time.Time) Decision {
	s := t.suspects[f]
	if s == nil || !s.quarantined() {
		return Decision{Allowed: true}
	}
	if s.trial.Count >= len(trialDelays) {
		return Decision{RetryAfter: maxRetryAfter}
	}
	dueIn := time.Duration(0)
	if s.trial.Count > 0 {
		sinceLast := time.Duration(t.clock.at(now)-s.trial.StoreMs) * time.Millisecond
		dueIn = trialDelays[s.trial.Count] - sinceLast
	}
	if dueIn <= 0 {
		return Decision{TrialDue: true, RetryAfter: trialRetryAfter}
	}
	return Decision{RetryAfter: min(max(dueIn, trialRetryAfter), maxRetryAfter)}
}

// NextTrial returns the trial that a VM may claim when one is due. The claim holds if
// the store's row still has the given version.
func (t *Table) NextTrial(f Fingerprint, now time.Time) (next Trial, version int64) {
	last := t.suspectOf(f).trial
	return Trial{Fingerprint: f, VM: t.vm, Count: last.Count + 1, StoreMs: t.clock.at(now)}, last.Version
}

// Refund returns the trial row that takes back a claimed trial in which no endpoint
// ran the request.
func (t Trial) Refund() Trial {
	t.Count--
	t.StoreMs = 0
	return t
}

// SetTrial records a trial that was claimed, here or by another VM.
func (t *Table) SetTrial(trial Trial) {
	if t.suspects[trial.Fingerprint] != nil {
		t.applyTrial(trial)
	}
}

func (t *Table) applyTrial(trial Trial) {
	s := t.suspectOf(trial.Fingerprint)
	if trial.Version >= s.trial.Version {
		s.trial = trial
	}
}
