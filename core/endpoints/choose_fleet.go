package endpoints

import "time"

const (
	// crossDomainCost is the cost of an endpoint in another failure domain, in units
	// of aims: 3 ms of an aim of 400 ms. It is less than reading a short shared
	// prefix again, which would otherwise be read in each domain.
	crossDomainCost = 0.0075
	// alternateCached is the part of a shared prefix that the alternate endpoint of
	// the prefix is expected to have cached. Requests that the preferred endpoint has
	// no room for then gather there, instead of reading the prefix again everywhere.
	alternateCached = 0.5
)

// chooseByCost returns the endpoint at which a request costs least, by the load
// of all VMs.
func (t *Table) chooseByCost(r Request, eligible []*Endpoint, domain string, random Random, now time.Time) choice {
	list := withRoom(eligible, r)
	preferred, alternate := preferredEndpoints(r, list)
	count := float64(len(list))
	list = sample(list, candidateCount(t.fleet.age(now)), domain, random, preferred, alternate)
	var best choice
	for _, e := range list {
		extraMs := t.returnPenaltyMs(e, now) + maxJitterMs*random.Float64()
		if e == alternate {
			extraMs -= alternateCached * e.readMs(r.sharedTokens())
		}
		cost := e.cost(r, e == preferred, count, extraMs, now)
		if e.Domain != domain {
			cost.Own += crossDomainCost
		}
		if best.endpoint == nil || cost.Total() < best.cost.Total() {
			best = choice{endpoint: e, isPreferred: e == preferred, cost: cost}
		}
	}
	return best
}

// cost returns the cost of placing a request on the endpoint, one of count that
// accept it. extraMs is added to the estimate.
func (e *Endpoint) cost(r Request, preferred bool, count, extraMs float64, now time.Time) Cost {
	s := e.estimate(r, preferred, now)
	ms := s.TotalMs() + extraMs + e.failurePenaltyMs(now) + e.unexplainedPenaltyMs(now)
	ms += e.profile.model.runningRequestMs(e.Slots) * e.runningRequests(now)
	return Cost{
		Own: ownCost(ms, r.aim()), Work: s.ReadMs * e.speed / milliseconds(r.aim()),
		Others: e.profile.costToOthers(s, r.aim(), count, e.fleet.share, now),
	}
}
