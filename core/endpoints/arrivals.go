package endpoints

import (
	"math"
	"time"
)

const (
	// arrivalHalfLife is the age at which an arrival counts half. A quiet VM sees
	// two requests a second, so a shorter one would rest on few of them.
	arrivalHalfLife = 10 * time.Second
	// maxAims bounds the aims that are told apart; requests with further ones are
	// not counted.
	maxAims = 8
)

// arrivals counts the requests of one service that this VM has seen, by aim.
type arrivals struct {
	since time.Time // of the first one
	byAim []aimCount
}

// aimCount is the decaying number of requests with one aim.
type aimCount struct {
	aim       time.Duration
	count     float64
	updatedAt time.Time
}

// decayed returns the count with the decay until now.
func (c aimCount) decayed(now time.Time) float64 {
	return c.count * math.Exp2(-now.Sub(c.updatedAt).Seconds()/arrivalHalfLife.Seconds())
}

// add counts a request.
func (a *arrivals) add(aim time.Duration, now time.Time) {
	if aim <= 0 {
		return
	}
	if a.since.IsZero() {
		a.since = now
	}
	for i := range a.byAim {
		if c := &a.byAim[i]; c.aim == aim {
			c.count, c.updatedAt = c.decayed(now)+1, now
			return
		}
	}
	if len(a.byAim) < maxAims {
		a.byAim = append(a.byAim, aimCount{aim, 1, now})
	}
}

// perMs returns the rate of a count, in requests per millisecond. It allows for
// the short time for which arrivals have been counted at first.
func (a *arrivals) perMs(c aimCount, now time.Time) float64 {
	seen := 1 - math.Exp2(-max(now.Sub(a.since).Seconds(), 1)/arrivalHalfLife.Seconds())
	return c.decayed(now) * math.Ln2 / float64(arrivalHalfLife.Milliseconds()) / seen
}
