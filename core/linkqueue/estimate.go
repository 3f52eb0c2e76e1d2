package linkqueue

import (
	"math"
	"time"
)

const (
	// flowTimeConstant is the time constant of measured flows, and flowMargin the factor
	// by which requests that go first are expected to grow. On virtual time, with requests
	// of a high rank that fill the link, of 1,829 others 24 were admitted and refused
	// later; 38 with 1 s and a factor of 1.1, as the flow is known too late.
	flowTimeConstant = 500 * time.Millisecond
	flowMargin       = 1.2
	// responsesTimeConstant is that of responses. With a shorter one, a single long
	// response looks like a link without room, until it has left.
	responsesTimeConstant = time.Second
	// minFreeShare is the least share of the link that is expected to be left by
	// responses: more is sent in bursts only, as clients wait for them.
	minFreeShare = 1.0 / 8
	// minRetryAfter and maxRetryAfter bound the time to come back that refused
	// requests are told.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// maxExpectedWait stands for a turn that never comes.
	maxExpectedWait = time.Hour
)

// flow is a smoothed flow of bytes. Its zero value is no flow.
type flow struct {
	bytes   float64 // weighted by age
	updated time.Time
}

// add adds bytes. The weight of bytes decays with a time constant, the same in all calls
// of a flow.
func (f *flow) add(bytes int, constant time.Duration, now time.Time) {
	f.decay(constant, now)
	f.bytes += float64(bytes)
}

// rate returns the bytes per second.
func (f *flow) rate(constant time.Duration, now time.Time) float64 {
	f.decay(constant, now)
	return f.bytes / constant.Seconds()
}

func (f *flow) decay(constant time.Duration, now time.Time) {
	elapsed := max(now.Sub(f.updated), 0)
	f.updated = now
	f.bytes *= math.Exp(-elapsed.Seconds() / constant.Seconds())
}

// expectedWait returns the time after which a request that arrives now is expected
// to have left the VM's link.
func (q *Queue) expectedWait(r Request, c *class, now time.Time) time.Duration {
	wait := min(q.waitInOrder(c, now), q.waitAsOldest(r, c, now))
	return min(wait, maxExpectedWait) + gateDelay + q.transmission(float64(r.Bytes))
}

// waitInOrder returns the wait of a request for its turn by rank and size, while
// requests that are served before it go on arriving as they did.
func (q *Queue) waitInOrder(c *class, now time.Time) time.Duration {
	free := q.freeRate(now)
	ahead := q.excess(now)
	if q.waiting > 0 && c.before(q.oldest().class) {
		free *= 1 - 1.0/turnsPerOldest
	}
	for _, d := range q.classes {
		if c.before(d) {
			break
		}
		if d != c {
			free -= flowMargin * d.admitted.rate(flowTimeConstant, now)
		}
		ahead += float64(d.bytes())
	}
	if free <= 0 {
		return maxExpectedWait
	}
	return seconds(ahead / free)
}

// waitAsOldest returns the wait of a request for a turn as the oldest one, if only
// older requests that are not served before it anyway have such turns.
func (q *Queue) waitAsOldest(r Request, c *class, now time.Time) time.Duration {
	older := 0
	for _, d := range q.classes {
		if !d.before(c) {
			older += d.bytes()
		}
	}
	turns := float64((older + r.Bytes) * turnsPerOldest)
	return seconds((q.excess(now) + turns) / q.freeRate(now))
}

// excess returns the bytes of the link's backlog that must leave before a turn.
func (q *Queue) excess(now time.Time) float64 {
	return max(q.Delay(now)-gateDelay, 0).Seconds() * q.Capacity
}

// freeRate returns the bytes per second that responses leave to requests.
func (q *Queue) freeRate(now time.Time) float64 {
	return max(q.Capacity-q.responses.rate(responsesTimeConstant, now), minFreeShare*q.Capacity)
}

// untilShort returns the time after which the queue is expected to be short.
func (q *Queue) untilShort(now time.Time) time.Duration {
	excess := max(q.Length(now)-gateDelay, 0).Seconds() * q.Capacity
	return min(max(seconds(excess/q.freeRate(now)), minRetryAfter), maxRetryAfter)
}

// seconds returns a number of seconds as a duration of at most maxExpectedWait.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxExpectedWait.Seconds()) * float64(time.Second))
}
