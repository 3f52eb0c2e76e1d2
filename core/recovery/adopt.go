package recovery

import (
	"slices"
	"strings"
	"time"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/membership"
	"hawthornspar/core/world"
)

// composeAdopt closes a removed VM's row, which fences it, and takes over
// what it left to recover.
func (s *System) composeAdopt(w *world.World) ([]entity.Check, []entity.Put) {
	s.composed = step{kind: stepAdopt}
	dead, _ := s.adopt.Document.(entity.VMRow)
	own := s.registry.Row()
	own.Unrecovered = append(slices.Clone(own.Unrecovered), dead.Unrecovered...)
	own.Unrecovered = append(own.Unrecovered, dead.Incarnation)
	dead.Closed, dead.Unrecovered = true, nil
	checks := []entity.Check{{Key: s.adopt.Key, Version: s.adopt.Version}}
	puts := []entity.Put{
		{Key: s.adopt.Key, Document: dead},
		{Key: entity.VMKey(w.Self.Name), Document: own},
	}
	return checks, puts
}

// seekRemoved looks for a VM that the platform removed. The removed VM's
// nearest live peer adopts it; others would only conflict.
func (s *System) seekRemoved(w *world.World) {
	if s.adopting || w.Now.Before(s.adoptAt) {
		return
	}
	s.adoptAt = w.Now.Add(w.Policy.ListEvery)
	for _, p := range w.Peers.Rows() {
		if membership.Gone(w, p) && w.Now.Sub(p.AbsentSince) > w.Policy.ListLag+s.turn(w, p) {
			s.read(w, readRemoved, []string{entity.VMKey(p.Name)}, nil)
			return
		}
	}
}

// turn delays this VM behind those that are nearer to the removed one.
func (s *System) turn(w *world.World, p *entity.Peer) time.Duration {
	own := membership.Distance(p.Name, w.Self.Name)
	before := 0
	for _, q := range w.Heard() {
		if membership.Distance(p.Name, q.Name) < own {
			before++
		}
	}
	return time.Duration(before) * w.Policy.ListEvery
}

func (s *System) removedRead(w *world.World, e inbox.ReadDone) {
	if !e.OK || len(e.Rows) != 1 {
		return
	}
	row := e.Rows[0]
	vm, ok := row.Document.(entity.VMRow)
	if !ok || vm.Closed {
		w.Peers.Delete(strings.TrimPrefix(row.Key, entity.VMPrefix))
		return
	}
	s.adopt, s.adopting = row, true
}
