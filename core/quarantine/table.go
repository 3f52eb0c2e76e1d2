package quarantine

import "time"

// crashLimit is the number of endpoints that a request has crashed when it is
// quarantined: one may have crashed for another reason.
const crashLimit = 2

// Crash is the crash of one incarnation of an endpoint while it ran a request.
type Crash struct {
	Fingerprint Fingerprint
	Endpoint    string // id
	Born        int64  // start of the incarnation in Unix milliseconds
	VM          string // name of the VM that reported the crash
	StoreMs     int64  // time of the report on the store's clock; 0 until that is known
}

// Key identifies a crash, or the trials of a fingerprint.
type Key struct {
	Fingerprint Fingerprint
	Endpoint    string // empty for the trials
	Born        int64
}

// Key returns the key of a crash.
func (c Crash) Key() Key { return Key{c.Fingerprint, c.Endpoint, c.Born} }

// Change is a set of changes that other VMs made.
type Change struct {
	Crashes []Crash
	Trials  []Trial
	Removed []Key
}

// Empty reports whether nothing changes.
func (c Change) Empty() bool { return len(c.Crashes)+len(c.Trials)+len(c.Removed) == 0 }

// Table holds the crashes and trials that a VM knows. It is not safe for concurrent
// use.
type Table struct {
	vm       string // name of this VM
	suspects map[Fingerprint]*suspect
	lost     []lostResponse
	writes   []Write // not yet in the store
	clock    storeClock
}

// suspect is what is known of one fingerprint.
type suspect struct {
	crashes map[Key]Crash
	trial   Trial
}

// NewTable returns the empty table of a VM.
func NewTable(vm string) *Table { return &Table{vm: vm, suspects: map[Fingerprint]*suspect{}} }

// Empty reports whether no request is suspect, so that Check allows all.
func (t *Table) Empty() bool { return len(t.suspects) == 0 }

// Quarantined returns the number of fingerprints that are quarantined.
func (t *Table) Quarantined() int {
	n := 0
	for _, s := range t.suspects {
		if s.quarantined() {
			n++
		}
	}
	return n
}

func (s *suspect) quarantined() bool { return len(s.crashes) >= crashLimit }

// RecordCrash records a crash that this VM has seen. It returns the number of
// crashes under the fingerprint, and whether the crash was unknown.
func (t *Table) RecordCrash(f Fingerprint, endpoint string, born int64, now time.Time) (crashes int, isNew bool) {
	c := Crash{Fingerprint: f, Endpoint: endpoint, Born: born, VM: t.vm, StoreMs: t.clock.at(now)}
	if s := t.suspects[f]; s != nil {
		if _, known := s.crashes[c.Key()]; known {
			return len(s.crashes), false
		}
	}
	t.add(c)
	t.queue(Write{Crash: &c})
	return len(t.suspects[f].crashes), true
}

func (t *Table) add(c Crash) {
	t.suspectOf(c.Fingerprint).crashes[c.Key()] = c
}

// Clear forgets a fingerprint, on all VMs, because an endpoint ran such a request to
// its end. It reports whether the fingerprint was suspect.
func (t *Table) Clear(f Fingerprint) bool {
	s := t.suspects[f]
	if s == nil {
		return false
	}
	for k := range s.crashes {
		t.queue(Write{Remove: k})
	}
	if s.trial.Version > 0 {
		t.queue(Write{Remove: Key{Fingerprint: f}})
	}
	delete(t.suspects, f)
	return true
}

// Apply applies changes of other VMs.
func (t *Table) Apply(c Change) {
	for _, crash := range c.Crashes {
		t.add(crash)
	}
	for _, trial := range c.Trials {
		t.applyTrial(trial)
	}
	for _, k := range c.Removed {
		t.remove(k)
	}
}

// remove applies the removal of a key by another VM.
func (t *Table) remove(k Key) {
	s := t.suspects[k.Fingerprint]
	if s == nil {
		return
	}
	if k.Endpoint == "" {
		s.trial = Trial{}
	} else {
		delete(s.crashes, k)
	}
	if len(s.crashes) == 0 {
		delete(t.suspects, k.Fingerprint)
	}
}

// Replace applies the complete content of the store: crashes and trials that it
// lacks are forgotten, unless they wait to be written.
func (t *Table) Replace(c Change) {
	t.suspects = map[Fingerprint]*suspect{}
	t.Apply(c)
	for _, w := range t.writes {
		if w.Crash != nil {
			t.add(*w.Crash)
		} else {
			t.remove(w.Remove)
		}
	}
}

// Quarantines returns the crashes and trials of the quarantined fingerprints, for a VM
// that cannot reach the store.
func (t *Table) Quarantines() (crashes []Crash, trials []Trial) {
	for _, s := range t.suspects {
		if !s.quarantined() {
			continue
		}
		for _, c := range s.crashes {
			crashes = append(crashes, c)
		}
		if s.trial.Version > 0 {
			trials = append(trials, s.trial)
		}
	}
	return crashes, trials
}
