package endpoints

import (
	"time"

	"hawthornspar/core/coldstart"
)

// maxPrefixBlocks bounds the prefix blocks that are tracked for one endpoint.
// When there are more, all of them are discarded.
const maxPrefixBlocks = 4096

// Table holds the known endpoints by id and by service. It is not safe for
// concurrent use.
type Table struct {
	byID      map[string]*Endpoint
	byService map[string][]*Endpoint
	models    map[string]*model   // by service; kept while the service has no endpoints
	profiles  map[string]*profile // by service, as models
	fleet     *fleetView

	coldRules    coldRules
	vm           coldstart.VM
	ownerVersion int                  // changes with what decides the owners of cold endpoints
	complete     bool                 // a complete registry was applied
	departed     map[string]departure // dropped endpoints by id
	evacuations  evacuations
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		byID: map[string]*Endpoint{}, byService: map[string][]*Endpoint{}, models: map[string]*model{},
		profiles: map[string]*profile{}, fleet: &fleetView{share: 1},
		departed: map[string]departure{}, evacuations: evacuations{map[string]bool{}, map[string]time.Time{}},
	}
}

// Change is the effect of a registration on the table.
type Change int

// Effects of registrations.
const (
	// Unchanged: the endpoint was known, and no other change applies.
	Unchanged Change = iota
	// Added: the endpoint was not known.
	Added
	// DrainStarted: the endpoint accepts no new requests from now on.
	DrainStarted
	// Restarted: the endpoint has another start time, address or service, so
	// what was known of it was discarded.
	Restarted
	// Reregistered: the endpoint registered again after its registration was
	// removed or an attempt was misdirected.
	Reregistered
	// DrainEnded: the endpoint accepts new requests again.
	DrainEnded
)

// Put adds or updates a registration and returns its effect.
func (t *Table) Put(r Registration) Change {
	e := t.byID[r.ID]
	if e != nil && (e.Service != r.Service || e.Address != r.Address || e.Born != r.Born) {
		t.Drop(r.ID)
		t.add(r)
		return Restarted
	}
	if e == nil {
		t.add(r)
		return Added
	}
	change := Unchanged
	if r.Draining && !e.Draining {
		change = DrainStarted
	}
	if e.Draining && !r.Draining {
		change = DrainEnded
	}
	if !e.expiresAt.IsZero() {
		change = Reregistered
	}
	e.Registration = r
	e.expiresAt = time.Time{}
	return change
}

func (t *Table) add(r Registration) {
	if t.models[r.Service] == nil {
		t.models[r.Service] = newModel()
		t.profiles[r.Service] = newProfile()
	}
	e := &Endpoint{
		Registration: r, model: t.models[r.Service], profile: t.profiles[r.Service], fleet: t.fleet, speed: 1,
		blockLastUsed: map[string]time.Time{},
	}
	t.byID[r.ID] = e
	t.byService[r.Service] = append(t.byService[r.Service], e)
}

// Expire applies the removal of a registration: from at on, the endpoint gets no
// new requests unless it registers again. An expiry time that is already set
// stays. Expire reports whether the endpoint was known.
func (t *Table) Expire(id string, at time.Time) bool {
	e := t.byID[id]
	if e == nil {
		return false
	}
	if e.expiresAt.IsZero() {
		e.expiresAt = at
	}
	return true
}

// Drop removes an endpoint and what was known of it.
func (t *Table) Drop(id string) {
	e := t.byID[id]
	if e == nil {
		return
	}
	delete(t.byID, id)
	t.departed[id] = departure{born: e.Born, cold: e.cold, leavingSince: e.leavingSince}
	list := t.byService[e.Service]
	kept := make([]*Endpoint, 0, len(list))
	for _, o := range list {
		if o != e {
			kept = append(kept, o)
		}
	}
	t.byService[e.Service] = kept
}

// DropExpired drops the endpoints that have expired and returns their ids.
func (t *Table) DropExpired(now time.Time) []string {
	var expired []string
	for id, e := range t.byID {
		if !e.expiresAt.IsZero() && !now.Before(e.expiresAt) {
			expired = append(expired, id)
		}
	}
	for _, id := range expired {
		t.Drop(id)
	}
	t.forgetDepartures(now)
	return expired
}

// IDs returns the ids of all known endpoints.
func (t *Table) IDs() []string {
	ids := make([]string, 0, len(t.byID))
	for id := range t.byID {
		ids = append(ids, id)
	}
	return ids
}

// Registrations returns the registrations of all endpoints that have not
// expired. expiring holds how much longer those are used that were removed from
// the registry and are in their grace period, by id.
func (t *Table) Registrations(now time.Time) (list []Registration, expiring map[string]time.Duration) {
	list, expiring = []Registration{}, map[string]time.Duration{}
	for id, e := range t.byID {
		switch {
		case e.expiresAt.IsZero():
		case now.Before(e.expiresAt):
			expiring[id] = e.expiresAt.Sub(now)
		default:
			continue
		}
		r := e.Registration
		r.ColdRemaining = max(t.coldUntil(e).Sub(now), 0)
		list = append(list, r)
	}
	return list, expiring
}

// Get returns the endpoint with an id, or nil when there is none.
func (t *Table) Get(id string) *Endpoint { return t.byID[id] }

// Accepts reports whether an endpoint that was chosen earlier is still registered
// and accepts new requests.
func (t *Table) Accepts(e *Endpoint, now time.Time) bool {
	return t.byID[e.ID] == e && t.accepts(e, now)
}

// accepts reports whether an endpoint accepts new requests, apart from limits while it is
// cold.
func (t *Table) accepts(e *Endpoint, now time.Time) bool { return e.usable(now) && !t.IsEvacuated(e) }

// HasLeft reports whether an endpoint that was chosen earlier has left, or is leaving, by
// the registry or its own word. One that wants no requests for a time has not.
func (t *Table) HasLeft(e *Endpoint, now time.Time) bool {
	return t.byID[e.ID] != e || !e.registered(now)
}

// Count returns the number of endpoints of a service that accept new requests.
func (t *Table) Count(service string, now time.Time) int {
	n := 0
	for _, e := range t.byService[service] {
		if t.accepts(e, now) {
			n++
		}
	}
	return n
}

// String implements fmt.Stringer.
func (c Change) String() string {
	return [...]string{"unchanged", "learnt", "leaving", "reborn", "returned", "stays"}[c]
}
