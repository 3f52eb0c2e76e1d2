package quarantine

import "time"

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

// SetStoreClock sets the time of the store's clock. It also dates the crashes that
// were recorded before it was known. Each reading was late on its way, so the latest
// time that a reading stands for is the best, and the clock never goes back.
func (t *Table) SetStoreClock(ms int64, now time.Time) {
	wasKnown := t.clock.known()
	t.clock = storeClock{max(ms, t.clock.at(now)), now}
	if wasKnown {
		return
	}
	for _, i := range t.incidents {
		if i.atMs > 0 {
			continue
		}
		i.atMs = ms
		if r, ok := i.reports[t.vm]; ok {
			r.StoreMs = ms
			i.reports[t.vm] = r
		}
	}
	for _, w := range t.writes.all() {
		if w.Crash != nil && w.Crash.StoreMs == 0 {
			w.Crash.StoreMs = ms
		}
	}
	for _, s := range t.suspects {
		s.ordered = nil
	}
	t.unjudged = true
}
