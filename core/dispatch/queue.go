package dispatch

import (
	"time"

	"hawthornspar/core/entity"
)

// rankQueue holds the waiting requests of one rank and schedules client accounts
// by start-time fair queueing, counted in tokens: the account whose next request
// has the smallest start tag is served first. An account below its share has
// its start tag at the queue's virtual time, so it is served next. An account
// above its share waits until the virtual time reaches its start tag.
type rankQueue struct {
	order        int     // of the rank; 0 is the most urgent
	floorPercent int     // percent of the tokens served to other ranks
	credit       int64   // tokens earned towards the floor
	virtualTime  float64 // start tag of the request served last
	accounts     entity.Table[string, *accountQueue]
	active       []*accountQueue // accounts with waiting requests
	waiting      int
	rate         rate // tokens dispatched from the queue
}

// accountQueue holds the waiting requests of one client account.
type accountQueue struct {
	name          string
	share         int64
	startTag      float64                                 // start tag of the next request
	finishTag     float64                                 // finish tag of the request served last
	byService     entity.Table[string, []*entity.Request] // oldest first
	waiting       int
	waitingTokens int64 // reservations of all waiting requests
}

// Limits of the scheduler.
const (
	maxCreditTokens = 20_000 // credit that a rank can accumulate
	maxLookahead    = 8      // requests examined per account and service to find one with room
)

// roomCheck reports whether an endpoint has room for a request.
type roomCheck func(r *entity.Request) bool

// account returns the queue of a client account, a new one if there is none.
func (q *rankQueue) account(name string) *accountQueue {
	a, ok := q.accounts.Get(name)
	if !ok {
		a = &accountQueue{name: name, share: 1}
		q.accounts.Put(name, a)
	}
	return a
}

// push adds a request to its account's queue, at the front if front is set, as
// for a request that had an earlier attempt.
func (q *rankQueue) push(r *entity.Request, share int64, front bool) {
	a := q.account(r.Account)
	a.share = max(share, 1)
	if a.waiting == 0 {
		a.startTag = max(a.finishTag, q.virtualTime)
		q.active = append(q.active, a)
	}
	queued, _ := a.byService.Get(r.Service)
	if front {
		queued = append([]*entity.Request{r}, queued...)
	} else {
		queued = append(queued, r)
	}
	a.byService.Put(r.Service, queued)
	a.waiting++
	a.waitingTokens += r.MaxCost
	q.waiting++
}

// shedCandidate returns the newest request of the account with the most waiting
// tokens relative to its share.
func (q *rankQueue) shedCandidate() *entity.Request {
	heaviest := q.active[0]
	for _, a := range q.active {
		if a.waitingTokens/a.share > heaviest.waitingTokens/heaviest.share {
			heaviest = a
		}
	}
	var newest *entity.Request
	for _, queued := range heaviest.byService.Rows() {
		if last := queued[len(queued)-1]; newest == nil || last.ID > newest.ID {
			newest = last
		}
	}
	return newest
}

// estimateWait estimates how long a new request of an account will wait if the
// queue is served perSecond tokens per second. The account gets its share of
// that rate, which must first serve the account's waiting requests.
func (q *rankQueue) estimateWait(perSecond float64, account string, share, cost int64) time.Duration {
	if q.waiting == 0 || perSecond == 0 {
		return 0
	}
	accountTokens := cost
	totalShares := max(share, 1)
	for _, a := range q.active {
		if a.name == account {
			accountTokens += a.waitingTokens
			continue
		}
		totalShares += a.share
	}
	seconds := float64(accountTokens) * float64(totalShares) / (float64(max(share, 1)) * perSecond)
	return time.Duration(seconds * float64(time.Second))
}

// oldestFitting returns the account's oldest request for which an endpoint has room.
func (a *accountQueue) oldestFitting(hasRoom roomCheck) *entity.Request {
	var oldest *entity.Request
	for _, queued := range a.byService.Rows() {
		for _, r := range queued[:min(len(queued), maxLookahead)] {
			if !hasRoom(r) {
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

// peek returns a request for which an endpoint has room, or nil. Among the
// accounts with such a request, it selects the one with the smallest start tag.
func (q *rankQueue) peek(hasRoom roomCheck) *entity.Request {
	var first *accountQueue
	var next *entity.Request
	for _, a := range q.active {
		if first != nil && a.startTag >= first.startTag {
			continue
		}
		if r := a.oldestFitting(hasRoom); r != nil {
			first, next = a, r
		}
	}
	return next
}

// dequeue removes the request that peek returned and advances the tags of its
// account by the request's cost, divided by the account's share.
func (q *rankQueue) dequeue(r *entity.Request) {
	a := q.account(r.Account)
	q.virtualTime = max(q.virtualTime, a.startTag)
	a.finishTag = a.startTag + float64(r.MaxCost)/float64(a.share)
	a.startTag = a.finishTag
	q.remove(r)
}

// refund moves an account's tags back by the unused tokens of a reservation, so
// that fairness counts the tokens that were used.
func (q *rankQueue) refund(account string, tokens int64) {
	a, ok := q.accounts.Get(account)
	if !ok {
		return
	}
	back := float64(tokens) / float64(a.share)
	a.finishTag -= back
	if a.waiting > 0 {
		a.startTag -= back
	}
}

// remove takes a request out of the queue.
func (q *rankQueue) remove(r *entity.Request) {
	a := q.account(r.Account)
	queued, _ := a.byService.Get(r.Service)
	for i, other := range queued {
		if other != r {
			continue
		}
		q.finishRemove(a, r, append(queued[:i:i], queued[i+1:]...))
		return
	}
}

// finishRemove stores what remains of an account's queue after r was removed and
// updates the counters.
func (q *rankQueue) finishRemove(a *accountQueue, r *entity.Request, rest []*entity.Request) {
	if len(rest) == 0 {
		a.byService.Delete(r.Service)
	} else {
		a.byService.Put(r.Service, rest)
	}
	a.waiting--
	a.waitingTokens -= r.MaxCost
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
