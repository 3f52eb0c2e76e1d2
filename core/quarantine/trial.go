package quarantine

import (
	"slices"
	"time"

	"hawthornspar/core/revision"
)

// trialDelays are the times from one trial of a quarantined feature to the next; the
// first follows at once. There is no further trial after the last.
var trialDelays = []time.Duration{0, 2 * time.Second, 30 * time.Second, 5 * time.Minute}

const (
	// certainCrashes is the number of crashes after which the first trial is left out.
	certainCrashes = 5
	// unknownOutcome is how long a trial may go on without a known outcome before the
	// next one may start.
	unknownOutcome = 10 * time.Second
	// soundTrialDelay is the time from a sound trial to the next one, if one is not enough.
	soundTrialDelay = 500 * time.Millisecond
	// trialRetryAfter is when callers may return while a trial runs.
	trialRetryAfter = 500 * time.Millisecond
	// maxRetryAfter bounds what callers with a quarantined feature are told.
	maxRetryAfter = time.Minute
)

// Trial is the last trial of a quarantined feature: one request that may run although it
// has the feature. The fleet's VMs claim it with a conditional write.
type Trial struct {
	Feature Feature
	VM      string // name of the VM that claimed it
	Count   int    // trials so far
	// Apart is the number of those whose requests lacked another feature with the same
	// crashes. Their outcome tells which of these is to blame.
	Apart    int
	LastKind TrialKind        // of the last trial
	StoreMs  int64            // start of the last trial on the store's clock
	Refunded bool             // no endpoint ran its request; the next trial may start at once
	Version  revision.Version // version of the store's row; zero if there is none
}

// TrialKind distinguishes trials.
type TrialKind string

// Kinds of trials.
const (
	JointTrial TrialKind = "joint" // the request had all features with the same crashes
	ApartTrial TrialKind = "apart" // the request lacked one of them
)

// Key returns the key of the feature's trials.
func (t Trial) Key() Key { return Key{Kind: TrialKey, Feature: t.Feature} }

// Decision says whether a request may run.
type Decision struct {
	Allowed    bool
	Quarantine []Feature     // those of the request that are quarantined
	TrialDue   bool          // the request may run if its VM claims a trial of each
	RetryAfter time.Duration // when the caller may try again, if it may not run
}

// Check decides whether a request with the given features may run.
func (t *Table) Check(features []Feature, now time.Time) Decision {
	t.judge(now)
	d := Decision{TrialDue: true, RetryAfter: trialRetryAfter}
	for _, f := range features {
		s := t.quarantined[f]
		if s == nil {
			continue
		}
		d.Quarantine = append(d.Quarantine, f)
		dueIn, more := t.nextTrialIn(s, t.kindOf(f, features), t.clock.at(now))
		if !more {
			dueIn = maxRetryAfter
		}
		if dueIn > 0 {
			d.TrialDue = false
			d.RetryAfter = max(d.RetryAfter, min(dueIn, maxRetryAfter))
		}
	}
	d.Allowed = len(d.Quarantine) == 0
	return d
}

// kindOf returns the kind of a trial of a feature by a request with the given features.
func (t *Table) kindOf(f Feature, features []Feature) TrialKind {
	for _, other := range t.sameCrashes[f] {
		if !slices.Contains(features, other) {
			return ApartTrial
		}
	}
	return JointTrial
}

// nextTrialIn returns the time until the next trial of a kind, and whether there is one.
// The last trial is kept for a request that tells apart what has the same crashes. nowMs
// is on the store's clock.
func (t *Table) nextTrialIn(s *suspect, kind TrialKind, nowMs int64) (time.Duration, bool) {
	last := s.currentTrial()
	crashes := s.crashes()
	if last.Count > 0 && len(after(crashes, last.StoreMs)) == 0 && s.endedAfter(last.StoreMs) {
		return max(soundTrialDelay-ageOf(last.StoreMs, nowMs), 0), true
	}
	count := s.trialCount()
	most := len(trialDelays)
	if kind == JointTrial && last.Apart == 0 && len(t.sameCrashes[s.feature]) > 1 {
		most--
	}
	switch {
	case count >= most:
		return 0, false
	case last.Refunded || count == 0 || kind == ApartTrial && last.Apart == 0:
		return 0, true
	}
	sinceMs := last.StoreMs
	delay := trialDelays[count]
	switch {
	case last.Count == 0: // the first trial was left out
		for _, i := range crashes {
			sinceMs = max(sinceMs, i.atMs)
		}
	case len(after(crashes, last.StoreMs)) == 0: // the outcome is not known
		delay = max(delay, unknownOutcome)
	}
	return max(delay-ageOf(sinceMs, nowMs), 0), true
}

// currentTrial returns the last trial since the first of the crashes that speak against
// the feature; one without a count if there was none.
func (s *suspect) currentTrial() Trial {
	if crashes := s.crashes(); len(crashes) == 0 || s.trial.StoreMs < earliestMs(crashes) {
		return Trial{Feature: s.feature, Version: s.trial.Version}
	}
	return s.trial
}

// trialCount returns the number of trials that count for the delay until the next one.
func (s *suspect) trialCount() int {
	count := s.currentTrial().Count
	if count == 0 && len(s.crashes()) >= certainCrashes {
		return 1
	}
	return count
}

// NextTrial returns the trial of a feature that a VM may claim when one is due, for a
// request with the given features. The claim holds if the store's row still has the
// given version.
func (t *Table) NextTrial(f Feature, features []Feature, now time.Time) (next Trial, version revision.Version) {
	s := t.suspectOf(f)
	next = Trial{Feature: f, VM: t.vm, Count: s.trialCount() + 1, Apart: s.currentTrial().Apart, LastKind: t.kindOf(f, features), StoreMs: t.clock.at(now)}
	if next.LastKind == ApartTrial {
		next.Apart++
	}
	return next, s.trial.Version
}

// Refund returns the trial that takes back a claimed one in which no endpoint ran the
// request.
func (t Trial) Refund() Trial {
	t.Count--
	if t.LastKind == ApartTrial {
		t.Apart--
	}
	t.Refunded = true
	return t
}

// SetTrial records a trial that was claimed, here or by another VM. Trials that a store has
// lost which has come back from a copy still count.
func (t *Table) SetTrial(trial Trial) {
	s := t.suspectOf(trial.Feature)
	if s.trial.Version.NewerThan(trial.Version) {
		return
	}
	if s.trial.Version.Era != trial.Version.Era && s.trial.StoreMs > trial.StoreMs {
		s.trial.Version = trial.Version
		return
	}
	s.trial = trial
	delete(t.lostTrials, trial.Feature)
}
