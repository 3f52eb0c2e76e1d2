package endpoints

import "time"

const (
	// minOutage is the least time between the first and the last failed request to the store
	// in an outage. Registrations expire after several missed heartbeats, so those of living
	// endpoints outlast a single lost response, a lost history and a short suspension of the VM.
	minOutage = time.Second
	// registrationTime is how long after the last failed request living endpoints have to register
	// again. Within two seconds after the store has returned they have, and that may be some
	// time after the request was sent.
	registrationTime = 2800 * time.Millisecond
	// maxGrace is how long an endpoint is used at most after it may have begun to leave. The
	// shortest notice of the users' sites is two seconds.
	maxGrace = 1800 * time.Millisecond
)

// Outage is what a VM knows of the last time in which the store did not respond. An outage may
// remove the registrations of endpoints that live, which register again when it is over. The
// zero value is no outage.
type Outage struct {
	firstFailure time.Time // when the first request without a response was sent
	lastFailure  time.Time // when the last one was sent
	over         bool      // whether the store has responded since
}

// Record records whether the store responded to a request that was sent at the given time.
func (o *Outage) Record(sent time.Time, responded bool) {
	if responded {
		o.over = true
		return
	}
	if o.over || o.firstFailure.IsZero() {
		o.firstFailure, o.over = sent, false
	}
	o.lastFailure = sent
}

// RecordStepBack records that the store has come back from a copy of an earlier time. It lacks
// the registrations of living endpoints that have not registered again since, as after an
// outage.
func (o *Outage) RecordStepBack(at time.Time) {
	o.firstFailure, o.lastFailure, o.over = at.Add(-minOutage), at, true
}

// GraceEnd returns the time until which an endpoint is used whose registration turns out to be
// missing now, and was there by the response to a request that was sent at the time confirmed.
// The endpoint has left, and is used no longer, unless an outage may have removed the
// registration. Even then it may have left, and serve for its notice only, which begins with
// the removal and not when the VM learns of it.
func (o Outage) GraceEnd(confirmed, now time.Time) time.Time {
	end := o.lastFailure.Add(registrationTime)
	if o.lastFailure.Sub(o.firstFailure) < minOutage || end.Before(now) {
		return now
	}
	begin := now
	if confirmed.After(o.lastFailure) { // so it was removed after the store had returned
		begin = confirmed
	}
	if latest := begin.Add(maxGrace); latest.Before(end) {
		end = latest
	}
	return later(end, now)
}
