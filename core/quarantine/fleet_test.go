package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"hawthornspar/core/revision"
)

// testFleet is a store and the tables of the VMs that share it, on virtual time.
type testFleet struct {
	now     time.Time
	crashes map[Key]Crash
	sounds  map[Key]Sound
	trials  map[Feature]Trial
	version revision.Version
	vms     []*Table
	writes  int // rows written
}

func newTestFleet(vms int) *testFleet {
	f := &testFleet{now: time.Unix(1_000, 0), crashes: map[Key]Crash{}, sounds: map[Key]Sound{}, trials: map[Feature]Trial{}}
	for i := range vms {
		f.vms = append(f.vms, f.newVM(fmt.Sprintf("vm%d", i)))
	}
	for _, t := range f.vms {
		t.SetVMs(vms)
	}
	return f
}

// newVM returns the table of a VM that has just read the store.
func (f *testFleet) newVM(name string) *Table {
	t := NewTable(name)
	t.SetStoreClock(f.now.UnixMilli(), f.now)
	t.Replace(f.content(), f.now)
	return t
}

func (f *testFleet) content() Change {
	return Change{Crashes: slices.Collect(maps.Values(f.crashes)), Sounds: slices.Collect(maps.Values(f.sounds)), Trials: slices.Collect(maps.Values(f.trials))}
}

// advance lets time pass.
func (f *testFleet) advance(d time.Duration) { f.now = f.now.Add(d) }

// settle lets the VMs share what they know, until crashes count.
func (f *testFleet) settle() {
	f.sync()
	f.advance(f.vms[0].settleTime(Progress{}))
	f.sync()
}

// sync writes what the VMs have recorded and lets all VMs read it.
func (f *testFleet) sync() {
	var change Change
	for _, t := range f.vms {
		pending, _ := t.Pending(2*maxWrites, f.now)
		for _, w := range pending {
			f.write(w, &change)
		}
		t.Written(pending)
	}
	change.Trials = slices.Collect(maps.Values(f.trials))
	for _, t := range f.vms {
		t.Apply(change, f.now)
	}
}

func (f *testFleet) write(w Write, change *Change) {
	f.writes++
	switch {
	case w.Crash != nil:
		f.crashes[w.Key()] = *w.Crash
		change.Crashes = append(change.Crashes, *w.Crash)
	case w.Sound != nil:
		f.sounds[w.Key()] = *w.Sound
		change.Sounds = append(change.Sounds, *w.Sound)
	default:
		change.Removed = append(change.Removed, w.Key())
		delete(f.crashes, w.Key())
		delete(f.sounds, w.Key())
		if w.Key().Kind == TrialKey {
			delete(f.trials, w.Key().Feature)
		}
	}
}

// rows returns the number of rows in the store.
func (f *testFleet) rows() int { return len(f.crashes) + len(f.sounds) + len(f.trials) }

// claim claims the trial that is due, as the store does, and reports whether it held.
func (f *testFleet) claim(t *Table, feature Feature, features ...Feature) bool {
	next, version := t.NextTrial(feature, append(features, feature), f.now)
	if f.trials[feature].Version != version {
		t.SetTrial(f.trials[feature])
		return false
	}
	f.version.Number++
	next.Version = f.version
	f.trials[feature] = next
	t.SetTrial(next)
	return true
}

// runs reports whether a VM would run a request now.
func (f *testFleet) runs(t *Table, features ...Feature) bool {
	d := t.Check(features, f.now)
	if d.Allowed || !d.TrialDue {
		return d.Allowed
	}
	for _, feature := range d.Quarantine {
		if !f.claim(t, feature, features...) {
			return false
		}
	}
	return true
}

// crash lets an endpoint crash while it ran a request with the given features.
func (f *testFleet) crash(t *Table, endpoint string, born int64, features ...Feature) {
	t.RecordCrash(Run{Features: features}, Incarnation{endpoint, born}, f.now)
}

// sound lets an endpoint run a request with the given features to its end, and reports
// whether other VMs are to be told.
func (f *testFleet) sound(t *Table, request string, features ...Feature) bool {
	return t.RecordSound(Run{Features: features, Request: request, Reached: Progress{Bytes: 1000}, Ended: true}, f.now)
}
