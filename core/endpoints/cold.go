package endpoints

import (
	"time"

	"hawthornspar/core/coldstart"
)

// registryDelay is how long the registry may take to report that an endpoint has
// restarted after its connections broke.
const registryDelay = 2500 * time.Millisecond

// coldness is what a VM knows of the times at which an endpoint is cold, and what the VM
// has sent to it.
type coldness struct {
	statedUntil time.Time // by its registrations and responses; the latest counts
	startedAt   time.Time // when it was learnt to have started; zero if it was known from the first complete read
	brokenAt    time.Time // when a connection to it was last refused or reset
	sends       coldstart.Window
	ownerCheck  int  // Table.ownerVersion of the last check of ownership
	owned       bool // whether the VM is an owner by that check
}

// coldRules are the rules for cold endpoints in force, by service. Services whose endpoints
// are never cold are missing.
type coldRules struct {
	tolerances map[string]coldstart.Tolerance
	limits     map[string]coldstart.Limit
}

// SetColdRules sets what cold endpoints tolerate, by service. Endpoints of other services,
// and of services that state no rate, are never cold.
func (t *Table) SetColdRules(tolerances map[string]coldstart.Tolerance, m coldstart.Margin) {
	t.coldRules = coldRules{map[string]coldstart.Tolerance{}, map[string]coldstart.Limit{}}
	for name, tolerance := range tolerances {
		if tolerance.PerSecond <= 0 {
			continue
		}
		tolerance.Start = coldstart.Clip(tolerance.Start)
		t.coldRules.tolerances[name], t.coldRules.limits[name] = tolerance, coldstart.LimitFor(tolerance, m)
	}
	t.ownerVersion++
}

// SetVM sets the VM and the members of its fleet, which decide the cold endpoints that it
// may send to.
func (t *Table) SetVM(v coldstart.VM) {
	t.vm = v
	t.ownerVersion++
}

// SetComplete records that a complete registry was applied. Endpoints that are learnt from
// then on have just started.
func (t *Table) SetComplete() { t.complete = true }

// Register adds or updates a registration as Put does, and notes when the endpoint is cold.
func (t *Table) Register(r Registration, now time.Time) Change {
	change := t.Put(r)
	e := t.byID[r.ID]
	if change == Added || change == Restarted {
		t.noteStart(e, change, now)
	}
	e.RecordCold(r.ColdRemaining, now)
	return change
}

// RecordCold records that the endpoint states to be cold for a time. It reports whether that
// is later than what it stated before.
func (e *Endpoint) RecordCold(d time.Duration, now time.Time) bool {
	until := now.Add(coldstart.Clip(d))
	if d <= 0 || !until.After(e.cold.statedUntil) {
		return false
	}
	e.cold.statedUntil = until
	return true
}

// Current returns the entry of the same incarnation as an endpoint that was chosen earlier,
// which may have been dropped and registered again since; e itself if there is none.
func (t *Table) Current(e *Endpoint) *Endpoint {
	if current := t.byID[e.ID]; current != nil && current.Born == e.Born {
		return current
	}
	return e
}

// RecordBroken records that a connection to the endpoint was refused or reset, after which
// it may be starting anew.
func (e *Endpoint) RecordBroken(now time.Time) { e.cold.brokenAt = now }

// coldUntil returns the end of the endpoint's cold time; zero if it has not been cold or
// endpoints of its service never are.
func (t *Table) coldUntil(e *Endpoint) time.Time {
	tolerance, ok := t.coldRules.tolerances[e.Service]
	if !ok {
		return time.Time{}
	}
	until := e.cold.statedUntil
	if !e.cold.startedAt.IsZero() {
		until = later(until, e.cold.startedAt.Add(tolerance.Start))
	}
	if !e.cold.brokenAt.IsZero() {
		until = later(until, e.cold.brokenAt.Add(tolerance.Start+registryDelay))
	}
	if ended, ok := t.evacuations.endedAt[e.Domain]; ok {
		until = later(until, ended.Add(tolerance.Start))
	}
	return until
}

// ColdLeft returns how much longer an endpoint is cold; 0 if it is not, or is unknown.
func (t *Table) ColdLeft(id string, now time.Time) time.Duration {
	e := t.byID[id]
	if e == nil {
		return 0
	}
	return max(t.coldUntil(e).Sub(now), 0)
}

// coldWait returns the time until this VM may send a request to an endpoint, as far as the
// endpoint is cold; 0 if it may be sent now.
func (t *Table) coldWait(e *Endpoint, now time.Time) time.Duration {
	left := t.coldUntil(e).Sub(now)
	if left <= 0 {
		return 0
	}
	if !t.owns(e) {
		return left
	}
	return min(left, max(t.vm.Silence(now), e.cold.sends.Wait(t.coldRules.limits[e.Service].PerOwner, now)))
}

// owns reports whether this VM is an owner of an endpoint.
func (t *Table) owns(e *Endpoint) bool {
	if e.cold.ownerCheck != t.ownerVersion {
		e.cold.ownerCheck, e.cold.owned = t.ownerVersion, t.vm.Owns(e.ID, t.coldRules.limits[e.Service].Owners)
	}
	return e.cold.owned
}

// TakeSend reports whether a request may be written now to an endpoint that was chosen
// earlier, as far as the endpoint is cold, and counts it if so. Requests to endpoints that
// are not cold count too, as one may turn cold at any moment.
func (t *Table) TakeSend(e *Endpoint, now time.Time) bool {
	if t.coldWait(e, now) > 0 {
		return false
	}
	if limit, ok := t.coldRules.limits[e.Service]; ok {
		e.cold.sends.Count(limit.PerOwner, now)
	}
	return true
}

// ColdEnd returns the time until this VM may send to the first cold endpoint of a service.
// It returns 0 if no endpoint is cold, or one may be sent to.
func (t *Table) ColdEnd(service string, now time.Time) time.Duration {
	first := time.Duration(0)
	for _, e := range t.byService[service] {
		if !t.accepts(e, now) {
			continue
		}
		d := t.coldWait(e, now)
		if d == 0 {
			return 0
		}
		if first == 0 || d < first {
			first = d
		}
	}
	return first
}

// ColdCount returns the number of endpoints that are cold.
func (t *Table) ColdCount(now time.Time) int {
	n := 0
	for _, e := range t.byID {
		if now.Before(t.coldUntil(e)) {
			n++
		}
	}
	return n
}
