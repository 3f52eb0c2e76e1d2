package ledger

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

// Copies keeps each charge on peers in other failure domains until it is in
// the ledger, and keeps what peers ask this VM to.
type Copies struct {
	held     entity.Table[string, *entity.Table[int64, entity.Charge]] // by origin
	refused  entity.Table[string, bool]                                // origins that are being recovered
	outgoing []entity.Charge
	waiting  entity.Table[int64, *copying] // by charge sequence
	flushed  int64
	tellAt   time.Time
	lookAt   time.Time
	reading  int64 // of all VMs' rows
	told     int64
	used     entity.Table[string, entity.VM] // peers that hold copies of ours
}

// copying is a charge that some peers have not acknowledged.
type copying struct {
	request *entity.Request
	due     []string // names of those peers
}

// NewCopies returns the system that copies charges.
func NewCopies() *Copies { return &Copies{} }

// Held returns how many charges this VM keeps for others.
func (c *Copies) Held() int {
	n := 0
	for _, charges := range c.held.Rows() {
		n += charges.Len()
	}
	return n
}

// HeldFor returns the charges kept for an origin and refuses further ones,
// so that what was reported stays complete.
func (c *Copies) HeldFor(origin string) []entity.Charge {
	c.refused.Put(origin, true)
	charges, ok := c.held.Get(origin)
	if !ok {
		return nil
	}
	return charges.Rows()
}

// Drop forgets the charges of a recovered origin.
func (c *Copies) Drop(origin string) { c.held.Delete(origin) }

// Start sends a request's charge to peers. The request settles when all have
// it.
func (c *Copies) Start(w *world.World, r *entity.Request) {
	c.outgoing = append(c.outgoing, r.Charge)
	r.SettleBy = w.Now.Add(w.Policy.CopyWait)
	var due []string
	for _, p := range c.keepers(w) {
		due = append(due, p.Name)
	}
	r.CopiesDue = len(due)
	if len(due) > 0 {
		c.waiting.Put(r.Charge.Sequence, &copying{request: r, due: due})
		return
	}
	w.Emit(outbox.Count{Counter: world.CounterCopies, Reason: "noPeer"})
}

// keepers returns the peers for copies, those in other failure domains first.
func (c *Copies) keepers(w *world.World) []*entity.Peer {
	peers := slices.DeleteFunc(w.Heard(), func(p *entity.Peer) bool { return p.Leaving })
	slices.SortFunc(peers, func(a, b *entity.Peer) int {
		if near := cmp.Compare(sameDomain(w, a), sameDomain(w, b)); near != 0 {
			return near
		}
		return cmp.Compare(affinity(w.Self.Name, a.Name), affinity(w.Self.Name, b.Name))
	})
	return spread(peers, w.Policy.CopyCount)
}

// spread prefers peers of different failure domains among the first count.
func spread(peers []*entity.Peer, count int) []*entity.Peer {
	var chosen, rest []*entity.Peer
	for _, p := range peers {
		taken := slices.ContainsFunc(chosen, func(q *entity.Peer) bool { return q.Domain == p.Domain })
		if taken || len(chosen) == count {
			rest = append(rest, p)
			continue
		}
		chosen = append(chosen, p)
	}
	chosen = append(chosen, rest...)
	return chosen[:min(count, len(chosen))]
}

func sameDomain(w *world.World, p *entity.Peer) int {
	if p.Domain == w.Self.Domain {
		return 1
	}
	return 0
}

func affinity(a, b string) uint64 { return xxhash.Sum64String(a + "|" + b) }

// Handle implements world.System.
func (c *Copies) Handle(w *world.World, event inbox.Event) {
	if r, ok := event.(inbox.ReadDone); ok && c.reading != 0 && r.ID == c.reading {
		c.lookedUp(r)
	}
	e, ok := event.(inbox.PeerSaid)
	if !ok {
		return
	}
	switch m := e.Message.(type) {
	case entity.CopyCharges:
		c.keep(w, e.From, m)
	case entity.CopyAck:
		if m.Refused {
			w.Fence("peer refuses copies")
			return
		}
		c.acknowledged(e.From, m)
	case entity.Flushed:
		c.forget(e.From.Incarnation, m.Sequence)
	case entity.Recovered:
		c.Drop(m.Incarnation)
	}
}

func (c *Copies) keep(w *world.World, from entity.VM, m entity.CopyCharges) {
	if refused, _ := c.refused.Get(from.Incarnation); refused {
		w.Send(from, entity.CopyAck{Refused: true})
		return
	}
	charges, ok := c.held.Get(from.Incarnation)
	if !ok {
		charges = &entity.Table[int64, entity.Charge]{}
		c.held.Put(from.Incarnation, charges)
	}
	ack := entity.CopyAck{}
	for _, charge := range m.Charges {
		charge.Origin = from.Incarnation
		charges.Put(charge.Sequence, charge)
		ack.Sequences = append(ack.Sequences, charge.Sequence)
	}
	w.Send(from, ack)
}

// acknowledged counts each peer once, however often its answer arrives.
func (c *Copies) acknowledged(from entity.VM, m entity.CopyAck) {
	for _, n := range m.Sequences {
		k, ok := c.waiting.Get(n)
		if !ok {
			continue
		}
		k.due = slices.DeleteFunc(k.due, func(name string) bool { return name == from.Name })
		k.request.CopiesDue = len(k.due)
		if len(k.due) == 0 {
			c.waiting.Delete(n)
		}
	}
}

func (c *Copies) forget(origin string, sequence int64) {
	charges, ok := c.held.Get(origin)
	if !ok {
		return
	}
	for _, n := range charges.Keys() {
		if n <= sequence {
			charges.Delete(n)
		}
	}
	if charges.Len() == 0 {
		c.held.Delete(origin)
	}
}

// Flushed notes that all charges up to sequence are in the ledger.
func (c *Copies) Flushed(_ *world.World, sequence int64) { c.flushed = sequence }

// Tick implements world.System.
func (c *Copies) Tick(w *world.World) {
	if len(c.outgoing) > 0 {
		c.send(w)
	}
	for _, n := range c.waiting.Keys() {
		k, _ := c.waiting.Get(n)
		if !w.Now.Before(k.request.SettleBy) {
			c.waiting.Delete(n)
			k.request.CopiesDue = 0
			w.Emit(outbox.Count{Counter: world.CounterCopies, Reason: "late"})
		}
	}
	c.tell(w)
	c.lookUp(w)
}

func (c *Copies) send(w *world.World) {
	outgoing := slices.Clone(c.outgoing)
	for i := range outgoing {
		outgoing[i].Origin = "" // the channel tells it
	}
	for _, p := range c.keepers(w) {
		w.Send(p.VM, entity.CopyCharges{Charges: outgoing})
		c.used.Put(p.Name, p.VM)
	}
	c.outgoing = nil
}

// tell lets peers forget what is in the ledger.
func (c *Copies) tell(w *world.World) {
	if c.told == c.flushed || w.Now.Before(c.tellAt) && !w.Leaving {
		return
	}
	c.told = c.flushed
	c.tellAt = w.Now.Add(time.Second)
	for _, vm := range c.used.Rows() {
		w.Send(vm, entity.Flushed{Sequence: c.flushed})
	}
}
