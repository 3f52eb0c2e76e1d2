package quarantine

import (
	"slices"
	"time"

	"hawthornspar/core/revision"
)

// KeyKind distinguishes what VMs share.
type KeyKind string

// Kinds of what VMs share.
const (
	CrashKey KeyKind = "crash" // a VM's report of a crash
	SoundKey KeyKind = "sound" // the last sound run with a feature
	TrialKey KeyKind = "trial" // the last trial of a feature
)

// Key identifies something that VMs share.
type Key struct {
	Kind KeyKind
	Incarnation
	VM      string  // of a report; empty for other kinds
	Feature Feature // empty for a report
}

// Change is a set of changes that other VMs made.
type Change struct {
	Crashes []Crash `json:"crashes,omitempty"`
	Sounds  []Sound `json:"sounds,omitempty"`
	Trials  []Trial `json:"trials,omitempty"`
	Removed []Key   `json:"removed,omitempty"`
}

// Empty reports whether nothing changes.
func (c Change) Empty() bool {
	return len(c.Crashes)+len(c.Sounds)+len(c.Trials)+len(c.Removed) == 0
}

// Table holds the evidence that a VM knows. It is not safe for concurrent use.
type Table struct {
	vm          string // name of this VM
	vms         int    // number of VMs
	incidents   map[Incarnation]*incident
	suspects    map[Feature]*suspect
	quarantined map[Feature]*suspect  // as last judged
	sameCrashes map[Feature][]Feature // quarantined features with the same crashes, itself included
	verdicts    []Verdict             // changes of quarantined that were not taken yet
	recent      recentSounds
	lost        []lostResponse
	own         ownCrashes
	writes      writeQueue
	clock       storeClock
	era         revision.Era          // of the last read
	read        bool                  // Read was called
	lostTrials  map[Feature]time.Time // that the store has lost, with the time to write them again
	// unjudged is set if the evidence has changed since it was last judged, and
	// nextEvidenceMs is when there will be more on the store's clock; 0 for never.
	unjudged       bool
	nextEvidenceMs int64
}

// NewTable returns the empty table of a VM.
func NewTable(vm string) *Table {
	t := &Table{vm: vm, writes: writeQueue{pending: map[Key]*pendingWrite{}}}
	t.clear()
	return t
}

// clear forgets the evidence.
func (t *Table) clear() {
	t.incidents, t.suspects = map[Incarnation]*incident{}, map[Feature]*suspect{}
	t.quarantined = map[Feature]*suspect{}
	t.unjudged = true
}

// Empty reports whether no request is suspect, so that Check allows all.
func (t *Table) Empty() bool { return len(t.incidents) == 0 }

// Quarantined returns the number of features that are quarantined.
func (t *Table) Quarantined(now time.Time) int {
	t.judge(now)
	return len(t.quarantined)
}

// RecordCrash records the crash of an endpoint while it ran a request at this VM, and
// reports whether that is news.
func (t *Table) RecordCrash(r Run, in Incarnation, now time.Time) bool {
	return t.recordCrashAt(r, in, t.clock.at(now), now)
}

func (t *Table) recordCrashAt(r Run, in Incarnation, atMs int64, now time.Time) bool {
	if len(r.Features) == 0 {
		return false
	}
	in = t.runningAt(in, atMs)
	t.own.add(r, in)
	c := Crash{Incarnation: in, VM: t.vm, StoreMs: atMs}
	if i := t.incidents[in]; i != nil && i.reports[t.vm].VM != "" {
		c.StoreMs = i.reports[t.vm].StoreMs
	}
	t.report(c, now)
	return true
}

// appendNew returns a list of features with those of more that it lacks.
func appendNew(list, more []Feature) []Feature {
	known := make(map[Feature]bool, len(list)+len(more))
	all := make([]Feature, 0, len(list)+len(more))
	for _, f := range slices.Concat(list, more) {
		if !known[f] {
			known[f] = true
			all = append(all, f)
		}
	}
	return all
}

// Apply applies changes of other VMs.
func (t *Table) Apply(c Change, now time.Time) {
	for _, s := range c.Sounds {
		t.applySound(s)
	}
	for _, trial := range c.Trials {
		t.SetTrial(trial)
	}
	t.cancelRestore(c.Crashes)
	for _, crash := range c.Crashes {
		t.addCrash(crash)
	}
	t.completeReports(c.Crashes, now)
	for _, crash := range c.Crashes {
		for _, f := range crash.Features {
			t.testify(t.suspectOf(f), now)
		}
	}
	for _, k := range c.Removed {
		t.remove(k)
	}
}

// remove applies the removal of a key by another VM.
func (t *Table) remove(k Key) {
	if k.Kind == CrashKey {
		t.removeReport(k.Incarnation, k.VM)
		return
	}
	s := t.suspects[k.Feature]
	if s == nil {
		return
	}
	if k.Kind == TrialKey {
		s.trial = Trial{}
	} else {
		s.forgetKnown()
	}
	if s.unused() {
		delete(t.suspects, k.Feature)
	}
	t.unjudged = true
}

// Replace applies the complete content of the store: what it lacks is forgotten, unless
// it waits to be written.
func (t *Table) Replace(c Change, now time.Time) {
	before := t.quarantined
	t.clear()
	t.quarantined = before
	t.Apply(c, now)
	for _, w := range t.writes.all() {
		switch {
		case w.Crash != nil:
			t.addCrash(*w.Crash)
		case w.Sound != nil:
			t.suspectOf(w.Sound.Feature).addOwn(*w.Sound)
		case w.Remove != nil:
			t.remove(*w.Remove)
		}
	}
}

// Quarantines returns the evidence against the quarantined features, for a VM that cannot
// reach the store.
func (t *Table) Quarantines(now time.Time) Change {
	t.judge(now)
	var c Change
	crashes := map[Incarnation]Crash{}
	for f, s := range t.quarantined {
		for _, i := range s.crashes() {
			crash, ok := crashes[i.Incarnation]
			if !ok {
				crash = Crash{Incarnation: i.Incarnation, VM: t.vm, StoreMs: i.atMs, Caught: map[Feature]Progress{}}
			}
			crash.Features = append(crash.Features, f)
			crash.Caught[f] = i.caught[f]
			crashes[i.Incarnation] = crash
		}
		if !s.trial.Version.IsZero() {
			c.Trials = append(c.Trials, s.trial)
		}
	}
	for _, crash := range crashes {
		c.Crashes = append(c.Crashes, crash)
	}
	return c
}
