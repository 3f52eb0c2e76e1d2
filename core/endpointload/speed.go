package endpointload

import (
	"math"
	"time"
)

// Parameters of the relative speed of an endpoint.
const (
	minSpeed = 0.25
	maxSpeed = 4.0
	// closeToUsual is the difference from the usual speed up to which a speed is
	// not returned, as it changes no choice.
	closeToUsual = 0.1
	// minWeight is the number of observations that a speed must rest on.
	minWeight = 8.0
	// firstStep bounds the change by one of the first observations, and lastStep
	// by a later one, in units of the logarithm of the speed. An outlier thus
	// changes a learnt speed by at most 2%.
	firstStep = 0.5
	lastStep  = 0.02
	// gain is the part of an observation's difference that changes the speed.
	gain = 0.05
	// maxWeight bounds the weight of a sample, so that the domains' samples count
	// alike.
	maxWeight = 50.0
	// speedTTL is how long a speed is kept after its last observation. An
	// endpoint that is chosen less often because it is slow still needs it.
	speedTTL = 60 * time.Second
)

// Observation is how long one request waited for its first event. Both times are
// without the part that does not depend on the endpoint's speed.
type Observation struct {
	Endpoint    string
	PredictedMs float64 // for an endpoint of the usual speed
	ActualMs    float64
}

// valid reports whether the observation can be used.
func (o Observation) valid() bool {
	return o.PredictedMs > 0 && o.ActualMs > 0 && !math.IsInf(o.PredictedMs, 0) && !math.IsInf(o.ActualMs, 0)
}

// SpeedSample is an estimate of an endpoint's relative speed.
type SpeedSample struct {
	Speed  float64
	Weight float64 // number of observations, up to a limit
}

// clipped returns the sample with impossible numbers replaced; a sample that is
// not a number has no weight.
func (s SpeedSample) clipped() SpeedSample {
	if !(s.Speed > 0) || !(s.Weight > 0) {
		return SpeedSample{}
	}
	return SpeedSample{min(max(s.Speed, minSpeed), maxSpeed), min(s.Weight, maxWeight)}
}

// speed learns one endpoint's relative speed. It follows the logarithm of the
// observed speeds in bounded steps, and thus their median rather than their
// mean.
type speed struct {
	log       float64
	weight    float64
	updatedAt time.Time
}

// observe adds one observation.
func (s *speed) observe(o Observation, now time.Time) {
	seen := math.Log(min(max(o.PredictedMs/o.ActualMs, minSpeed), maxSpeed))
	step := max(firstStep/(1+s.weight/2), lastStep)
	rate := max(1/(1+s.weight), gain)
	s.log += min(max(rate*(seen-s.log), -step), step)
	s.weight = min(s.weight+1, maxWeight)
	s.updatedAt = now
}

func (s *speed) sample() SpeedSample { return SpeedSample{math.Exp(s.log), s.weight} }

// merged returns the mean speed of samples, as an entry states it: 0 unless it
// rests on enough observations and differs enough from the usual.
func merged(list []SpeedSample) float64 {
	sum, weight := 0.0, 0.0
	for _, s := range list {
		if s.Weight > 0 {
			sum += s.Weight * math.Log(s.Speed)
			weight += s.Weight
		}
	}
	if weight < minWeight {
		return 0
	}
	mean := min(max(math.Exp(sum/weight), minSpeed), maxSpeed)
	if math.Abs(mean-1) <= closeToUsual {
		return 0
	}
	return mean
}
