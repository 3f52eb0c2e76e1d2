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
		s.place(w, r, s.chooser.Choose(w, r, candidates(w, r)))
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

// room remembers in one tick which services have no endpoint with room left.
// Room only shrinks while requests are placed.
type room struct {
	world *world.World
	full  entity.Table[string, bool]
}

func newRoom(w *world.World) *room { return &room{world: w} }

func (m *room) open(r *entity.Request) bool {
	if r.SoleSuspect || len(r.Avoid) > 0 {
		return len(candidates(m.world, r)) > 0
	}
	if full, _ := m.full.Get(r.Service); full {
		return false
	}
	if len(candidates(m.world, r)) == 0 {
		m.full.Put(r.Service, true)
		return false
	}
	return true
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
