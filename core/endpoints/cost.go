package endpoints

import "time"

const (
	// assumedAim applies to requests without one.
	assumedAim = time.Second
	// comfortable is the part of an aim above which the cost rises steeply.
	comfortable = 0.5
	// steepness is the weight of the square of what exceeds comfortable.
	steepness = 8.0
)

// Cost is the cost of placing a request on an endpoint, in units of aims.
type Cost struct {
	Own    float64 // of the request's own time to the first chunk
	Work   float64 // of reading the prompt, at the service's usual speed: all requests share the endpoints
	Others float64 // of the delay of requests with shorter aims
}

// Total returns the sum of the parts.
func (c Cost) Total() float64 { return c.Own + c.Work + c.Others }

// aim returns the request's aim.
func (r Request) aim() time.Duration {
	if r.Target <= 0 {
		return assumedAim
	}
	return r.Target
}

// ownCost returns the cost of a time to the first chunk.
func ownCost(ms float64, aim time.Duration) float64 {
	part := ms / milliseconds(aim)
	excess := max(part-comfortable, 0)
	return part + steepness*excess*excess
}

// costToOthers returns the cost of the delay that reading a prompt brings to
// requests with shorter aims that are expected at the endpoint meanwhile: each
// waits for half of the reading time on average. An endpoint whose backlog
// exceeds the comfortable part of their aim gets none of them.
// endpoints is the number of endpoints that share these requests.
func (p *profile) costToOthers(s Estimate, aim time.Duration, endpoints, share float64, now time.Time) float64 {
	sum := 0.0
	for _, c := range p.arrivals.byAim {
		if c.aim >= aim {
			continue
		}
		expected := p.arrivals.perMs(c, now) / share / endpoints * s.ReadMs
		coming := max(1-s.WaitMs/(comfortable*milliseconds(c.aim)), 0)
		sum += expected * coming * s.ReadMs / 2 / milliseconds(c.aim)
	}
	return sum
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
