package endpoints

import "time"

// departureMemory is how long a dropped endpoint is remembered, as it may have lost only its
// registration, in an outage of the store. When it returns, it does not count as started, and
// is still leaving if it has said so. The time covers several lost heartbeats and an outage.
const departureMemory = 10 * time.Minute

// departure is what is remembered of a dropped endpoint.
type departure struct {
	at           time.Time // zero until DropExpired is called next
	born         int64
	cold         coldness
	leavingSince time.Time
}

// noteStart notes that an endpoint has started, unless it is only registered again. Its
// earlier incarnation's sends still count.
func (t *Table) noteStart(e *Endpoint, change Change, now time.Time) {
	d, known := t.departed[e.ID]
	delete(t.departed, e.ID)
	if known && change == Added && d.born == e.Born && e.Born != 0 {
		e.cold, e.leavingSince = d.cold, d.leavingSince
		return
	}
	e.cold.sends = d.cold.sends
	if t.complete {
		e.cold.startedAt = now
	}
}

// RecordLeaving records that an endpoint that was chosen earlier says it is leaving, also if
// it was dropped meanwhile. It reports whether that was unknown.
func (t *Table) RecordLeaving(e *Endpoint, now time.Time) bool {
	if d, ok := t.departed[e.ID]; ok && d.born == e.Born {
		d.leavingSince = now
		t.departed[e.ID] = d
	}
	return t.Current(e).RecordLeaving(now)
}

// RegisterExpiring applies a registration that another VM knows to be missing, and whose
// endpoint that VM uses for the rest of a grace period. It neither takes back an endpoint that
// is known to have left nor extends its grace period.
func (t *Table) RegisterExpiring(r Registration, rest time.Duration, now time.Time) Change {
	if d, ok := t.departed[r.ID]; ok && d.born == r.Born {
		return Unchanged
	}
	change := Unchanged
	if e := t.byID[r.ID]; e == nil || e.Born != r.Born {
		change = t.Register(r, now)
	}
	t.Expire(r.ID, now.Add(rest))
	return change
}

// HasSeenLeave reports whether the incarnation of a registration is known to be draining, or
// was dropped, though the registration says otherwise.
func (t *Table) HasSeenLeave(r Registration) bool {
	if e := t.byID[r.ID]; e != nil {
		return e.Born == r.Born && e.Draining && !r.Draining
	}
	d, ok := t.departed[r.ID]
	return ok && d.born == r.Born
}

// forgetDepartures drops what is remembered for longer than departureMemory.
func (t *Table) forgetDepartures(now time.Time) {
	for id, d := range t.departed {
		if d.at.IsZero() {
			d.at = now
			t.departed[id] = d
		}
		if now.Sub(d.at) > departureMemory {
			delete(t.departed, id)
		}
	}
}
