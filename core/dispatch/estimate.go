package dispatch

import (
	"math"
	"time"
)

// rateWindow is the time constant of a smoothed rate.
const rateWindow = 5 * time.Second

// rate is a smoothed rate of tokens.
type rate struct {
	value float64 // tokens a second
	from  time.Time
	at    time.Time
}

// add counts tokens at a time. The first call starts the measurement.
func (r *rate) add(now time.Time, tokens int64) {
	if r.at.IsZero() {
		r.from, r.at = now, now
	}
	r.value = r.value*decay(now.Sub(r.at)) + float64(tokens)/rateWindow.Seconds()
	r.at = now
}

// perSecond returns the rate, 0 while too little was counted to tell.
func (r *rate) perSecond(now time.Time) float64 {
	if r.at.IsZero() || now.Sub(r.from) < time.Second {
		return 0
	}
	seen := 1 - decay(now.Sub(r.from))
	return r.value * decay(now.Sub(r.at)) / seen
}

func decay(d time.Duration) float64 { return math.Exp(-d.Seconds() / rateWindow.Seconds()) }

// latency is a smoothed time to the first byte with its mean deviation.
type latency struct {
	mean, deviation time.Duration
}

// add takes one more measurement.
func (l *latency) add(d time.Duration) {
	if l.mean == 0 {
		l.mean, l.deviation = d, d/2
		return
	}
	l.deviation += (max(d-l.mean, l.mean-d) - l.deviation) / 8
	l.mean += (d - l.mean) / 16
}

// bound returns a time that most requests stay within.
func (l *latency) bound() time.Duration { return l.mean + l.deviation }
