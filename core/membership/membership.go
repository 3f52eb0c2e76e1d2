// Package membership knows the other VMs, from the platform's lagging list
// and from their heartbeats.
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

// System keeps the table of peers.
type System struct {
	beatAt  time.Time
	listAt  time.Time
	listing bool
}

// New returns the membership system.
func New() *System { return &System{} }

// Handle implements world.System.
func (s *System) Handle(w *world.World, event inbox.Event) {
	switch e := event.(type) {
	case inbox.ListDone:
		s.listing = false
		if e.OK {
			s.listed(w, e.VMs)
		}
	case inbox.PeerSaid:
		s.heard(w, e)
	}
}

// heard notes that a peer lives. A new incarnation replaces the earlier one.
func (s *System) heard(w *world.World, e inbox.PeerSaid) {
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
	p.HeardAt = w.Now
	if beat, ok := e.Message.(entity.Heartbeat); ok {
		p.Leaving = beat.Leaving
		p.ConfigVersion = beat.ConfigVersion
	}
}

// listed takes the platform's list. A VM that is missing stays known until it
// was missing for longer than the list's lag, in two lists.
func (s *System) listed(w *world.World, vms []entity.Listed) {
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
		p.Listed, p.Leaving = true, p.Leaving || vm.Leaving
		p.AbsentSince, p.AbsentLists = time.Time{}, 0
	}
	for _, p := range w.Peers.Rows() {
		present := slices.ContainsFunc(vms, func(l entity.Listed) bool { return l.Name == p.Name })
		if !present {
			s.absent(w, p)
		}
	}
}

func (s *System) absent(w *world.World, p *entity.Peer) {
	if p.AbsentSince.IsZero() {
		p.AbsentSince = w.Now
	}
	p.Listed = false
	p.AbsentLists++
}

// Gone tells whether the platform removed a VM: it was on the list, then
// absent for longer than the list's lag, in two lists, and it is silent.
func Gone(w *world.World, p *entity.Peer) bool {
	if p.Listed || p.AbsentSince.IsZero() || p.AbsentLists < 2 {
		return false
	}
	silent := w.Now.Sub(p.HeardAt) > w.Policy.ListLag
	return silent && w.Now.Sub(p.AbsentSince) > w.Policy.ListLag
}

// Tick implements world.System.
func (s *System) Tick(w *world.World) {
	if !s.listing && !w.Now.Before(s.listAt) {
		s.listing = true
		s.listAt = w.Now.Add(jitter(w, w.Policy.ListEvery))
		w.Emit(outbox.ListVMs{})
	}
	if w.Now.Before(s.beatAt) {
		return
	}
	s.beatAt = w.Now.Add(jitter(w, w.Policy.HeartbeatEvery))
	for _, p := range Neighbours(w, w.Policy.HeartbeatFanout) {
		w.Send(p.VM, entity.Heartbeat{ConfigVersion: w.Config.Version, Leaving: w.Leaving})
	}
}

// jitter spreads periodic work by a tenth, so that VMs do not act in step.
func jitter(w *world.World, d time.Duration) time.Duration {
	return d + time.Duration(w.Random.Int64N(int64(d/10)+1))
}

// Neighbours returns up to count peers to talk to regularly. Each VM's choice
// depends on the names alone, and every VM is chosen by about as many.
func Neighbours(w *world.World, count int) []*entity.Peer {
	peers := slices.DeleteFunc(w.Peers.Rows(), func(p *entity.Peer) bool { return p.Address == "" || Gone(w, p) })
	slices.SortFunc(peers, func(a, b *entity.Peer) int {
		return cmp.Compare(Distance(w.Self.Name, a.Name), Distance(w.Self.Name, b.Name))
	})
	return peers[:min(count, len(peers))]
}

// Distance orders VMs by nearness to one another. It is symmetric, so that neighbours hear each other.
func Distance(a, b string) uint64 {
	if a > b {
		a, b = b, a
	}
	return xxhash.Sum64String(a + "|" + b)
}
