package endpoints

import "math"

// speedSteps is the number of steps for each doubling to which speeds are rounded
// before prefixes are assigned by them, so that VMs which have learnt slightly
// different speeds assign a prefix to the same endpoint.
const speedSteps = 2

// rendezvousScore returns the score of the endpoint for a prefix whose hash with the
// endpoint's id is given; the highest score wins. An endpoint gets prefixes in
// proportion to the square of its speed: a prompt whose prefix is cached at a slow
// endpoint is read sooner as a whole at a fast one.
func (e *Endpoint) rendezvousScore(hash uint64) float64 {
	uniform := (float64(hash>>11) + 0.5) / (1 << 53) // in (0, 1)
	return -e.prefixWeight() / math.Log(uniform)
}

// prefixWeight returns the weight of the endpoint among those of its service.
func (e *Endpoint) prefixWeight() float64 {
	if e.speed <= 0 || e.speed == 1 {
		return 1
	}
	rounded := math.Exp2(math.Round(speedSteps*math.Log2(e.speed)) / speedSteps)
	return rounded * rounded
}
