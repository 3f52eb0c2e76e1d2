package endpoints

import "time"

// chooseByCost returns the endpoint at which a request costs least, by the load
// of all VMs.
func (t *Table) chooseByCost(r Request, eligible []*Endpoint, domain string, random Random, now time.Time) choice {
	list := withRoom(eligible, r)
	preferred := preferredEndpoint(r, list)
	count := float64(len(list))
	list = sample(list, candidateCount(t.fleet.age(now)), preferred, domain, random)
	var best choice
	for _, e := range list {
		cost := e.cost(r, e == preferred, domain, count, maxJitterMs*random.Float64(), now)
		if best.endpoint == nil || cost.Total() < best.cost.Total() {
			best = choice{endpoint: e, isPreferred: e == preferred, cost: cost}
		}
	}
	return best
}

// cost returns the cost of placing a request on the endpoint, one of count that
// accept it. extraMs is added to the estimate.
func (e *Endpoint) cost(r Request, preferred bool, domain string, count, extraMs float64, now time.Time) Cost {
	s := e.estimate(r, preferred, now)
	ms := s.TotalMs() + extraMs + e.failurePenaltyMs(now) + e.unexplainedPenaltyMs(now) + e.returnPenaltyMs(now)
	ms += e.profile.model.runningRequestMs(e.Slots) * e.runningRequests(now)
	if e.Domain != domain {
		ms += crossDomainMs
	}
	return Cost{Own: ownCost(ms, r.aim()), Others: e.profile.costToOthers(s, r.aim(), count, e.fleet.share, now)}
}
