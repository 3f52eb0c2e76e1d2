package linkqueue

import (
	"math"
	"time"
)

const (
	// flowTimeConstant is the time constant of measured flows. Shorter ones follow
	// single bodies.
	flowTimeConstant = time.Second
	// minFreeShare is the least share of the link that is expected to be left by
	// responses: more is sent in bursts only, as clients wait for them.
	minFreeShare = 1.0 / 8
	// turnWeight is the weight of one turn in the mean bytes of a turn.
	turnWeight = 1.0 / 16
	// minRetryAfter and maxRetryAfter bound the time to come back that refused
	// requests are told.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// maxExpectedWait stands for a turn that never comes.
	maxExpectedWait = time.Hour
)

// flow is a smoothed flow of bytes. Its zero value is no flow.
type flow struct {
	perSecond float64
	updated   time.Time
}

// add adds bytes.
func (f *flow) add(bytes int, now time.Time) {
	f.perSecond = f.rate(now) + float64(bytes)/flowTimeConstant.Seconds()
	f.updated = now
}

// rate returns the bytes per second.
func (f *flow) rate(now time.Time) float64 {
	elapsed := max(now.Sub(f.updated), 0)
	return f.perSecond * math.Exp(-elapsed.Seconds()/flowTimeConstant.Seconds())
}

// expectedWait returns the time after which a request that arrives now is expected
// to have left the VM's link.
func (q *Queue) expectedWait(r Request, c *class, now time.Time) time.Duration {
	wait := min(q.waitInOrder(c, now), q.waitAsOldest(c, now))
	return min(wait, maxExpectedWait) + gateDelay + q.transmission(float64(r.Bytes))
}

// waitInOrder returns the wait of a request for its turn by rank and size, while
// requests that are served before it go on arriving as they did.
func (q *Queue) waitInOrder(c *class, now time.Time) time.Duration {
	free := q.freeRate(now)
	ahead := q.excess(now)
	for _, d := range q.classes {
		if c.before(d) {
			break
		}
		if d != c {
			free -= d.admitted.rate(now)
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
func (q *Queue) waitAsOldest(c *class, now time.Time) time.Duration {
	older := 0
	for _, d := range q.classes {
		if !d.before(c) {
			older += len(d.entries)
		}
	}
	turns := float64((older + 1) * turnsPerOldest)
	return seconds((q.excess(now) + turns*max(q.turnBytes, float64(c.smallest()))) / q.freeRate(now))
}

// excess returns the bytes of the link's backlog that must leave before a turn.
func (q *Queue) excess(now time.Time) float64 {
	return max(q.Delay(now)-gateDelay, 0).Seconds() * q.Capacity
}

// freeRate returns the bytes per second that responses leave to requests.
func (q *Queue) freeRate(now time.Time) float64 {
	return max(q.Capacity-q.responses.rate(now), minFreeShare*q.Capacity)
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
