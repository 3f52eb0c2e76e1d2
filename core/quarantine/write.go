package quarantine

// maxWrites bounds the changes that wait for the store.
const maxWrites = 2 * maxSuspects

// Write is a change for the store: a crash to add, or a key to remove.
type Write struct {
	Crash  *Crash // nil for a removal
	Remove Key
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
