package endpoints

import "time"

// partsKept bounds the remembered prompt parts of one endpoint.
const partsKept = 4096

// Table holds the registered endpoints by service.
type Table struct {
	byID      map[string]*Endpoint
	byService map[string][]*Endpoint
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{byID: map[string]*Endpoint{}, byService: map[string][]*Endpoint{}}
}

// Change says what a registration changed.
type Change int

// Changes of registrations.
const (
	Unchanged Change = iota
	Learnt
	Leaving
	Reborn
	Returned
)

// Put takes a registration. It returns what changed.
func (t *Table) Put(r Registration) Change {
	e := t.byID[r.ID]
	if e != nil && (e.Service != r.Service || e.Address != r.Address || e.Born != r.Born) {
		t.Drop(r.ID)
		t.add(r)
		return Reborn
	}
	if e == nil {
		t.add(r)
		return Learnt
	}
	change := Unchanged
	if r.Draining && !e.Draining {
		change = Leaving
	}
	if !e.goneAt.IsZero() {
		change = Returned
	}
	e.Registration = r
	e.goneAt = time.Time{}
	return change
}

func (t *Table) add(r Registration) {
	e := &Endpoint{Registration: r, parts: map[string]time.Time{}}
	t.byID[r.ID] = e
	t.byService[r.Service] = append(t.byService[r.Service], e)
}

// Expire takes the removal of a registration: the endpoint gets no new work
// from gone on. It tells whether the endpoint was known.
func (t *Table) Expire(id string, gone time.Time) bool {
	e := t.byID[id]
	if e == nil {
		return false
	}
	if e.goneAt.IsZero() {
		e.goneAt = gone
	}
	return true
}

// Drop forgets an endpoint.
func (t *Table) Drop(id string) {
	e := t.byID[id]
	if e == nil {
		return
	}
	delete(t.byID, id)
	list := t.byService[e.Service]
	kept := make([]*Endpoint, 0, len(list))
	for _, o := range list {
		if o != e {
			kept = append(kept, o)
		}
	}
	t.byService[e.Service] = kept
}

// Sweep drops the endpoints that are gone and returns their ids.
func (t *Table) Sweep(now time.Time) []string {
	var gone []string
	for id, e := range t.byID {
		if !e.goneAt.IsZero() && !now.Before(e.goneAt) {
			gone = append(gone, id)
		}
	}
	for _, id := range gone {
		t.Drop(id)
	}
	return gone
}

// IDs returns the ids of all known endpoints.
func (t *Table) IDs() []string {
	ids := make([]string, 0, len(t.byID))
	for id := range t.byID {
		ids = append(ids, id)
	}
	return ids
}

// Registrations returns those of all endpoints that are not gone, with those
// whose registration lapsed and may come back.
func (t *Table) Registrations(now time.Time) []Registration {
	list := []Registration{}
	for _, e := range t.byID {
		if e.goneAt.IsZero() || now.Before(e.goneAt) {
			list = append(list, e.Registration)
		}
	}
	return list
}

// Get returns a known endpoint, or nil.
func (t *Table) Get(id string) *Endpoint { return t.byID[id] }

// Count returns the number of endpoints of a service that take new work.
func (t *Table) Count(service string, now time.Time) int {
	n := 0
	for _, e := range t.byService[service] {
		if e.usable(now) {
			n++
		}
	}
	return n
}

// String implements fmt.Stringer.
func (c Change) String() string {
	return [...]string{"unchanged", "learnt", "leaving", "reborn", "returned"}[c]
}
