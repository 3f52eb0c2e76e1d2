package quarantine

import "time"

const (
	// crashLimit is the number of endpoints that a request has crashed when it is
	// quarantined: one may have crashed for another reason.
	crashLimit = 2
	// suspectRetention is how long crashes are remembered of a request that is not
	// quarantined, and quarantineRetention of one that is.
	suspectRetention    = 10 * time.Minute
	quarantineRetention = 24 * time.Hour
	// maxSuspects bounds the fingerprints that are remembered.
	maxSuspects = 4096
	// maxWrites bounds the changes that wait for the store.
	maxWrites = 2 * maxSuspects
)

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

// Write is a change for the store: a crash to add, or a key to remove.
type Write struct {
	Crash  *Crash // nil for a removal
	Remove Key
}

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

// storeClock is a reading of the store's clock.
type storeClock struct {
	ms     int64
	readAt time.Time
}

func (c storeClock) known() bool { return !c.readAt.IsZero() }

// at returns the store's time in milliseconds; 0 if it was never read.
func (c storeClock) at(now time.Time) int64 {
	if !c.known() {
		return 0
	}
	return c.ms + now.Sub(c.readAt).Milliseconds()
}

// NewTable returns the empty table of a VM.
func NewTable(vm string) *Table { return &Table{vm: vm, suspects: map[Fingerprint]*suspect{}} }

// SetStoreClock sets the time of the store's clock. It also dates the crashes that
// were recorded before it was known.
func (t *Table) SetStoreClock(ms int64, now time.Time) {
	wasKnown := t.clock.known()
	t.clock = storeClock{ms, now}
	if wasKnown {
		return
	}
	for _, s := range t.suspects {
		for k, c := range s.crashes {
			if c.StoreMs == 0 {
				c.StoreMs = ms
				s.crashes[k] = c
			}
		}
	}
	for _, w := range t.writes {
		if w.Crash != nil && w.Crash.StoreMs == 0 {
			w.Crash.StoreMs = ms
		}
	}
}

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

// suspectOf returns the suspect with a fingerprint and adds it if there is none. If
// there are too many, it first forgets one.
func (t *Table) suspectOf(f Fingerprint) *suspect {
	s := t.suspects[f]
	if s != nil {
		return s
	}
	if len(t.suspects) >= maxSuspects {
		t.forget(t.leastUseful(), false)
	}
	s = &suspect{crashes: map[Key]Crash{}}
	t.suspects[f] = s
	return s
}

// leastUseful returns the fingerprint whose last crash or trial is the oldest, of those
// that are not quarantined if there are any.
func (t *Table) leastUseful() Fingerprint {
	var least Fingerprint
	for f, s := range t.suspects {
		if l := t.suspects[least]; l == nil || s.lessUseful(l) {
			least = f
		}
	}
	return least
}

func (s *suspect) lessUseful(than *suspect) bool {
	if s.quarantined() != than.quarantined() {
		return than.quarantined()
	}
	return s.lastMs() < than.lastMs()
}

// lastMs returns the store's time of the last crash or trial.
func (s *suspect) lastMs() int64 {
	last := s.trial.StoreMs
	for _, c := range s.crashes {
		last = max(last, c.StoreMs)
	}
	return last
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

// Expire forgets what is too old. The store's rows are removed by the VM that
// reported them, or by any VM if they are still there after twice that time.
func (t *Table) Expire(now time.Time) {
	nowMs := t.clock.at(now)
	for f, s := range t.suspects {
		retention := suspectRetention
		if s.quarantined() {
			retention = quarantineRetention
		}
		age := time.Duration(nowMs-s.lastMs()) * time.Millisecond
		if age > retention {
			t.forget(f, age > 2*retention)
		}
	}
}

// forget removes a fingerprint from this table, and from the store what this VM
// reported, or all of it.
func (t *Table) forget(f Fingerprint, all bool) {
	s := t.suspects[f]
	for k, c := range s.crashes {
		if all || c.VM == t.vm {
			t.queue(Write{Remove: k})
		}
	}
	if s.trial.Version > 0 && (all || s.trial.VM == t.vm) {
		t.queue(Write{Remove: Key{Fingerprint: f}})
	}
	delete(t.suspects, f)
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

// queue adds a change for the store. When there are too many, the oldest is dropped.
func (t *Table) queue(w Write) {
	if len(t.writes) >= maxWrites {
		t.writes = t.writes[1:]
	}
	t.writes = append(t.writes, w)
}

// Pending returns the oldest changes that are not yet in the store, at most limit;
// none until the store's clock is known, which dates them.
func (t *Table) Pending(limit int) []Write {
	if !t.clock.known() {
		return nil
	}
	return append([]Write{}, t.writes[:min(limit, len(t.writes))]...)
}

// Written removes the oldest n changes, which are in the store now.
func (t *Table) Written(n int) { t.writes = t.writes[min(n, len(t.writes)):] }
