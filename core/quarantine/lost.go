package quarantine

import (
	"slices"
	"time"
)

const (
	// lostResponseWindow is how long after a lost response its endpoint's restart or
	// removal shows that it crashed: the time after which a silent endpoint is removed
	// from the registry, and some more.
	lostResponseWindow = 8 * time.Second
	// maxLostResponses bounds the responses that are remembered.
	maxLostResponses = 1024
)

// lostResponse is a request whose response was lost at an endpoint that has not been
// seen to crash.
type lostResponse struct {
	run         Run
	incarnation Incarnation
	at          time.Time
	atMs        int64 // the same on the store's clock; 0 if that was unknown
}

// RecordLostResponse remembers a request whose response was lost, in case its endpoint
// turns out to have crashed.
func (t *Table) RecordLostResponse(r Run, in Incarnation, now time.Time) {
	if len(t.lost) >= maxLostResponses {
		t.lost = t.lost[1:]
	}
	t.lost = append(t.lost, lostResponse{r, in, now, t.clock.at(now)})
}

// ConfirmCrash records the crash of an endpoint that was removed from the registry, or
// has started again at the time born, for all requests whose responses were lost at an
// earlier incarnation. It returns their features.
func (t *Table) ConfirmCrash(endpoint string, born int64, now time.Time) []Feature {
	var confirmed []Feature
	t.lost = slices.DeleteFunc(t.lost, func(l lostResponse) bool {
		if now.Sub(l.at) > lostResponseWindow {
			return true
		}
		if l.incarnation.Endpoint != endpoint || l.incarnation.Born == born {
			return false
		}
		if t.recordCrashAt(l.run, l.incarnation, l.atMs, now) {
			confirmed = appendNew(confirmed, l.run.Features)
		}
		return true
	})
	return confirmed
}
