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
	// profileAssumptions is the weight of a model's assumptions in a profile. It
	// is small, as a quiet VM would need minutes to outweigh them.
	profileAssumptions = 0.2
	// usualError is the relative error of a prediction at which a response counts
	// half. Most large errors come from prompts that other VMs have just sent,
	// and tell nothing of the service.
	usualError = 0.2
	// referenceMs is the predicted time at which a response counts as one.
	// Longer ones count less, as their errors are larger in proportion.
	referenceMs = 50.0
	// maxSizeWeight bounds the weight of short responses.
	maxSizeWeight = 4.0
)

// profile is what a table has learnt of one service while the load of other VMs
// was known.
type profile struct {
	// model is fitted over all tokens ahead at the usual speed, the request's own
	// included.
	model      *model
	responses  int     // that the model has learnt from
	durationMs float64 // of a request at an endpoint
	arrivals   arrivals
}

func newProfile() *profile {
	m := newModel()
	m.scale(profileAssumptions)
	return &profile{model: m, durationMs: assumedDurationMs}
}

// observeFirstChunk learns from the first chunk of a response. tokens are those
// ahead, at the usual speed.
func (p *profile) observeFirstChunk(tokens, ms float64) {
	predictedMs := p.model.baseMs() + tokens/p.model.tokensPerMs()
	size := referenceMs / predictedMs
	excess := (ms/predictedMs - 1) / usualError
	p.model.observeWeighted(tokens, ms, min(size*size, maxSizeWeight)/(1+excess*excess))
	p.responses++
}

// observeEnd learns from the duration of a request.
func (p *profile) observeEnd(d time.Duration) {
	p.durationMs = max(p.durationMs+durationWeight*(milliseconds(d)-p.durationMs), 1)
}
