package endpoints

import (
	"math"
	"time"
)

// Passive health: what own requests showed of an endpoint, forgotten with time
// so that it is tried again.
const (
	// outcomeWeight is the weight of one outcome in the averages.
	outcomeWeight = 0.15
	// healthLife is the time in which what was seen counts half.
	healthLife = 3 * time.Second
	// failsTolerated is the share of failures that services have without a
	// fault.
	failsTolerated = 0.25
	// failPenaltyMs is added to the estimate of an endpoint that always fails.
	failPenaltyMs = 400.0
	// slowTolerated is how many times the service's mean an endpoint's time to
	// the first piece may be before it counts as slow.
	slowTolerated = 1.8
	// slowPenaltyMost bounds what slowness adds to the estimate, in ms.
	slowPenaltyMost = 400.0
)

// average is an average over outcomes that fades with time.
type average struct {
	value float64
	at    time.Time
}

func (a *average) add(value float64, now time.Time) {
	a.value += outcomeWeight * (value - a.value)
	a.at = now
}

// faded returns the average as far as it still counts.
func (a average) faded(now time.Time) float64 {
	if a.value == 0 {
		return 0
	}
	return a.value * math.Exp2(-now.Sub(a.at).Seconds()/healthLife.Seconds())
}

// penalty returns what failures and slowness add to an endpoint's estimate, in
// ms. mean is the service's mean time to the first piece, in ms.
func (e *Endpoint) penalty(mean float64, now time.Time) float64 {
	fails := max(e.fails.faded(now)-failsTolerated, 0) / (1 - failsTolerated)
	slow := 0.0
	if mean > 0 {
		slow = max(e.lag.faded(now)-slowTolerated*mean, 0)
	}
	return failPenaltyMs*fails + min(slow, slowPenaltyMost)
}

// meanLag returns the mean time to the first piece over endpoints, in ms.
func meanLag(list []*Endpoint) float64 {
	total, n := 0.0, 0
	for _, e := range list {
		if e.lag.value > 0 {
			total += e.lag.value
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return total / float64(n)
}
