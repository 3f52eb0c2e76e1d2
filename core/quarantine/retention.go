package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// suspectRetention is how long evidence is remembered that quarantines nothing, and
	// quarantineRetention that which does.
	suspectRetention    = 10 * time.Minute
	quarantineRetention = 24 * time.Hour
	// maxIncidents bounds the crashes that are remembered, and maxSuspects the features.
	// A crash adds as many features as its endpoint's requests had.
	maxIncidents = 1024
	maxSuspects  = 32768
)

// makeRoom forgets the oldest crashes if there are too many, or too many features. Those
// that quarantine a feature go last.
func (t *Table) makeRoom() {
	if len(t.incidents) < maxIncidents && len(t.suspects) < maxSuspects {
		return
	}
	supporting := t.supporting()
	list := slices.SortedFunc(maps.Values(t.incidents), func(a, b *incident) int {
		if supporting[a.Incarnation] != supporting[b.Incarnation] {
			if supporting[b.Incarnation] {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.atMs, b.atMs)
	})
	for _, i := range list[:(len(list)+7)/8] {
		t.forget(i, false)
	}
	for _, s := range t.suspects {
		if len(s.incidents) == 0 {
			t.forgetSuspect(s, false)
		}
	}
}

// supporting returns the crashes by which features are quarantined.
func (t *Table) supporting() map[Incarnation]bool {
	supporting := map[Incarnation]bool{}
	for _, s := range t.quarantined {
		for _, i := range s.crashes() {
			supporting[i.Incarnation] = true
		}
	}
	return supporting
}

// Expire forgets what is too old. The store's rows are removed by the VM that wrote
// them, or by any VM if they are still there after twice that time.
func (t *Table) Expire(now time.Time) {
	nowMs := t.clock.at(now)
	t.judge(now)
	keep := t.supporting()
	for _, s := range t.quarantined {
		if ageOf(s.lastMs(), nowMs) <= quarantineRetention {
			continue
		}
		for in := range s.incidents {
			delete(keep, in)
		}
	}
	for in, i := range t.incidents {
		if age := ageOf(i.atMs, nowMs); age > suspectRetention && !keep[in] {
			t.forget(i, age > 2*suspectRetention)
		}
	}
	for _, s := range t.suspects {
		if age := ageOf(s.lastMs(), nowMs); len(s.incidents) == 0 && age > suspectRetention {
			t.forgetSuspect(s, age > 2*suspectRetention)
		}
	}
}

func ageOf(ms, nowMs int64) time.Duration { return time.Duration(nowMs-ms) * time.Millisecond }

// forget removes a crash from this table, and from the store this VM's report, or all.
func (t *Table) forget(i *incident, all bool) {
	for vm, r := range i.reports {
		if all || vm == t.vm {
			t.queueRemoval(r.Key())
		}
	}
	t.removeIncident(i)
}

// forgetSuspect removes a feature from this table, and from the store what this VM wrote
// of it, or all.
func (t *Table) forgetSuspect(s *suspect, all bool) {
	if s.known.StoreMs > 0 && (all || s.known.VM == t.vm || s.known.VM == OperatorName) {
		t.queueRemoval(s.known.Key())
	}
	if !s.trial.Version.IsZero() && (all || s.trial.VM == t.vm) {
		t.queueRemoval(s.trial.Key())
	}
	delete(t.suspects, s.feature)
	t.unjudged = true
}
