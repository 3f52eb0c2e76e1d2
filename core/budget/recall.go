package budget

import (
	"slices"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// seekHolders asks the other holders of a budget to return idle tokens, in
// rounds, while their open reservations may still settle.
func (s *System) seekHolders(w *world.World, g *entity.Grant) {
	c := &g.Recall
	if c.Active {
		s.closeRound(w, g)
		return
	}
	if c.Rounds > 0 && !s.hopeful(g) {
		s.refuseUnfunded(w, g)
		return
	}
	if c.Rounds > 0 && w.Now.Sub(c.Ended) < w.Policy.RecallEvery {
		return
	}
	c.Missing = false
	s.openRound(w, g, s.holders(w, g))
}

// hopeful tells whether tokens may still come back.
func (s *System) hopeful(g *entity.Grant) bool {
	c := &g.Recall
	return c.Reserved > 0 || c.Returned > 0 || c.Missing || g.Reserved > 0 || g.Returning > 0
}

// refuseUnfunded refuses every request that was in line when tokens ran out.
func (s *System) refuseUnfunded(w *world.World, g *entity.Grant) {
	for _, r := range g.Waiting {
		if r.Phase == entity.PhaseFunding {
			s.refuse(w, r, entity.ReasonBudgetExhausted)
		}
	}
}

// holders returns the VMs that the budget's row names, but for this one. It
// marks the round as incomplete when one of them is not known.
func (s *System) holders(w *world.World, g *entity.Grant) []entity.VM {
	var vms []entity.VM
	if !s.recall {
		return nil
	}
	for _, incarnation := range g.Row.Holders {
		if incarnation == w.Self.Incarnation {
			continue
		}
		if vm, ok := findPeer(w, incarnation); ok {
			vms = append(vms, vm)
		} else {
			g.Recall.Missing = true
		}
	}
	return vms
}

func findPeer(w *world.World, incarnation string) (entity.VM, bool) {
	for _, p := range w.Heard() {
		if p.Incarnation == incarnation {
			return p.VM, true
		}
	}
	return entity.VM{}, false
}

func (s *System) openRound(w *world.World, g *entity.Grant, to []entity.VM) {
	missing := g.Recall.Missing
	g.Recall = entity.Recall{Active: true, Started: w.Now, Rounds: g.Recall.Rounds, Missing: missing}
	for _, vm := range to {
		g.Recall.Pending = append(g.Recall.Pending, vm.Name)
		w.Send(vm, entity.RecallRequest{Budget: g.Budget, Need: smallest(g.Waiting) - g.Free(), OfferOnly: !w.TableUp})
	}
	w.Emit(outbox.Count{Counter: world.CounterRecalls, Reason: "round"})
	s.closeRound(w, g)
}

// closeRound ends the round when all answered or time is up, and has the row
// read again.
func (s *System) closeRound(w *world.World, g *entity.Grant) {
	c := &g.Recall
	late := w.Now.Sub(c.Started) >= w.Policy.RecallWait
	if len(c.Pending) > 0 && !late {
		return
	}
	c.Missing = c.Missing || len(c.Pending) > 0
	c.Active, c.Pending = false, nil
	c.Rounds++
	c.Ended, g.ShortAt = w.Now, w.Now
}

func (s *System) peerSaid(w *world.World, e inbox.PeerSaid) {
	switch m := e.Message.(type) {
	case entity.RecallRequest:
		s.recallAsked(w, e.From, m)
	case entity.RecallReply:
		s.recallAnswered(w, e.From, m)
	}
}

// recallAsked returns idle tokens to the table, or says what is free while
// the table is out of reach.
func (s *System) recallAsked(w *world.World, from entity.VM, m entity.RecallRequest) {
	g, ok := w.Grants.Get(m.Budget)
	if !ok {
		w.Send(from, entity.RecallReply{Budget: m.Budget})
		return
	}
	free := max(g.Free(), 0)
	if m.OfferOnly || !w.TableUp || free == 0 || s.usesFree(g) {
		w.Send(from, entity.RecallReply{Budget: m.Budget, Free: free, Reserved: g.Reserved})
		return
	}
	g.WantBack = max(g.WantBack, min(free, max(m.Need, free/2)))
	g.Urgent = true
	g.AskedBy = append(g.AskedBy, from)
}

// usesFree tells whether a waiting request fits in what is free. Free tokens
// that fit nobody's request here may together fit one elsewhere.
func (s *System) usesFree(g *entity.Grant) bool {
	return len(g.Waiting) > 0 && smallest(g.Waiting) <= g.Free()
}

// ReturnDone tells the peers that asked what came back to the table.
func ReturnDone(w *world.World, g *entity.Grant, returned int64) {
	for _, vm := range g.AskedBy {
		w.Send(vm, entity.RecallReply{Budget: g.Budget, Returned: returned, Free: max(g.Free(), 0), Reserved: g.Reserved})
	}
	g.AskedBy = nil
}

func (s *System) recallAnswered(w *world.World, from entity.VM, m entity.RecallReply) {
	g, ok := w.Grants.Get(m.Budget)
	if !ok || !g.Recall.Active {
		return
	}
	c := &g.Recall
	i := slices.Index(c.Pending, from.Name)
	if i < 0 {
		return
	}
	c.Pending = slices.Delete(c.Pending, i, i+1)
	c.Reserved += m.Reserved
	c.Returned += m.Returned
	if m.Free > 0 {
		c.Offers = append(c.Offers, entity.Offer{From: from, Free: m.Free})
	}
}
