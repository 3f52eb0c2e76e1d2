package coldstart

import "time"

// windowTime is the length of the sliding window, the second for which endpoints state
// what they tolerate.
const windowTime = time.Second

// Window holds the times at which this VM last sent requests to one endpoint within a
// second. The zero value is empty.
type Window struct{ sent []time.Time }

// Wait returns the time until a request may be sent within a limit of requests in any
// second, which is at least one; 0 if it may be sent now.
func (w *Window) Wait(limit int, now time.Time) time.Duration {
	w.expire(now)
	if len(w.sent) < limit {
		return 0
	}
	return w.sent[len(w.sent)-limit].Add(windowTime).Sub(now)
}

// Count records a request that is sent now. It keeps as many times as the limit needs.
func (w *Window) Count(limit int, now time.Time) {
	w.expire(now)
	w.sent = append(w.sent, now)
	w.sent = w.sent[max(len(w.sent)-limit, 0):]
}

// expire removes the times that lie at least a second back.
func (w *Window) expire(now time.Time) {
	kept := 0
	for kept < len(w.sent) && now.Sub(w.sent[kept]) >= windowTime {
		kept++
	}
	w.sent = w.sent[kept:]
}
