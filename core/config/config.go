// Package config maintains the configuration in force on this VM. The
// configuration is a log of changes in the table service. A VM applies them in
// version order and never returns to an earlier version.
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

// maxChangesPerBatch bounds the changes in one read from the table and in one
// push to a peer that is behind.
const maxChangesPerBatch = 200

// System reads configuration changes, pushes them to peers and commits new ones.
type System struct {
	headReadID    int64 // ID of the read of the head in progress, 0 for none
	changeReadID  int64 // ID of the read of changes in progress, 0 for none
	nextPoll      time.Time
	newestVersion int64                          // newest version known from the table or a peer
	recentChanges []entity.Change                // without gaps, up to the version in force
	proposals     entity.Table[int64, *proposal] // by ID of the table request in progress
	deferred      []*proposal                    // changes of this VM, until the next poll of the table
	synced        bool                           // the newest known version was in force once
}

// New returns the configuration system.
func New() *System { return &System{} }

// Synced reports whether this VM has had the newest version known from the table
// or a peer in force.
func (s *System) Synced() bool { return s.synced }

// Handle implements world.System.
func (s *System) Handle(w *world.World, event inbox.Event) {
	switch e := event.(type) {
	case inbox.ReadDone:
		s.handleRead(w, e)
	case inbox.TransactDone:
		s.handleTransact(w, e)
	case inbox.PeerMessage:
		s.handleMessage(w, e)
	case inbox.ChangeRequested:
		s.propose(w, e)
	}
}

// Tick implements world.System.
func (s *System) Tick(w *world.World) {
	if s.headReadID == 0 && !w.Now.Before(s.nextPoll) {
		s.headReadID = w.NextID()
		s.nextPoll = w.Now.Add(w.Policy.ConfigInterval)
		w.Emit(outbox.Read{ID: s.headReadID, Keys: []string{entity.HeadKey}})
		s.retryDeferred(w)
	}
	s.fetchChanges(w)
}

// retryDeferred proposes this VM's deferred changes again.
func (s *System) retryDeferred(w *world.World) {
	deferred := s.deferred
	s.deferred = nil
	for _, p := range deferred {
		p.attempts = 0
		s.readRows(w, p)
	}
}

// fetchChanges reads the changes after the version in force, up to the newest
// known version.
func (s *System) fetchChanges(w *world.World) {
	if s.changeReadID != 0 || s.newestVersion <= w.Config.Version || !w.TableReachable {
		return
	}
	var keys []string
	for v := w.Config.Version + 1; v <= s.newestVersion && len(keys) < maxChangesPerBatch; v++ {
		keys = append(keys, entity.ChangeKey(v))
	}
	s.changeReadID = w.NextID()
	w.Emit(outbox.Read{ID: s.changeReadID, Keys: keys})
}

// handleRead handles the result of a read according to its ID.
func (s *System) handleRead(w *world.World, e inbox.ReadDone) {
	switch e.ID {
	case 0:
	case s.headReadID:
		s.headReadID = 0
		s.handleHeadRead(w, e)
	case s.changeReadID:
		s.changeReadID = 0
		s.apply(w, changesIn(e.Rows))
	default:
		s.handleProposalRead(w, e)
	}
}

// handleHeadRead records the newest version in the table.
func (s *System) handleHeadRead(w *world.World, e inbox.ReadDone) {
	if !e.OK || len(e.Rows) != 1 {
		return
	}
	head, _ := e.Rows[0].Document.(entity.ConfigHead)
	s.newestVersion = max(s.newestVersion, head.Version)
	if w.Config.Version >= head.Version {
		s.synced = true
	}
}

func changesIn(rows []entity.Row) []entity.Change {
	var found []entity.Change
	for _, row := range rows {
		if c, ok := row.Document.(entity.Change); ok {
			found = append(found, c)
		}
	}
	return found
}

// apply puts changes in force in version order and pushes them to a few peers.
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
	s.recordRecent(applied)
	s.newestVersion = max(s.newestVersion, w.Config.Version)
	if w.Config.Version >= s.newestVersion {
		s.synced = true
	}
	w.Log("configuration in force", "version", entity.Decimal(w.Config.Version))
	s.push(w, applied)
}

// recordRecent keeps recent changes for peers that cannot reach the table.
func (s *System) recordRecent(applied []entity.Change) {
	s.recentChanges = append(s.recentChanges, applied...)
	if len(s.recentChanges) > maxRecentChanges {
		s.recentChanges = slices.Clone(s.recentChanges[len(s.recentChanges)-maxRecentChanges:])
	}
}

// maxRecentChanges is enough for several days of changes.
const maxRecentChanges = 10_000

// push sends changes to randomly chosen peers, which push them on in turn.
func (s *System) push(w *world.World, applied []entity.Change) {
	peers := w.AlivePeers()
	w.Random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers[:min(len(peers), w.Policy.ConfigFanout)] {
		w.Send(p.VM, entity.ConfigPush{Changes: applied})
	}
}

// handleMessage applies changes that a peer pushed, and compares versions on a
// peer's heartbeat.
func (s *System) handleMessage(w *world.World, e inbox.PeerMessage) {
	switch m := e.Message.(type) {
	case entity.ConfigPush:
		for _, c := range m.Changes {
			s.newestVersion = max(s.newestVersion, c.Version)
		}
		s.apply(w, m.Changes)
	case entity.Heartbeat:
		s.updatePeer(w, e.From, m)
	}
}

// updatePeer sends changes to a peer whose version is older, as the peer may be
// unable to reach the table. It sends none when the first missing change is no
// longer among the recent ones.
func (s *System) updatePeer(w *world.World, from entity.VM, m entity.Heartbeat) {
	s.newestVersion = max(s.newestVersion, m.ConfigVersion)
	if m.ConfigVersion >= w.Config.Version {
		return
	}
	firstVersion := w.Config.Version - int64(len(s.recentChanges)) + 1
	if m.ConfigVersion+1 < firstVersion {
		return
	}
	missing := s.recentChanges[m.ConfigVersion+1-firstVersion:]
	w.Send(from, entity.ConfigPush{Changes: missing[:min(len(missing), maxChangesPerBatch)]})
}
