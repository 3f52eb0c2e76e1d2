package endpoints

import "math"

// maxMemoryUse is the part of an engine's memory up to which it gets requests.
// The rest is for what other VMs have sent meanwhile.
const maxMemoryUse = 0.85

// held returns the tokens that requests of all VMs hold at the endpoint. What
// others hold keeps its weight here, as too much crashes some engines.
func (e *Endpoint) held() int64 { return e.heldTokens + e.others.HeldTokens }

// withRoom returns the endpoints that have room for a request's tokens; if none
// has, the one with the most room.
func withRoom(list []*Endpoint, r Request) []*Endpoint {
	if r.MemoryTokens <= 0 {
		return list
	}
	limit := int64(maxMemoryUse * float64(r.MemoryTokens))
	var fitting []*Endpoint
	var emptiest *Endpoint
	least := int64(math.MaxInt64)
	for _, e := range list {
		if e.held()+r.HeldTokens <= limit {
			fitting = append(fitting, e)
		}
		if e.held() < least {
			emptiest, least = e, e.held()
		}
	}
	if len(fitting) == 0 && emptiest != nil {
		return []*Endpoint{emptiest}
	}
	return fitting
}
