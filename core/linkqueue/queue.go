// Package linkqueue decides in which order requests are sent over a VM's own
// outgoing link while that is crowded, and which of them are refused at once
// because their turn would come too late.
package linkqueue

import (
	"time"

	"hawthornspar/core/load"
)

const (
	// gateDelay is the wait in the link above which requests wait in the VM.
	gateDelay = 50 * time.Millisecond
	// openDelay is the wait in the link up to which a request of any size is sent
	// while others wait. Smaller ones are sent up to gateDelay less sizeFactor times
	// the time that the link needs for them, so that large ones leave room for them:
	// with a factor of 1, app calls beside contracts of 16 ms met an aim of 120 ms in
	// 956 of 1,000 cases only.
	openDelay  = gateDelay / 4
	sizeFactor = 2
	// maxClosed is the longest time without a turn while requests wait: the estimate
	// of the backlog may be wrong.
	maxClosed = time.Second
	// turnsPerOldest is the number of turns of which one goes to the request that
	// has waited longest. A request of many bytes counts as several turns: if one in
	// eight turns of 1.4 kB were a body of 20 kB, bodies would take two thirds of the
	// link from requests of a higher rank.
	turnsPerOldest = 8
	// answerShare is the share of a request's remaining time in which it must be
	// sent. The rest is for the endpoint, and for a wrong estimate.
	answerShare = 0.5
)

// Queue holds the requests that wait for a VM's outgoing link. Its zero value is
// a link without a limit. It is not safe for concurrent use.
type Queue struct {
	Capacity  float64 // bytes per second; 0 for no limit
	backlog   load.Backlog
	classes   []*class // in the order in which they are served
	waiting   int      // requests
	bytes     int      // of the waiting requests
	responses flow
	ordered   int // bytes sent by rank and size since the last turn of the oldest request
	lastTurn  time.Time
}

// Verdict is what becomes of a request that arrives.
type Verdict int

// Verdicts on requests.
const (
	Send Verdict = iota
	Wait
	Refuse
)

// Decision is the verdict on a request.
type Decision struct {
	Verdict    Verdict
	Entry      *Entry        // of a request that waits
	Expected   time.Duration // until the turn of a request that waits or is refused
	RetryAfter time.Duration // until the queue is expected to be short; of a refused request
}

// AddResponse counts bytes of responses, which are sent to clients at once.
func (q *Queue) AddResponse(bytes int, now time.Time) {
	if q.Capacity <= 0 {
		return
	}
	q.add(bytes, now)
	q.responses.add(bytes, responsesTimeConstant, now)
}

// Arrive decides on a request that is ready to be sent. It counts the bytes of one
// that is to be sent now.
func (q *Queue) Arrive(r Request, now time.Time) Decision {
	if q.Capacity <= 0 {
		return Decision{}
	}
	c := q.classOf(r)
	if q.passes(r, c, now) {
		c.admitted.add(r.Bytes, flowTimeConstant, now)
		q.send(r.Bytes, now)
		return Decision{}
	}
	expected := q.expectedWait(r, c, now)
	if float64(expected) > answerShare*float64(r.Deadline.Sub(now)) {
		return Decision{Verdict: Refuse, Expected: expected, RetryAfter: q.untilShort(now)}
	}
	if q.waiting == 0 {
		q.lastTurn = now
	}
	c.admitted.add(r.Bytes, flowTimeConstant, now)
	e := &Entry{Request: r, Arrived: now, class: c}
	c.entries = append(c.entries, e)
	q.waiting++
	q.bytes += r.Bytes
	return Decision{Verdict: Wait, Entry: e, Expected: expected}
}

// passes reports whether a request may be sent without waiting.
func (q *Queue) passes(r Request, c *class, now time.Time) bool {
	if q.waiting == 0 {
		return q.Delay(now) < gateDelay
	}
	if q.oldestIsNext() || !q.fits(r.Bytes, now) {
		return false
	}
	first := q.first()
	return c.before(first.class)
}

// fits reports whether bytes may be added to the link's backlog.
func (q *Queue) fits(bytes int, now time.Time) bool {
	return q.Delay(now) <= q.threshold(bytes)
}

// threshold returns the wait in the link up to which a number of bytes is sent.
func (q *Queue) threshold(bytes int) time.Duration {
	return max(gateDelay-sizeFactor*q.transmission(float64(bytes)), openDelay)
}

// Take removes and returns the next request if it may be sent now, and counts its
// bytes. It returns nil if no request may be sent.
func (q *Queue) Take(now time.Time) *Entry {
	if q.waiting == 0 {
		return nil
	}
	e := q.next()
	if !q.fits(e.Bytes, now) && now.Sub(q.lastTurn) < maxClosed {
		return nil
	}
	asOldest := q.oldestIsNext()
	q.Remove(e)
	q.send(e.Bytes, now)
	if asOldest || q.waiting == 0 {
		q.ordered = 0
	}
	return e
}

// Expired removes and returns the requests that can't be sent in time any more, because
// the estimate at their arrival was wrong: those whose deadlines are near, and the last of
// each class as long as their turns are expected after their deadlines.
func (q *Queue) Expired(now time.Time) []*Entry {
	var expired []*Entry
	for _, c := range q.classes {
		for i := len(c.entries) - 1; i >= 0; i-- {
			if e := c.entries[i]; q.expires(e, now) {
				expired = append(expired, e)
				q.Remove(e)
			}
		}
	}
	return expired
}

// expires reports whether a request can't be sent in time any more.
func (q *Queue) expires(e *Entry, now time.Time) bool {
	left := e.Deadline.Sub(now)
	if left <= q.transmission(float64(e.Bytes)) {
		return true
	}
	last := e.class.entries[len(e.class.entries)-1]
	return e == last && q.expectedWait(e.Request, e.class, now) > left
}

// Remove removes a request whose client has left. It returns false if the request
// does not wait.
func (q *Queue) Remove(e *Entry) bool {
	if !e.class.remove(e) {
		return false
	}
	q.waiting--
	q.bytes -= e.Bytes
	return true
}

// UntilTurn returns the time after which Take may return a request, if no more
// responses are sent meanwhile.
func (q *Queue) UntilTurn(now time.Time) time.Duration {
	if q.waiting == 0 {
		return 0
	}
	return max(q.Delay(now)-q.threshold(q.next().Bytes), 0)
}

// TakeBack takes back the bytes of a request that was not sent after all.
func (q *Queue) TakeBack(bytes int, now time.Time) {
	if q.Capacity > 0 {
		q.add(-bytes, now)
	}
}

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return q.waiting }

// Delay returns how long bytes that are sent now wait in the link.
func (q *Queue) Delay(now time.Time) time.Duration {
	q.backlog.Capacity = q.Capacity
	return q.backlog.Delay(now)
}

// Length returns the time that the link needs for its backlog and all requests that
// wait.
func (q *Queue) Length(now time.Time) time.Duration {
	if q.Capacity <= 0 {
		return 0
	}
	return q.Delay(now) + q.transmission(float64(q.bytes))
}

// send counts the bytes of a request that is sent now.
func (q *Queue) send(bytes int, now time.Time) {
	q.add(bytes, now)
	q.lastTurn = now
	if q.waiting > 0 {
		q.ordered += bytes
	}
}

func (q *Queue) add(bytes int, now time.Time) {
	q.backlog.Capacity = q.Capacity
	q.backlog.Add(bytes, now)
}

// transmission returns the time that the link needs for bytes.
func (q *Queue) transmission(bytes float64) time.Duration {
	return time.Duration(bytes / q.Capacity * float64(time.Second))
}
