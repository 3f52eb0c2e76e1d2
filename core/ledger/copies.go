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

// Copier sends a copy of each of this VM's charges to peers, preferably in
// other failure domains, and stores the copies that peers send to it. A copy
// is stored until its charge is in the ledger.
type Copier struct {
	stored         entity.Table[string, *entity.Table[int64, entity.Charge]] // by origin and sequence
	frozen         entity.Table[string, bool]                                // origins that are being recovered
	outgoing       []entity.Charge                                           // not yet sent to peers
	unacknowledged entity.Table[int64, *pendingCopy]                         // by charge sequence
	flushed        int64                                                     // sequence number of this VM's newest charge in the ledger
	announceAt     time.Time
	originCheckAt  time.Time
	originReadID   int64                           // read of all VMs' rows in progress, 0 for none
	announced      int64                           // newest value of flushed sent to peers
	targets        entity.Table[string, entity.VM] // peers that were sent this VM's charges, by name
}

// pendingCopy is a charge that some peers have not acknowledged.
type pendingCopy struct {
	request *entity.Request
	peers   []string // names of those peers
}

// NewCopier returns the system that copies charges.
func NewCopier() *Copier { return &Copier{} }

// Stored returns the number of charges that this VM stores for other VMs.
func (c *Copier) Stored() int {
	n := 0
	for _, charges := range c.stored.Rows() {
		n += charges.Len()
	}
	return n
}

// Freeze returns the charges stored for an origin. From then on it refuses
// further copies from that origin, so that the returned list stays complete.
func (c *Copier) Freeze(origin string) []entity.Charge {
	c.frozen.Put(origin, true)
	charges, ok := c.stored.Get(origin)
	if !ok {
		return nil
	}
	return charges.Rows()
}

// Drop deletes the charges of an origin whose charges are all in the ledger.
func (c *Copier) Drop(origin string) { c.stored.Delete(origin) }

// Copy queues the charge of a request for copying. The request settles when
// every peer chosen now has acknowledged the copy, or after Policy.CopyTimeout.
func (c *Copier) Copy(w *world.World, r *entity.Request) {
	c.outgoing = append(c.outgoing, r.Charge)
	r.CopyDeadline = w.Now.Add(w.Policy.CopyTimeout)
	var peers []string
	for _, p := range c.copyTargets(w) {
		peers = append(peers, p.Name)
	}
	r.CopiesPending = len(peers)
	if len(peers) > 0 {
		c.unacknowledged.Put(r.Charge.Sequence, &pendingCopy{request: r, peers: peers})
		return
	}
	w.Emit(outbox.Count{Counter: world.CounterCopies, Reason: "noPeer"})
}

// copyTargets returns the peers that get copies. Peers in other failure
// domains come first; each group is ordered by rendezvous hash.
func (c *Copier) copyTargets(w *world.World) []*entity.Peer {
	peers := slices.DeleteFunc(w.AlivePeers(), func(p *entity.Peer) bool { return p.ShuttingDown })
	slices.SortFunc(peers, func(a, b *entity.Peer) int {
		if byDomain := cmp.Compare(sameDomain(w, a), sameDomain(w, b)); byDomain != 0 {
			return byDomain
		}
		return cmp.Compare(rendezvousHash(w.Self.Name, a.Name), rendezvousHash(w.Self.Name, b.Name))
	})
	return spreadOverDomains(peers, w.Policy.CopyCount)
}

// spreadOverDomains returns the first count peers, but takes a second peer of
// a failure domain only when no other domain is left.
func spreadOverDomains(peers []*entity.Peer, count int) []*entity.Peer {
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

// sameDomain is a sort key: 1 for a peer in this VM's failure domain, else 0.
func sameDomain(w *world.World, p *entity.Peer) int {
	if p.Domain == w.Self.Domain {
		return 1
	}
	return 0
}

func rendezvousHash(a, b string) uint64 { return xxhash.Sum64String(a + "|" + b) }

// Handle implements world.System.
func (c *Copier) Handle(w *world.World, event inbox.Event) {
	if r, ok := event.(inbox.ReadDone); ok && c.originReadID != 0 && r.ID == c.originReadID {
		c.dropClosedOrigins(r)
	}
	e, ok := event.(inbox.PeerMessage)
	if !ok {
		return
	}
	switch m := e.Message.(type) {
	case entity.CopyCharges:
		c.store(w, e.From, m)
	case entity.CopyAck:
		if m.Refused {
			w.Fence("peer refuses copies")
			return
		}
		c.acknowledge(e.From, m)
	case entity.Flushed:
		c.dropFlushed(e.From.Incarnation, m.Sequence)
	case entity.Recovered:
		c.Drop(m.Incarnation)
	}
}

// store stores the charges that a peer sent and acknowledges them. It refuses
// charges of an origin that is being recovered, which fences that origin.
func (c *Copier) store(w *world.World, from entity.VM, m entity.CopyCharges) {
	if frozen, _ := c.frozen.Get(from.Incarnation); frozen {
		w.Send(from, entity.CopyAck{Refused: true})
		return
	}
	charges, ok := c.stored.Get(from.Incarnation)
	if !ok {
		charges = &entity.Table[int64, entity.Charge]{}
		c.stored.Put(from.Incarnation, charges)
	}
	ack := entity.CopyAck{}
	for _, charge := range m.Charges {
		charge.Origin = from.Incarnation
		charges.Put(charge.Sequence, charge)
		ack.Sequences = append(ack.Sequences, charge.Sequence)
	}
	w.Send(from, ack)
}

// acknowledge records that a peer stores the charges named in m. A repeated
// acknowledgement has no effect.
func (c *Copier) acknowledge(from entity.VM, m entity.CopyAck) {
	for _, n := range m.Sequences {
		k, ok := c.unacknowledged.Get(n)
		if !ok {
			continue
		}
		k.peers = slices.DeleteFunc(k.peers, func(name string) bool { return name == from.Name })
		k.request.CopiesPending = len(k.peers)
		if len(k.peers) == 0 {
			c.unacknowledged.Delete(n)
		}
	}
}

// dropFlushed deletes the stored charges of an origin up to sequence.
func (c *Copier) dropFlushed(origin string, sequence int64) {
	charges, ok := c.stored.Get(origin)
	if !ok {
		return
	}
	for _, n := range charges.Keys() {
		if n <= sequence {
			charges.Delete(n)
		}
	}
	if charges.Len() == 0 {
		c.stored.Delete(origin)
	}
}

// RecordFlushed records that all of this VM's charges up to sequence are in the
// ledger.
func (c *Copier) RecordFlushed(_ *world.World, sequence int64) { c.flushed = sequence }

// Tick implements world.System.
func (c *Copier) Tick(w *world.World) {
	if len(c.outgoing) > 0 {
		c.sendOutgoing(w)
	}
	for _, n := range c.unacknowledged.Keys() {
		k, _ := c.unacknowledged.Get(n)
		if !w.Now.Before(k.request.CopyDeadline) {
			c.unacknowledged.Delete(n)
			k.request.CopiesPending = 0
			w.Emit(outbox.Count{Counter: world.CounterCopies, Reason: "late"})
		}
	}
	c.announceFlushed(w)
	c.checkOrigins(w)
}

func (c *Copier) sendOutgoing(w *world.World) {
	outgoing := slices.Clone(c.outgoing)
	for i := range outgoing {
		outgoing[i].Origin = "" // the receiver takes it from the sender of the message
	}
	for _, p := range c.copyTargets(w) {
		w.Send(p.VM, entity.CopyCharges{Charges: outgoing})
		c.targets.Put(p.Name, p.VM)
	}
	c.outgoing = nil
}

// announceFlushed informs peers up to which charge they may delete the copies,
// at most once a second except while this VM shuts down.
func (c *Copier) announceFlushed(w *world.World) {
	if c.announced == c.flushed || w.Now.Before(c.announceAt) && !w.ShuttingDown {
		return
	}
	c.announced = c.flushed
	c.announceAt = w.Now.Add(time.Second)
	for _, vm := range c.targets.Rows() {
		w.Send(vm, entity.Flushed{Sequence: c.flushed})
	}
}
