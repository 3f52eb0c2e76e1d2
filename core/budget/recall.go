package budget

import (
	"slices"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// recallTokens asks the other VMs with grants of the budget to return free
// tokens. It repeats the recall in rounds for as long as more tokens may be
// returned, for example from reservations that settle, and then refuses the
// waiting requests.
func (s *System) recallTokens(w *world.World, g *entity.Grant) {
	c := &g.Recall
	if c.Active {
		s.finishRound(w, g)
		return
	}
	if c.Rounds > 0 && !s.mayGetMoreTokens(g) {
		s.refuseUnfunded(w, g)
		return
	}
	if c.Rounds > 0 && w.Now.Sub(c.Ended) < w.Policy.RecallInterval {
		return
	}
	c.Incomplete = false
	s.startRound(w, g, s.holderVMs(w, g))
}

// mayGetMoreTokens reports whether more tokens may still become available: from
// open reservations, from returns, or from a VM that did not reply.
func (s *System) mayGetMoreTokens(g *entity.Grant) bool {
	c := &g.Recall
	return c.Reserved > 0 || c.Returned > 0 || c.Incomplete || g.Reserved > 0 || g.Returning > 0
}

// refuseUnfunded refuses every request that waits for tokens of an exhausted
// budget.
func (s *System) refuseUnfunded(w *world.World, g *entity.Grant) {
	for _, r := range g.Waiting {
		if r.Phase == entity.PhaseAwaitingBudget {
			s.refuse(w, r, entity.ReasonBudgetExhausted)
		}
	}
}

// holderVMs returns the VMs that the budget's row lists as holders of grants,
// without this one. It sets Incomplete if one of them is not among the alive
// peers.
func (s *System) holderVMs(w *world.World, g *entity.Grant) []entity.VM {
	var vms []entity.VM
	if !s.recallEnabled {
		return nil
	}
	for _, incarnation := range g.BudgetRow.Holders {
		if incarnation == w.Self.Incarnation {
			continue
		}
		if vm, ok := findPeer(w, incarnation); ok {
			vms = append(vms, vm)
		} else {
			g.Recall.Incomplete = true
		}
	}
	return vms
}

// findPeer returns the alive peer of an incarnation.
func findPeer(w *world.World, incarnation string) (entity.VM, bool) {
	for _, p := range w.AlivePeers() {
		if p.Incarnation == incarnation {
			return p.VM, true
		}
	}
	return entity.VM{}, false
}

// startRound sends a recall request to the peers.
func (s *System) startRound(w *world.World, g *entity.Grant, peers []entity.VM) {
	incomplete := g.Recall.Incomplete
	g.Recall = entity.Recall{Active: true, Started: w.Now, Rounds: g.Recall.Rounds, Incomplete: incomplete}
	for _, vm := range peers {
		g.Recall.Pending = append(g.Recall.Pending, vm.Name)
		w.Send(vm, entity.RecallRequest{Budget: g.Budget, Need: smallestCost(g.Waiting) - g.Free(), OfferOnly: !w.TableReachable})
	}
	w.Emit(outbox.Count{Counter: world.CounterRecalls, Reason: "round"})
	s.finishRound(w, g)
}

// finishRound ends the round once all peers replied or the wait timed out. It
// then sets ShortfallAt, so that the budget's row is read again.
func (s *System) finishRound(w *world.World, g *entity.Grant) {
	c := &g.Recall
	timedOut := w.Now.Sub(c.Started) >= w.Policy.RecallTimeout
	if len(c.Pending) > 0 && !timedOut {
		return
	}
	c.Incomplete = c.Incomplete || len(c.Pending) > 0
	c.Active, c.Pending = false, nil
	c.Rounds++
	c.Ended, g.ShortfallAt = w.Now, w.Now
}

func (s *System) handleMessage(w *world.World, e inbox.PeerMessage) {
	switch m := e.Message.(type) {
	case entity.RecallRequest:
		s.handleRecallRequest(w, e.From, m)
	case entity.RecallReply:
		s.handleRecallReply(w, e.From, m)
	}
}

// handleRecallRequest returns free tokens to the table, the needed ones or half
// of the free ones if that is more, and replies when that is done. If no tokens
// can be returned, or if the table service is unreachable for either VM, it
// replies at once with the tokens that are free and reserved.
func (s *System) handleRecallRequest(w *world.World, from entity.VM, m entity.RecallRequest) {
	g, ok := w.Grants.Get(m.Budget)
	if !ok {
		w.Send(from, entity.RecallReply{Budget: m.Budget})
		return
	}
	free := max(g.Free(), 0)
	if m.OfferOnly || !w.TableReachable || free == 0 || s.canUseFree(g) {
		w.Send(from, entity.RecallReply{Budget: m.Budget, Free: free, Reserved: g.Reserved})
		return
	}
	g.WantReturn = max(g.WantReturn, min(free, max(m.Need, free/2)))
	g.Urgent = true
	g.ReturnRequesters = append(g.ReturnRequesters, from)
}

// canUseFree reports whether a waiting request fits in the free tokens. Free
// tokens that are too few for every request here are returned, since together
// with other tokens they may suffice for a request on another VM.
func (s *System) canUseFree(g *entity.Grant) bool {
	return len(g.Waiting) > 0 && smallestCost(g.Waiting) <= g.Free()
}

// NotifyReturned replies to the peers whose recall requests wait for a return,
// with the tokens that were returned to the table.
func NotifyReturned(w *world.World, g *entity.Grant, returned int64) {
	for _, vm := range g.ReturnRequesters {
		w.Send(vm, entity.RecallReply{Budget: g.Budget, Returned: returned, Free: max(g.Free(), 0), Reserved: g.Reserved})
	}
	g.ReturnRequesters = nil
}

func (s *System) handleRecallReply(w *world.World, from entity.VM, m entity.RecallReply) {
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
