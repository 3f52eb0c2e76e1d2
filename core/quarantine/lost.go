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
	fingerprint Fingerprint
	endpoint    string
	born        int64
	at          time.Time
}

// RecordLostResponse remembers a request whose response was lost, in case its endpoint
// turns out to have crashed.
func (t *Table) RecordLostResponse(f Fingerprint, endpoint string, born int64, now time.Time) {
	if len(t.lost) >= maxLostResponses {
		t.lost = t.lost[1:]
	}
	t.lost = append(t.lost, lostResponse{f, endpoint, born, now})
}

// ConfirmCrash records the crash of an endpoint that was removed from the registry, or
// has started again at the time born, for all requests whose responses were lost at an
// earlier incarnation. It returns their fingerprints.
func (t *Table) ConfirmCrash(endpoint string, born int64, now time.Time) []Fingerprint {
	var confirmed []Fingerprint
	t.lost = slices.DeleteFunc(t.lost, func(l lostResponse) bool {
		if now.Sub(l.at) > lostResponseWindow {
			return true
		}
		if l.endpoint != endpoint || l.born == born {
			return false
		}
		if _, isNew := t.RecordCrash(l.fingerprint, endpoint, l.born, now); isNew {
			confirmed = append(confirmed, l.fingerprint)
		}
		return true
	})
	return confirmed
}
