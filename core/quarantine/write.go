package quarantine

import "time"

const (
	// maxWrites bounds the changes that wait for the store.
	maxWrites = 2 * maxIncidents
	// maxPendingBytes bounds the changes that are written at once, but for the last.
	maxPendingBytes = 256 << 10
)

// Write is a change for the store; one of its fields is set.
type Write struct {
	Crash    *Crash
	Sound    *Sound
	Remove   *Key
	sequence int64 // of the change, in the order in which changes were made
}

// Key returns the key that is written or removed.
func (w Write) Key() Key {
	switch {
	case w.Crash != nil:
		return w.Crash.Key()
	case w.Sound != nil:
		return w.Sound.Key()
	}
	return *w.Remove
}

// writeQueue holds the changes that are not yet in the store, the last of each key.
type writeQueue struct {
	pending  map[Key]*pendingWrite
	order    []Key // in the order in which they were first changed
	sequence int64
}

type pendingWrite struct {
	write Write
	due   time.Time // earliest time of the write
}

// queueAt adds a change for the store, which is written at a time at the earliest, or
// replaces the one with the same key. When there are too many, the oldest is dropped.
func (t *Table) queueAt(w Write, due time.Time) {
	q := &t.writes
	q.sequence++
	w.sequence = q.sequence
	if p := q.pending[w.Key()]; p != nil {
		p.write = w
		if due.Before(p.due) {
			p.due = due
		}
		return
	}
	if len(q.order) >= maxWrites {
		delete(q.pending, q.order[0])
		q.order = q.order[1:]
	}
	q.pending[w.Key()] = &pendingWrite{w, due}
	q.order = append(q.order, w.Key())
}

func (t *Table) queueRemoval(k Key) { t.queueAt(Write{Remove: &k}, time.Time{}) }

// all returns the changes in order.
func (q *writeQueue) all() []Write {
	var list []Write
	for _, k := range q.order {
		list = append(list, q.pending[k].write)
	}
	return list
}

func (q *writeQueue) remove(k Key) {
	delete(q.pending, k)
	for i, other := range q.order {
		if other == k {
			q.order = append(q.order[:i:i], q.order[i+1:]...)
			return
		}
	}
}

// Pending returns the oldest changes that may be written now, at most limit, and when
// the next one may be; zero if none waits. There are none until the store's clock is
// known, which dates them.
func (t *Table) Pending(limit int, now time.Time) (due []Write, next time.Time) {
	if !t.clock.known() {
		return nil, time.Time{}
	}
	t.updateSounds()
	size := 0
	for _, k := range t.writes.order {
		p := t.writes.pending[k]
		switch {
		case p.due.After(now):
			if next.IsZero() || p.due.Before(next) {
				next = p.due
			}
		case len(due) < limit && size < maxPendingBytes:
			due = append(due, p.write)
			size += p.write.size()
		}
	}
	return due, next
}

// size returns about the bytes of a change in the store.
func (w Write) size() int {
	if w.Crash == nil {
		return maxFeatureBytes
	}
	return totalBytes(w.Crash.Features)
}

// updateSounds adds to sound runs that wait for the store what other VMs have testified
// since, and drops those which that has made needless.
func (t *Table) updateSounds() {
	for _, w := range t.writes.all() {
		if w.Sound == nil {
			continue
		}
		s := t.suspects[w.Sound.Feature]
		if s == nil || !s.testimonyNeeded() {
			t.writes.remove(w.Key())
			continue
		}
		*w.Sound = s.sound
	}
}

// Written removes changes, which are in the store now, unless they have changed since.
func (t *Table) Written(list []Write) {
	for _, w := range list {
		if p := t.writes.pending[w.Key()]; p != nil && p.write.sequence == w.sequence {
			t.writes.remove(w.Key())
		}
		if w.Sound != nil {
			t.applySound(*w.Sound)
		}
	}
}
