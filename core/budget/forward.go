package budget

import (
	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// seekPeers passes waiting requests to peers that have free tokens while the
// table is out of reach.
func (s *System) seekPeers(w *world.World, g *entity.Grant) {
	if !s.recall {
		return
	}
	c := &g.Recall
	if c.Active {
		s.closeRound(w, g)
		if !c.Active {
			s.passOn(w, g)
		}
		return
	}
	if c.Rounds == 0 || w.Now.Sub(c.Ended) >= w.Policy.RecallEvery {
		s.openRound(w, g, s.heard(w))
	}
}

func (s *System) heard(w *world.World) []entity.VM {
	var vms []entity.VM
	for _, p := range w.Heard() {
		if !p.Leaving {
			vms = append(vms, p.VM)
		}
	}
	return vms
}

// passOn forwards each waiting request to the peer with the largest offer.
// Those that no offer covers wait for the next round, or for the table.
func (s *System) passOn(w *world.World, g *entity.Grant) {
	for _, r := range g.Waiting {
		if r.Phase != entity.PhaseFunding {
			continue
		}
		offer := largest(g.Recall.Offers)
		if r.Forwarded || offer == nil || offer.Free < r.Cost {
			continue
		}
		offer.Free -= r.Cost
		r.Phase = entity.PhaseForwarded
		w.Emit(outbox.Forward{Request: r.ID, To: offer.From, MayHaveRun: r.Exposed()})
		w.Emit(outbox.Count{Counter: world.CounterRetries, Reason: "forwardedForBudget"})
	}
	g.Recall.Offers = nil
}

func largest(offers []entity.Offer) *entity.Offer {
	var best *entity.Offer
	for i := range offers {
		if best == nil || offers[i].Free > best.Free {
			best = &offers[i]
		}
	}
	return best
}

// forwardEnded closes a request that a peer answered. A peer that was never
// reached ran nothing; one whose answer broke off may have run it.
func (s *System) forwardEnded(w *world.World, e inbox.ForwardEnded) {
	r, ok := w.Requests.Get(e.Request)
	if !ok || r.Phase != entity.PhaseForwarded {
		return
	}
	switch e.Outcome {
	case inbox.OutcomeAnswered:
		w.Close(r)
	case inbox.OutcomeNeverSent:
		s.refuse(w, r, entity.ReasonForwardUnreachable)
	default:
		r.Expose()
		s.refuse(w, r, entity.ReasonOutcomeUnknown)
	}
}
