package budget

import (
	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// forwardToPeers asks peers for their free tokens, in rounds, and forwards waiting
// requests to them. It is used while the table service is unreachable.
func (s *System) forwardToPeers(w *world.World, g *entity.Grant) {
	if !s.recallEnabled {
		return
	}
	c := &g.Recall
	if c.Active {
		s.finishRound(w, g)
		if !c.Active {
			s.forwardWaiting(w, g)
		}
		return
	}
	if c.Rounds == 0 || w.Now.Sub(c.Ended) >= w.Policy.RecallInterval {
		s.startRound(w, g, s.activePeers(w))
	}
}

// activePeers returns the peers that are alive and not shutting down.
func (s *System) activePeers(w *world.World) []entity.VM {
	var vms []entity.VM
	for _, p := range w.AlivePeers() {
		if !p.ShuttingDown {
			vms = append(vms, p.VM)
		}
	}
	return vms
}

// forwardWaiting forwards each waiting request to the peer with the largest
// offer. Requests that no offer covers wait for the next round or until the
// table service is reachable. A request that another VM forwarded to this one is
// not forwarded again.
func (s *System) forwardWaiting(w *world.World, g *entity.Grant) {
	for _, r := range g.Waiting {
		if r.Phase != entity.PhaseAwaitingBudget {
			continue
		}
		offer := largestOffer(g.Recall.Offers)
		if r.Forwarded || offer == nil || offer.Free < r.MaxCost {
			continue
		}
		offer.Free -= r.MaxCost
		r.Phase = entity.PhaseForwarded
		w.Emit(outbox.Forward{Request: r.ID, To: offer.From, MayHaveRun: r.PossiblyRun()})
		w.Emit(outbox.Count{Counter: world.CounterRetries, Reason: "forwardedForBudget"})
	}
	g.Recall.Offers = nil
}

func largestOffer(offers []entity.Offer) *entity.Offer {
	var best *entity.Offer
	for i := range offers {
		if best == nil || offers[i].Free > best.Free {
			best = &offers[i]
		}
	}
	return best
}

// handleForwardEnded closes or refuses a request whose forwarding ended. A peer
// that was never reached did not run the request; after a truncated response it
// may have.
func (s *System) handleForwardEnded(w *world.World, e inbox.ForwardEnded) {
	r, ok := w.Requests.Get(e.Request)
	if !ok || r.Phase != entity.PhaseForwarded {
		return
	}
	switch e.Outcome {
	case inbox.OutcomeCompleted:
		w.Close(r)
	case inbox.OutcomeNotSent:
		s.refuse(w, r, entity.ReasonForwardUnreachable)
	default:
		r.MarkPossiblyRun()
		s.refuse(w, r, entity.ReasonOutcomeUnknown)
	}
}
