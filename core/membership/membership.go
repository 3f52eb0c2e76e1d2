// Package membership tracks the other VMs (peers) by their messages and by the
// platform's list of VMs, which lags behind. It also sends this VM's heartbeats.
package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// System maintains the table of peers.
type System struct {
	nextHeartbeat time.Time
	nextList      time.Time
	listPending   bool // a request for the platform's list is in progress
}

// New returns the membership system.
func New() *System { return &System{} }

// Handle implements world.System.
func (s *System) Handle(w *world.World, event inbox.Event) {
	switch e := event.(type) {
	case inbox.ListDone:
		s.listPending = false
		if e.OK {
			s.applyList(w, e.VMs)
		}
	case inbox.PeerMessage:
		s.handleMessage(w, e)
	}
}

// handleMessage records that the sender of a message is alive. A new incarnation
// replaces the previous one. If the message names no failure domain, the known
// one remains.
func (s *System) handleMessage(w *world.World, e inbox.PeerMessage) {
	p, ok := w.Peers.Get(e.From.Name)
	if !ok {
		p = &entity.Peer{}
		w.Peers.Put(e.From.Name, p)
	}
	domain := p.Domain
	p.VM = e.From
	if p.Domain == "" {
		p.Domain = domain
	}
	p.LastMessageAt = w.Now
	if heartbeat, ok := e.Message.(entity.Heartbeat); ok {
		p.ShuttingDown = heartbeat.ShuttingDown
		p.ConfigVersion = heartbeat.ConfigVersion
	}
}

// applyList updates the peers from the platform's list. A peer that is missing
// from the list stays in the table. As the list lags, a single list without the
// peer does not show that it was removed; see Removed.
func (s *System) applyList(w *world.World, vms []entity.ListedVM) {
	for _, vm := range vms {
		if vm.Name == w.Self.Name {
			continue
		}
		p, ok := w.Peers.Get(vm.Name)
		if !ok {
			p = &entity.Peer{VM: entity.VM{Name: vm.Name}}
			w.Peers.Put(vm.Name, p)
		}
		if p.Address == "" {
			p.Address = vm.Address
		}
		p.Domain = vm.Domain
		p.Listed, p.ShuttingDown = true, p.ShuttingDown || vm.ShuttingDown
		p.AbsentSince, p.AbsentLists = time.Time{}, 0
	}
	for _, p := range w.Peers.Rows() {
		present := slices.ContainsFunc(vms, func(l entity.ListedVM) bool { return l.Name == p.Name })
		if !present {
			s.markAbsent(w, p)
		}
	}
}

// markAbsent counts a list without the peer.
func (s *System) markAbsent(w *world.World, p *entity.Peer) {
	if p.AbsentSince.IsZero() {
		p.AbsentSince = w.Now
	}
	p.Listed = false
	p.AbsentLists++
}

// Removed reports whether the platform has removed a VM: the VM has been absent
// from at least two consecutive lists and for longer than the list's lag, and
// no message from it has arrived for as long.
func Removed(w *world.World, p *entity.Peer) bool {
	if p.Listed || p.AbsentSince.IsZero() || p.AbsentLists < 2 {
		return false
	}
	silent := w.Now.Sub(p.LastMessageAt) > w.Policy.MaxListLag
	return silent && w.Now.Sub(p.AbsentSince) > w.Policy.MaxListLag
}

// Tick implements world.System.
func (s *System) Tick(w *world.World) {
	if !s.listPending && !w.Now.Before(s.nextList) {
		s.listPending = true
		s.nextList = w.Now.Add(jitter(w, w.Policy.ListInterval))
		w.Emit(outbox.ListVMs{})
	}
	if w.Now.Before(s.nextHeartbeat) {
		return
	}
	s.nextHeartbeat = w.Now.Add(jitter(w, w.Policy.HeartbeatInterval))
	for _, p := range Neighbours(w, w.Policy.HeartbeatFanout) {
		w.Send(p.VM, entity.Heartbeat{ConfigVersion: w.Config.Version, ShuttingDown: w.ShuttingDown})
	}
}

// jitter returns the interval d, lengthened at random by up to a tenth, so that
// the periodic messages and requests of VMs are not synchronized.
func jitter(w *world.World, d time.Duration) time.Duration {
	return d + time.Duration(w.Random.Int64N(int64(d/10)+1))
}

// Neighbours returns the count nearest peers, to which this VM sends its
// heartbeats. It skips peers without an address and those that the platform
// removed. The distance depends on the names alone, so every VM is chosen by
// about count peers.
func Neighbours(w *world.World, count int) []*entity.Peer {
	peers := slices.DeleteFunc(w.Peers.Rows(), func(p *entity.Peer) bool { return p.Address == "" || Removed(w, p) })
	slices.SortFunc(peers, func(a, b *entity.Peer) int {
		return cmp.Compare(Distance(w.Self.Name, a.Name), Distance(w.Self.Name, b.Name))
	})
	return peers[:min(count, len(peers))]
}

// Distance returns a pseudo-random distance between two VMs, given their names.
// It is symmetric, so that VMs tend to send heartbeats to each other.
func Distance(a, b string) uint64 {
	if a > b {
		a, b = b, a
	}
	return xxhash.Sum64String(a + "|" + b)
}
