package endpoints

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the estimated time to first chunk, by which an endpoint is
// chosen.
const (
	// crossDomainMs is added for an endpoint in another failure domain, so that
	// traffic stays inside a failure domain when estimates are close.
	crossDomainMs = 3.0
	// maxJitterMs bounds the random addition to an estimate. VMs do not see each
	// other's requests, and without it those with equal estimates would all
	// choose the same endpoint.
	maxJitterMs = 2.0
	// prefixBlockTTL is how long after its last use a prefix block is expected
	// to stay in an endpoint's cache.
	prefixBlockTTL = 20 * time.Second
)

// Request describes a request by what the choice of an endpoint depends on.
type Request struct {
	Service      string
	PrefixBlocks []PrefixBlock // of the prompt, in order
	PromptTokens int64
	Target       time.Duration // the route's aim for the time to the first chunk; 0 if it has none
	HeldTokens   int64         // prompt and most output tokens, which the endpoint's memory holds
	MemoryTokens int64         // tokens that fit into the memory of one of the service's endpoints; 0 if unknown
}

// sharedBlocks returns the prefix blocks that other requests may share: all but
// the last, which belongs to this request alone.
func (r Request) sharedBlocks() []PrefixBlock {
	if len(r.PrefixBlocks) < 2 {
		return nil
	}
	return r.PrefixBlocks[:len(r.PrefixBlocks)-1]
}

// sharedTokens returns the tokens of the prefix blocks that other requests may share.
func (r Request) sharedTokens() int64 {
	var tokens int64
	for _, b := range r.sharedBlocks() {
		tokens += b.Tokens
	}
	return tokens
}

// Random returns uniform numbers in [0, 1).
type Random interface{ Float64() float64 }

// Choose returns the endpoint with the lowest estimated time to first chunk for
// a request, disregarding those in attempted. domain is the VM's own failure
// domain. Choose returns nil when no other endpoint accepts new requests.
func (t *Table) Choose(r Request, attempted map[string]bool, domain string, random Random, now time.Time) *Endpoint {
	return t.choose(r, attempted, domain, random, now).endpoint
}

// StartAttempt chooses an endpoint as Choose does and starts an attempt there. It
// returns nil when there is no endpoint.
func (t *Table) StartAttempt(r Request, attempted map[string]bool, domain string, random Random, now time.Time) *Attempt {
	c := t.choose(r, attempted, domain, random, now)
	if c.endpoint == nil {
		return nil
	}
	a := c.endpoint.startAttempt(r, c.isPreferred, now)
	a.Notices = c.notices
	a.Cost = c.cost
	if len(attempted) == 0 {
		c.endpoint.profile.arrivals.add(r.Target, now)
	}
	return a
}

// choice is the result of choosing an endpoint.
type choice struct {
	endpoint    *Endpoint // nil for none
	isPreferred bool      // whether it is the preferred endpoint of the request's prefix
	cost        Cost      // zero if the load of other VMs was not known
	notices     Notices
}

// choose implements Choose.
func (t *Table) choose(r Request, attempted map[string]bool, domain string, random Random, now time.Time) choice {
	candidates, notices := t.eligible(r.Service, attempted, now)
	if t.fleet.known(now) {
		c := t.chooseByCost(r, candidates, domain, random, now)
		c.notices = notices
		return c
	}
	var best *Endpoint
	bestCost := 0.0
	preferred := preferredEndpoint(r, candidates)
	meanMs := meanFirstChunkMs(candidates)
	for _, e := range candidates {
		cost := e.estimateMs(r, e == preferred, domain, now) + e.healthPenaltyMs(meanMs, now) + t.returnPenaltyMs(e, now) + maxJitterMs*random.Float64()
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return choice{endpoint: best, isPreferred: best != nil && best == preferred, notices: notices}
}

// eligible returns the endpoints of a service that accept new requests and are
// not in attempted. It leaves out those that are currently avoided, unless fewer
// than half would remain. It also returns the notices in force.
func (t *Table) eligible(service string, attempted map[string]bool, now time.Time) ([]*Endpoint, Notices) {
	var all, healthy []*Endpoint
	var notices Notices
	for _, e := range t.byService[service] {
		if !t.accepts(e, now) {
			notices.count(e, now)
			continue
		}
		if attempted[e.ID] {
			continue
		}
		if t.coldWait(e, now) > 0 {
			notices.Cold++
			continue
		}
		all = append(all, e)
		if now.After(e.avoidUntil) {
			healthy = append(healthy, e)
		}
	}
	if 2*len(healthy) < len(all) {
		return all, notices
	}
	return healthy, notices
}

// preferredEndpoint returns the endpoint to which rendezvous hashing assigns the
// longest shared prefix of a prompt, so that all VMs send requests with the same
// prefix to the same endpoint. It returns nil for a prompt without a shared
// prefix.
func preferredEndpoint(r Request, candidates []*Endpoint) *Endpoint {
	preferred, _ := preferredEndpoints(r, candidates)
	return preferred
}

// preferredEndpoints returns the preferred endpoint of a prompt and the alternate one,
// which is next by the same hashing; nil where there is none.
func preferredEndpoints(r Request, candidates []*Endpoint) (preferred, alternate *Endpoint) {
	sharedBlocks := r.sharedBlocks()
	if len(sharedBlocks) == 0 {
		return nil, nil
	}
	lastID := sharedBlocks[len(sharedBlocks)-1].ID
	var first, second uint64
	for _, e := range candidates {
		weight := xxhash.Sum64String(lastID + "/" + e.ID)
		switch {
		case preferred == nil || weight > first:
			alternate, second = preferred, first
			preferred, first = e, weight
		case alternate == nil || weight > second:
			alternate, second = e, weight
		}
	}
	return preferred, alternate
}

// estimateMs returns the estimated time until the first chunk of the request's
// response, in milliseconds.
func (e *Endpoint) estimateMs(r Request, preferred bool, domain string, now time.Time) float64 {
	tokens := r.PromptTokens - e.cachedTokens(r, preferred, now)
	cost := float64(e.prefillTokens+tokens)/e.model.tokensPerMs() + e.model.runningRequestMs(e.Slots)*float64(e.running)
	if e.Domain != domain {
		cost += crossDomainMs
	}
	return cost
}

// cachedTokens returns the number of prompt tokens that the endpoint is expected
// to have cached. The preferred endpoint of a prefix is expected to have all of
// its blocks, as other VMs send requests with that prefix there too.
func (e *Endpoint) cachedTokens(r Request, preferred bool, now time.Time) int64 {
	var tokens int64
	for _, b := range r.sharedBlocks() {
		lastUsed, ok := e.blockLastUsed[b.ID]
		if !preferred && (!ok || now.Sub(lastUsed) > prefixBlockTTL) {
			return tokens
		}
		tokens += b.Tokens
	}
	return tokens
}
