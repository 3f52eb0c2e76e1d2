package endpoints

import "time"

// What an endpoint says of itself in its responses binds this VM, whatever the registry
// says, until the endpoint starts anew.
const (
	// maxPause bounds how long an endpoint that turned a request away gets none.
	maxPause = 10 * time.Minute
	// returnTime is how long after a pause or a cold time an endpoint is chosen less often, so that
	// not all VMs return at once, and maxReturnPenaltyMs what is added to its estimate
	// at first.
	returnTime         = 2 * time.Second
	maxReturnPenaltyMs = 200.0
)

// RecordLeaving records that the endpoint says it is leaving. It reports whether that
// was unknown.
func (e *Endpoint) RecordLeaving(now time.Time) bool {
	if e.saysLeaving() {
		return false
	}
	e.leavingSince = now
	return true
}

func (e *Endpoint) saysLeaving() bool { return !e.leavingSince.IsZero() }

// RecordPause records that the endpoint wants no requests of this VM for a time. It
// reports whether that is later than what was known.
func (e *Endpoint) RecordPause(d time.Duration, now time.Time) bool {
	until := now.Add(min(d, maxPause))
	if d <= 0 || !until.After(e.pausedUntil) {
		return false
	}
	e.pausedUntil = until
	return true
}

func (e *Endpoint) paused(now time.Time) bool { return now.Before(e.pausedUntil) }

// returnPenaltyMs returns the milliseconds that a pause which has ended, or a cold time,
// adds to an endpoint's estimate. It is largest throughout a cold time.
func (t *Table) returnPenaltyMs(e *Endpoint, now time.Time) float64 {
	end := later(e.pausedUntil, t.coldUntil(e))
	if end.IsZero() {
		return 0
	}
	rest := 1 - now.Sub(end).Seconds()/returnTime.Seconds()
	return maxReturnPenaltyMs * min(max(rest, 0), 1)
}

// Notices counts the endpoints of a service that get no requests because of what they
// have said, or because they are cold or evacuated.
type Notices struct{ Leaving, Paused, Cold, Evacuated int }

// count counts an endpoint that accepts no requests.
func (n *Notices) count(e *Endpoint, now time.Time) {
	switch {
	case e.saysLeaving():
		n.Leaving++
	case e.paused(now):
		n.Paused++
	case e.registered(now): // and not usable, so its domain is evacuated
		n.Evacuated++
	}
}

// PauseEnd returns the time until the first pause of an endpoint of the service ends. It
// returns 0 if none is paused, or an endpoint accepts requests.
func (t *Table) PauseEnd(service string, now time.Time) time.Duration {
	first := time.Duration(0)
	for _, e := range t.byService[service] {
		if t.accepts(e, now) && t.coldWait(e, now) == 0 {
			return 0
		}
		if !e.registered(now) || !e.paused(now) || t.IsEvacuated(e) {
			continue
		}
		if d := e.pausedUntil.Sub(now); first == 0 || d < first {
			first = d
		}
	}
	return first
}
