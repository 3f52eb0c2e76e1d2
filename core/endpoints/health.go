package endpoints

import (
	"math"
	"time"
)

// Parameters of passive health checking: the outcomes of this VM's own requests
// raise the estimate of a failing or slow endpoint. This effect decays, so that
// the endpoint gets requests again.
const (
	// outcomeWeight is the weight of a new value in a moving average.
	outcomeWeight = 0.15
	// healthHalfLife is the age at which an average counts half.
	healthHalfLife = 3 * time.Second
	// toleratedFailureRate is the failure rate up to which an endpoint gets no
	// penalty, as services fail some requests without a fault of the endpoint.
	toleratedFailureRate = 0.25
	// maxFailurePenaltyMs is added to the estimate of an endpoint that fails
	// every request.
	maxFailurePenaltyMs = 400.0
	// toleratedSlowdown is the time to first chunk, as a multiple of the mean
	// over the service's endpoints, above which an endpoint counts as slow.
	toleratedSlowdown = 1.8
	// maxSlowPenaltyMs bounds the addition to the estimate of a slow endpoint.
	maxSlowPenaltyMs = 400.0
)

// decayingAverage is an exponential moving average of outcomes whose weight
// decays with the age of the last one.
type decayingAverage struct {
	value     float64
	updatedAt time.Time
}

func (a *decayingAverage) add(value float64, now time.Time) {
	a.value += outcomeWeight * (value - a.value)
	a.updatedAt = now
}

// decayed returns the average, reduced by the decay since the last update.
func (a decayingAverage) decayed(now time.Time) float64 {
	if a.value == 0 {
		return 0
	}
	return a.value * math.Exp2(-now.Sub(a.updatedAt).Seconds()/healthHalfLife.Seconds())
}

// healthPenaltyMs returns the milliseconds that failures and slowness add to the
// endpoint's estimate. meanMs is the mean time to first chunk over the service's
// endpoints.
func (e *Endpoint) healthPenaltyMs(meanMs float64, now time.Time) float64 {
	slowMs := 0.0
	if meanMs > 0 {
		slowMs = max(e.firstChunkMs.decayed(now)-toleratedSlowdown*meanMs, 0)
	}
	return e.failurePenaltyMs(now) + min(slowMs, maxSlowPenaltyMs)
}

// failurePenaltyMs returns the milliseconds that failures add to the endpoint's
// estimate.
func (e *Endpoint) failurePenaltyMs(now time.Time) float64 {
	excess := max(e.failureRate.decayed(now)-toleratedFailureRate, 0) / (1 - toleratedFailureRate)
	return maxFailurePenaltyMs * excess
}

// recordUnexplained records by how much a first chunk took longer than an
// endpoint is allowed to, by its predicted time.
func (e *Endpoint) recordUnexplained(predictedMs, ms float64, now time.Time) {
	e.unexplainedMs.add(max(ms-toleratedSlowdown*predictedMs, 0), now)
}

// unexplainedPenaltyMs returns the milliseconds that slowness adds to the
// endpoint's estimate while the load of all VMs is known. The time to first
// chunk alone is no sign of a fault then: it is long behind a long prompt.
func (e *Endpoint) unexplainedPenaltyMs(now time.Time) float64 {
	return min(e.unexplainedMs.decayed(now), maxSlowPenaltyMs)
}

// meanFirstChunkMs returns the mean time to first chunk, in milliseconds, over
// the endpoints that have one. It does not apply the decay.
func meanFirstChunkMs(list []*Endpoint) float64 {
	total, n := 0.0, 0
	for _, e := range list {
		if e.firstChunkMs.value > 0 {
			total += e.firstChunkMs.value
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return total / float64(n)
}
