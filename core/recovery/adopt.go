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

// composeAdopt closes the row of a removed VM, which fences that VM, and adds
// its current and unrecovered incarnations to this VM's row.
func (s *System) composeAdopt(w *world.World) ([]entity.Check, []entity.Put) {
	s.composed = transaction{kind: adoptTransaction}
	removed, _ := s.removedRow.Document.(entity.VMRow)
	own := s.registration.Row()
	own.UnrecoveredIncarnations = append(slices.Clone(own.UnrecoveredIncarnations), removed.UnrecoveredIncarnations...)
	own.UnrecoveredIncarnations = append(own.UnrecoveredIncarnations, removed.Incarnation)
	removed.Closed, removed.UnrecoveredIncarnations = true, nil
	checks := []entity.Check{{Key: s.removedRow.Key, Version: s.removedRow.Version}}
	puts := []entity.Put{
		{Key: s.removedRow.Key, Document: removed},
		{Key: entity.VMKey(w.Self.Name), Document: own},
	}
	return checks, puts
}

// findRemoved looks for a VM that the platform removed and reads its row. The
// nearest alive peer of the removed VM goes first, since several adoptions at
// once would only conflict.
func (s *System) findRemoved(w *world.World) {
	if s.adopting || w.Now.Before(s.findRemovedAt) {
		return
	}
	s.findRemovedAt = w.Now.Add(w.Policy.ListInterval)
	for _, p := range w.Peers.Rows() {
		if membership.Removed(w, p) && w.Now.Sub(p.AbsentSince) > w.Policy.MaxListLag+s.adoptionDelay(w, p) {
			s.read(w, readRemoved, []string{entity.VMKey(p.Name)}, nil)
			return
		}
	}
}

// adoptionDelay returns how long this VM waits for the alive VMs that are
// nearer to the removed one: one list interval for each of them.
func (s *System) adoptionDelay(w *world.World, p *entity.Peer) time.Duration {
	own := membership.Distance(p.Name, w.Self.Name)
	nearer := 0
	for _, q := range w.AlivePeers() {
		if membership.Distance(p.Name, q.Name) < own {
			nearer++
		}
	}
	return time.Duration(nearer) * w.Policy.ListInterval
}

// handleRemovedRead starts the adoption of a removed VM, or deletes the peer if
// the row of that VM is absent or already closed.
func (s *System) handleRemovedRead(w *world.World, e inbox.ReadDone) {
	if !e.OK || len(e.Rows) != 1 {
		return
	}
	row := e.Rows[0]
	vm, ok := row.Document.(entity.VMRow)
	if !ok || vm.Closed {
		w.Peers.Delete(strings.TrimPrefix(row.Key, entity.VMPrefix))
		return
	}
	s.removedRow, s.adopting = row, true
}
