package endpoints

import "time"

const (
	// assumedDurationMs is the assumed duration of a request until some have
	// ended.
	assumedDurationMs = 500.0
	// durationWeight is the weight of a new duration in the moving average.
	durationWeight = 0.05
	// minResponses is the number of responses from which a service's model is
	// good enough to tell the speed of endpoints by it.
	minResponses = 20
)

// profile is what a table has learnt of one service while the load of other VMs
// was known.
type profile struct {
	// model is fitted over all tokens ahead at the usual speed, the request's own
	// included.
	model         *model
	responses     int     // that the model has learnt from
	durationMs    float64 // of a request at an endpoint
	othersRunning float64 // requests of other VMs, mean over the service's endpoints
	othersPrefill float64 // prompt tokens of other VMs, mean over the service's endpoints
	arrivals      arrivals
}

func newProfile() *profile { return &profile{model: newModel(), durationMs: assumedDurationMs} }

// setOthers updates the means over the endpoints of the service.
func (p *profile) setOthers(list []*Endpoint) {
	running, prefill := 0.0, 0.0
	for _, e := range list {
		running += float64(e.others.Running)
		prefill += float64(e.others.PrefillTokens)
	}
	n := float64(max(len(list), 1))
	p.othersRunning, p.othersPrefill = running/n, prefill/n
}

// observeFirstChunk learns from the first chunk of a response.
func (p *profile) observeFirstChunk(tokensAhead, ms float64) {
	p.model.observe(tokensAhead, ms)
	p.responses++
}

// observeEnd learns from the duration of a request.
func (p *profile) observeEnd(d time.Duration) {
	p.durationMs += durationWeight * (float64(d.Milliseconds()) - p.durationMs)
}
