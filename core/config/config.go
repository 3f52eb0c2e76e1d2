// Package config keeps the configuration in force on this VM. It is a log of
// changes in the table; a VM applies them in order and never goes back.
package config

import (
	"cmp"
	"slices"
	"time"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// maxChangesPerRead bounds one read and one push of changes.
const maxChangesPerRead = 200

// System reads, passes on and commits changes.
type System struct {
	headRead   int64
	changeRead int64
	pollAt     time.Time
	known      int64 // newest version heard of
	log        []entity.Change
	asked      entity.Table[int64, *change] // operators' changes by table call
	waiting    []*change                    // of this VM itself, until the table is back
	synced     bool                         // the table's head was reached once
}

// New returns the configuration system.
func New() *System { return &System{} }

// Synced tells whether this VM has a configuration from the table or a peer.
func (s *System) Synced() bool { return s.synced }

// Handle implements world.System.
func (s *System) Handle(w *world.World, event inbox.Event) {
	switch e := event.(type) {
	case inbox.ReadDone:
		s.readDone(w, e)
	case inbox.TransactDone:
		s.transactDone(w, e)
	case inbox.PeerSaid:
		s.peerSaid(w, e)
	case inbox.ChangeAsked:
		s.begin(w, e)
	}
}

// Tick implements world.System.
func (s *System) Tick(w *world.World) {
	if s.headRead == 0 && !w.Now.Before(s.pollAt) {
		s.headRead = w.NextID()
		s.pollAt = w.Now.Add(w.Policy.ConfigEvery)
		w.Emit(outbox.Read{ID: s.headRead, Keys: []string{entity.HeadKey}})
		s.resume(w)
	}
	s.fetch(w)
}

// resume takes up this VM's own changes that the table did not take.
func (s *System) resume(w *world.World) {
	waiting := s.waiting
	s.waiting = nil
	for _, c := range waiting {
		c.tries = 0
		s.read(w, c)
	}
}

// fetch reads the changes between the version in force and the newest known.
func (s *System) fetch(w *world.World) {
	if s.changeRead != 0 || s.known <= w.Config.Version || !w.TableUp {
		return
	}
	var keys []string
	for v := w.Config.Version + 1; v <= s.known && len(keys) < maxChangesPerRead; v++ {
		keys = append(keys, entity.ChangeKey(v))
	}
	s.changeRead = w.NextID()
	w.Emit(outbox.Read{ID: s.changeRead, Keys: keys})
}

func (s *System) readDone(w *world.World, e inbox.ReadDone) {
	switch e.ID {
	case 0:
	case s.headRead:
		s.headRead = 0
		s.headDone(w, e)
	case s.changeRead:
		s.changeRead = 0
		s.apply(w, changes(e.Rows))
	default:
		s.operationRead(w, e)
	}
}

func (s *System) headDone(w *world.World, e inbox.ReadDone) {
	if !e.OK || len(e.Rows) != 1 {
		return
	}
	head, _ := e.Rows[0].Document.(entity.ConfigHead)
	s.known = max(s.known, head.Version)
	if w.Config.Version >= head.Version {
		s.synced = true
	}
}

func changes(rows []entity.Row) []entity.Change {
	var found []entity.Change
	for _, row := range rows {
		if c, ok := row.Document.(entity.Change); ok {
			found = append(found, c)
		}
	}
	return found
}

// apply puts changes in force in the order of their versions, and passes them
// on to a few peers.
func (s *System) apply(w *world.World, found []entity.Change) {
	slices.SortFunc(found, func(a, b entity.Change) int { return cmp.Compare(a.Version, b.Version) })
	var applied []entity.Change
	for _, c := range found {
		if w.Config.Apply(c) {
			applied = append(applied, c)
		}
	}
	if len(applied) == 0 {
		return
	}
	s.keep(applied)
	s.known = max(s.known, w.Config.Version)
	if w.Config.Version >= s.known {
		s.synced = true
	}
	w.Log("configuration in force", "version", entity.Decimal(w.Config.Version))
	s.push(w, applied)
}

// keep remembers recent changes for peers that cannot reach the table.
func (s *System) keep(applied []entity.Change) {
	s.log = append(s.log, applied...)
	if len(s.log) > maxKeptChanges {
		s.log = slices.Clone(s.log[len(s.log)-maxKeptChanges:])
	}
}

// maxKeptChanges is several days of changes.
const maxKeptChanges = 10_000

func (s *System) push(w *world.World, applied []entity.Change) {
	peers := w.Heard()
	w.Random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers[:min(len(peers), w.Policy.ConfigFanout)] {
		w.Send(p.VM, entity.ConfigPush{Changes: applied})
	}
}

func (s *System) peerSaid(w *world.World, e inbox.PeerSaid) {
	switch m := e.Message.(type) {
	case entity.ConfigPush:
		for _, c := range m.Changes {
			s.known = max(s.known, c.Version)
		}
		s.apply(w, m.Changes)
	case entity.Heartbeat:
		s.compare(w, e.From, m)
	}
}

// compare helps a peer that is behind, since it may not reach the table.
func (s *System) compare(w *world.World, from entity.VM, m entity.Heartbeat) {
	s.known = max(s.known, m.ConfigVersion)
	if m.ConfigVersion >= w.Config.Version {
		return
	}
	first := w.Config.Version - int64(len(s.log)) + 1
	if m.ConfigVersion+1 < first {
		return
	}
	missing := s.log[m.ConfigVersion+1-first:]
	w.Send(from, entity.ConfigPush{Changes: missing[:min(len(missing), maxChangesPerRead)]})
}
