package dispatch

import (
	"hawthornspar/core/entity"
	"hawthornspar/core/world"
)

// send gives room to waiting requests until there is none.
func (s *System) send(w *world.World) {
	room := newRoom(w)
	for {
		q, r := s.next(room.open)
		if r == nil {
			return
		}
		q.serve(r)
		s.credit(q, r.Cost)
		q.rate.add(w.Now, r.Cost)
		s.place(w, r, s.chooser.Choose(w, r, room.candidates(r)))
		room.placed()
	}
}

// next returns a request of a lower rank whose floor is due, else one of the
// most urgent rank.
func (s *System) next(o open) (*rankQueue, *entity.Request) {
	var queue *rankQueue
	var urgent *entity.Request
	for _, q := range s.ranks {
		if q.waiting == 0 {
			continue
		}
		if urgent != nil && q.credit == 0 {
			continue
		}
		r := q.peek(o)
		if r == nil {
			continue
		}
		if urgent == nil {
			queue, urgent = q, r
			continue
		}
		if q.credit >= min(r.Cost, maxCreditTokens) {
			return q, r
		}
	}
	return queue, urgent
}

// room keeps, between two placements, the endpoints that have room for each
// service.
type room struct {
	world *world.World
	found entity.Table[string, []*entity.Endpoint]
}

func newRoom(w *world.World) *room { return &room{world: w} }

// open tells whether some endpoint may get the request now.
func (m *room) open(r *entity.Request) bool { return len(m.candidates(r)) > 0 }

// candidates returns the endpoints that may get the request now. Those of a
// request that some endpoints must not get are looked up for it alone.
func (m *room) candidates(r *entity.Request) []*entity.Endpoint {
	if r.SoleSuspect || len(r.Avoid) > 0 {
		return candidates(m.world, r)
	}
	found, ok := m.found.Get(r.Service)
	if !ok {
		found = candidates(m.world, r)
		m.found.Put(r.Service, found)
	}
	return found
}

// placed forgets what a placement may have changed. A service without room
// stays so: room only shrinks while requests are placed.
func (m *room) placed() {
	for _, service := range m.found.Keys() {
		if found, _ := m.found.Get(service); len(found) > 0 {
			m.found.Delete(service)
		}
	}
}

// credit lets the other waiting ranks earn their floors from what one rank is
// served.
func (s *System) credit(served *rankQueue, cost int64) {
	for _, q := range s.ranks {
		switch {
		case q == served:
			q.credit = max(q.credit-cost, 0)
		case q.waiting > 0:
			q.credit = min(q.credit+cost*int64(q.floor)/100, maxCreditTokens)
		default:
			q.credit = 0
		}
	}
}
