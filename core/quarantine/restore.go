package quarantine

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornspar/core/revision"
)

const (
	// ownRestoreSpread is the time over which VMs spread the writes of their own reports
	// after the store has come back from a copy.
	ownRestoreSpread = 500 * time.Millisecond
	// othersRestoreDelay is how long a VM then waits for others to write theirs. It writes
	// those that are still missing, as their VMs may have ended, over othersRestoreSpread.
	othersRestoreDelay  = 1500 * time.Millisecond
	othersRestoreSpread = 1500 * time.Millisecond
)

// Restored says what Read has restored.
type Restored struct {
	SteppedBack bool // the store has come back from a copy since the last read
	Crashes     int  // crashes that the table knows
	Reports     int  // reports of crashes that the copy lacked, to be written again
	Trials      int  // features whose last trial the copy lacked, to be written again
}

// Read applies the complete content of the store in an era. What the store lacks is
// forgotten, unless it waits to be written, or the store has lost it because it has come back
// from a copy: then it is written again.
func (t *Table) Read(c Change, era revision.Era, now time.Time) Restored {
	steppedBack := t.read && era > t.era
	t.era, t.read = era, true
	if !steppedBack {
		t.Replace(c, now)
		return Restored{}
	}
	return t.restore(c, now)
}

// restore applies the content of a store that has come back from a copy.
func (t *Table) restore(c Change, now time.Time) Restored {
	t.loseTrials(c.Trials, now)
	result := Restored{SteppedBack: true, Trials: len(t.lostTrials)}
	for _, s := range t.suspects {
		s.own = s.own.merge(s.known)
		s.forgetKnown()
	}
	t.Apply(c, now)
	for _, r := range t.missingReports(c.Crashes) {
		t.queueAt(Write{Crash: &r}, now.Add(t.restoreDelay(r.VM, r.Endpoint+"/"+strconv.FormatInt(r.Born, 10))))
		result.Reports++
	}
	for _, s := range t.suspects {
		t.testify(s, now)
	}
	result.Crashes = len(t.incidents)
	t.unjudged = true
	return result
}

// loseTrials takes the versions of the era before from all trials, and notes those that the
// store lacks. Their counts stay.
func (t *Table) loseTrials(stored []Trial, now time.Time) {
	latest := map[Feature]int64{}
	for _, trial := range stored {
		latest[trial.Feature] = trial.StoreMs
	}
	t.lostTrials = map[Feature]time.Time{}
	for f, s := range t.suspects {
		if s.trial.StoreMs > latest[f] {
			t.lostTrials[f] = now.Add(t.restoreDelay(s.trial.VM, string(f)))
		}
		s.trial.Version = revision.Version{}
	}
}

// LostTrials returns the trials that the store has lost and that are to be claimed again now,
// by their versions, and when the next ones are; zero for none. They are not to be run.
func (t *Table) LostTrials(now time.Time) (due []Trial, next time.Time) {
	for f, at := range t.lostTrials {
		s := t.suspects[f]
		switch {
		case s == nil:
			delete(t.lostTrials, f)
		case !at.After(now):
			due = append(due, s.trial)
		case next.IsZero() || at.Before(next):
			next = at
		}
	}
	return due, next
}

// missingReports returns the reports that the table knows and a list lacks.
func (t *Table) missingReports(stored []Crash) []Crash {
	known := map[Key]bool{}
	for _, c := range stored {
		known[c.Key()] = true
	}
	var missing []Crash
	for _, i := range t.incidents {
		for _, r := range i.reports {
			if !known[r.Key()] {
				missing = append(missing, r)
			}
		}
	}
	slices.SortFunc(missing, func(a, b Crash) int { return int(a.StoreMs - b.StoreMs) })
	return missing
}

// restoreDelay returns how long this VM waits before it writes again what a VM has written
// under a key.
func (t *Table) restoreDelay(by, key string) time.Duration {
	hash := xxhash.Sum64String(t.vm + "/" + by + "/" + key)
	if by == t.vm {
		return time.Duration(hash % uint64(ownRestoreSpread))
	}
	return othersRestoreDelay + time.Duration(hash%uint64(othersRestoreSpread))
}

// cancelRestore drops the writes of reports of other VMs that the store has again.
func (t *Table) cancelRestore(stored []Crash) {
	for _, c := range stored {
		if c.VM != t.vm {
			t.writes.remove(c.Key())
		}
	}
}
