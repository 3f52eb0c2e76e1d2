package quarantine

import "time"

const (
	// suspectRetention is how long crashes are remembered of a request that is not
	// quarantined, and quarantineRetention of one that is.
	suspectRetention    = 10 * time.Minute
	quarantineRetention = 24 * time.Hour
	// maxSuspects bounds the fingerprints that are remembered.
	maxSuspects = 4096
)

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
