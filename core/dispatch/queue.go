package dispatch

import (
	"hawthornspar/core/entity"
)

// rankQueue holds the waiting requests of one rank and shares them out among
// client accounts by deficit round robin, counted in tokens.
type rankQueue struct {
	order    int
	floor    int // percent of the served tokens that other ranks leave
	credit   int64
	accounts entity.Table[string, *accountQueue]
	ring     []string // accounts with waiting requests
	next     int
	waiting  int
}

// accountQueue holds one account's requests by service, oldest first.
type accountQueue struct {
	share   int64
	deficit int64
	fresh   bool // got its quantum in this visit
	queues  entity.Table[string, []*entity.Request]
	waiting int
}

// Quantum and bounds of the fair queueing, in tokens.
const (
	quantumTokens    = 500
	maxCreditTokens  = 20_000
	maxDeficitTokens = 50_000
)

func (q *rankQueue) push(r *entity.Request, share int64, front bool) {
	a, ok := q.accounts.Get(r.Account)
	if !ok {
		a = &accountQueue{}
		q.accounts.Put(r.Account, a)
	}
	a.share = max(share, 1)
	if a.waiting == 0 {
		q.ring = append(q.ring, r.Account)
	}
	line, _ := a.queues.Get(r.Service)
	if front {
		line = append([]*entity.Request{r}, line...)
	} else {
		line = append(line, r)
	}
	a.queues.Put(r.Service, line)
	a.waiting++
	q.waiting++
}

// head returns the account's oldest request whose service is open.
func (a *accountQueue) head(open func(service string) bool) *entity.Request {
	var oldest *entity.Request
	for _, service := range a.queues.Keys() {
		line, _ := a.queues.Get(service)
		if !open(service) {
			continue
		}
		if oldest == nil || line[0].ID < oldest.ID {
			oldest = line[0]
		}
	}
	return oldest
}

func (a *accountQueue) remove(r *entity.Request) bool {
	line, _ := a.queues.Get(r.Service)
	for i, other := range line {
		if other != r {
			continue
		}
		line = append(line[:i:i], line[i+1:]...)
		if len(line) == 0 {
			a.queues.Delete(r.Service)
		} else {
			a.queues.Put(r.Service, line)
		}
		a.waiting--
		return true
	}
	return false
}

// remove takes a request out of the queue.
func (q *rankQueue) remove(r *entity.Request) {
	a, ok := q.accounts.Get(r.Account)
	if !ok || !a.remove(r) {
		return
	}
	q.waiting--
	if a.waiting == 0 {
		q.retire(r.Account)
	}
}

// retire takes an account without waiting requests off the ring. An account
// that runs dry keeps no deficit, so that it cannot save up for a burst.
func (q *rankQueue) retire(account string) {
	for i, name := range q.ring {
		if name != account {
			continue
		}
		q.ring = append(q.ring[:i:i], q.ring[i+1:]...)
		if i < q.next {
			q.next--
		}
		break
	}
	a, _ := q.accounts.Get(account)
	a.deficit, a.fresh = min(a.deficit, 0), false
}

// pick chooses the next request whose service is open, or none. The cost of
// the request counts against its account.
func (q *rankQueue) pick(open func(service string) bool) *entity.Request {
	idle := 0
	for len(q.ring) > 0 && idle < len(q.ring) {
		if q.next >= len(q.ring) {
			q.next = 0
		}
		a, _ := q.accounts.Get(q.ring[q.next])
		r := a.head(open)
		if r == nil {
			idle++
			q.advance(a)
			continue
		}
		idle = 0
		if !a.fresh {
			a.fresh = true
			a.deficit = min(a.deficit+quantumTokens*a.share, maxDeficitTokens)
		}
		if a.deficit < min(r.Cost, maxDeficitTokens) {
			q.advance(a)
			continue
		}
		a.deficit -= r.Cost
		q.remove(r)
		return r
	}
	return nil
}

func (q *rankQueue) advance(a *accountQueue) {
	a.fresh = false
	q.next++
}

// refund corrects an account's deficit by what a request used less than its
// worst case, so that fairness counts real tokens.
func (q *rankQueue) refund(account string, tokens int64) {
	if a, ok := q.accounts.Get(account); ok && a.waiting > 0 {
		a.deficit = min(a.deficit+tokens, maxDeficitTokens)
	}
}
