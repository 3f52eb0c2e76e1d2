package dispatch

import (
	"time"

	"hawthornspar/core/entity"
)

// rankQueue holds the waiting requests of one rank and shares them out among
// client accounts by start-time fair queueing, counted in tokens: the account
// whose next request has the smallest start tag is served. An account that
// asks for less than its share finds its tag at the queue's virtual time, and
// so is next; one that took more has to let the virtual time catch up.
type rankQueue struct {
	order    int
	floor    int // percent of the served tokens that other ranks leave
	credit   int64
	virtual  float64 // start tag of the request served last
	accounts entity.Table[string, *accountQueue]
	active   []*accountQueue // with waiting requests
	waiting  int
	rate     rate // tokens that leave the queue
}

// accountQueue holds one account's requests by service, oldest first.
type accountQueue struct {
	name    string
	share   int64
	start   float64 // tag of the next request
	finish  float64 // tag at which the last served request ends
	queues  entity.Table[string, []*entity.Request]
	waiting int
	tokens  int64 // worst case of all that waits
}

// Bounds of the queueing.
const (
	maxCreditTokens = 20_000
	maxSkipped      = 8 // requests looked at behind one that cannot go yet
)

// open tells whether an endpoint has room for a request.
type open func(r *entity.Request) bool

func (q *rankQueue) account(name string) *accountQueue {
	a, ok := q.accounts.Get(name)
	if !ok {
		a = &accountQueue{name: name, share: 1}
		q.accounts.Put(name, a)
	}
	return a
}

// push adds a request, at the front when it was sent before.
func (q *rankQueue) push(r *entity.Request, share int64, front bool) {
	a := q.account(r.Account)
	a.share = max(share, 1)
	if a.waiting == 0 {
		a.start = max(a.finish, q.virtual)
		q.active = append(q.active, a)
	}
	line, _ := a.queues.Get(r.Service)
	if front {
		line = append([]*entity.Request{r}, line...)
	} else {
		line = append(line, r)
	}
	a.queues.Put(r.Service, line)
	a.waiting++
	a.tokens += r.Cost
	q.waiting++
}

// longest returns the newest request of the account with the most waiting
// work for its share.
func (q *rankQueue) longest() *entity.Request {
	most := q.active[0]
	for _, a := range q.active {
		if a.tokens/a.share > most.tokens/most.share {
			most = a
		}
	}
	var newest *entity.Request
	for _, line := range most.queues.Rows() {
		if last := line[len(line)-1]; newest == nil || last.ID > newest.ID {
			newest = last
		}
	}
	return newest
}

// wait estimates how long a new request of an account will wait when the queue
// is served perSecond tokens: its account's part of that must first serve what
// the account already has waiting.
func (q *rankQueue) wait(perSecond float64, account string, share, cost int64) time.Duration {
	if q.waiting == 0 || perSecond == 0 {
		return 0
	}
	own := cost
	shares := max(share, 1)
	for _, a := range q.active {
		if a.name == account {
			own += a.tokens
			continue
		}
		shares += a.share
	}
	seconds := float64(own) * float64(shares) / (float64(max(share, 1)) * perSecond)
	return time.Duration(seconds * float64(time.Second))
}

// head returns the account's oldest request for which an endpoint has room.
func (a *accountQueue) head(o open) *entity.Request {
	var oldest *entity.Request
	for _, line := range a.queues.Rows() {
		for _, r := range line[:min(len(line), maxSkipped)] {
			if !o(r) {
				continue
			}
			if oldest == nil || r.ID < oldest.ID {
				oldest = r
			}
			break
		}
	}
	return oldest
}

// peek returns the next request for which an endpoint has room, or nil.
func (q *rankQueue) peek(o open) *entity.Request {
	var first *accountQueue
	var next *entity.Request
	for _, a := range q.active {
		if first != nil && a.start >= first.start {
			continue
		}
		if r := a.head(o); r != nil {
			first, next = a, r
		}
	}
	return next
}

// serve takes the request that peek returned and counts its cost.
func (q *rankQueue) serve(r *entity.Request) {
	a := q.account(r.Account)
	q.virtual = max(q.virtual, a.start)
	a.finish = a.start + float64(r.Cost)/float64(a.share)
	a.start = a.finish
	q.remove(r)
}

// refund corrects an account's tag by what a request used less than its worst
// case, so that fairness counts real tokens.
func (q *rankQueue) refund(account string, tokens int64) {
	a, ok := q.accounts.Get(account)
	if !ok {
		return
	}
	back := float64(tokens) / float64(a.share)
	a.finish -= back
	if a.waiting > 0 {
		a.start -= back
	}
}

// remove takes a request out of the queue.
func (q *rankQueue) remove(r *entity.Request) {
	a := q.account(r.Account)
	line, _ := a.queues.Get(r.Service)
	for i, other := range line {
		if other != r {
			continue
		}
		q.cutOut(a, r, append(line[:i:i], line[i+1:]...))
		return
	}
}

func (q *rankQueue) cutOut(a *accountQueue, r *entity.Request, rest []*entity.Request) {
	if len(rest) == 0 {
		a.queues.Delete(r.Service)
	} else {
		a.queues.Put(r.Service, rest)
	}
	a.waiting--
	a.tokens -= r.Cost
	q.waiting--
	if a.waiting > 0 {
		return
	}
	for i, other := range q.active {
		if other == a {
			q.active = append(q.active[:i:i], q.active[i+1:]...)
			return
		}
	}
}
