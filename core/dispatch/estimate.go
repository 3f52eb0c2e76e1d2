package dispatch

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the exponential decay in rate.
const rateTimeConstant = 5 * time.Second

// rate is an exponentially decaying average of tokens per second.
type rate struct {
	value     float64 // tokens per second
	startedAt time.Time
	updatedAt time.Time
}

// add records tokens at the time now. The first call starts the measurement.
func (r *rate) add(now time.Time, tokens int64) {
	if r.updatedAt.IsZero() {
		r.startedAt, r.updatedAt = now, now
	}
	r.value = r.value*decay(now.Sub(r.updatedAt)) + float64(tokens)/rateTimeConstant.Seconds()
	r.updatedAt = now
}

// perSecond returns the rate, or 0 before one second of measurement. It divides
// by the weight of the measured time, since the average starts at 0.
func (r *rate) perSecond(now time.Time) float64 {
	if r.updatedAt.IsZero() || now.Sub(r.startedAt) < time.Second {
		return 0
	}
	weight := 1 - decay(now.Sub(r.startedAt))
	return r.value * decay(now.Sub(r.updatedAt)) / weight
}

// decay returns the factor by which an average shrinks after d.
func decay(d time.Duration) float64 { return math.Exp(-d.Seconds() / rateTimeConstant.Seconds()) }

// latency is a moving average of the time to first byte and of its absolute
// deviation.
type latency struct {
	mean, deviation time.Duration
}

// add records a measurement.
func (l *latency) add(d time.Duration) {
	if l.mean == 0 {
		l.mean, l.deviation = d, d/2
		return
	}
	l.deviation += (max(d-l.mean, l.mean-d) - l.deviation) / 8
	l.mean += (d - l.mean) / 16
}

// upperEstimate returns a time to first byte that most requests do not exceed.
func (l *latency) upperEstimate() time.Duration { return l.mean + l.deviation }
