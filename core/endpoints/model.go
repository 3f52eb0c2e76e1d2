package endpoints

// Assumptions about a service until enough responses were seen.
const (
	assumedTokensPerMs  = 100.0
	assumedFirstChunkMs = 50.0
	// assumptionWeight is the number of responses that the assumptions count as.
	assumptionWeight = 20.0
	// assumedPromptTokens is the prompt to which the assumptions refer.
	assumedPromptTokens = 2_000.0
)

const (
	// modelDecay is the factor by which the weight of earlier responses shrinks
	// with each new one.
	modelDecay = 0.995
	// minTokensPerMs and maxTokensPerMs bound the estimated prefill rate.
	minTokensPerMs = 5.0
	maxTokensPerMs = 2_000.0
	// maxRunningRequestMs bounds what one running request adds to an estimate.
	maxRunningRequestMs = 40.0
)

// model describes the endpoints of one service by a line that is fitted to their
// responses: the time to the first chunk over the prompt tokens to prefill. The
// first chunk of a plain service is its whole response.
type model struct{ n, x, y, xx, xy float64 }

// newModel returns a model that holds the assumptions.
func newModel() *model {
	m := &model{}
	for _, tokens := range []float64{0, 2 * assumedPromptTokens} {
		m.add(tokens, assumedFirstChunkMs+tokens/assumedTokensPerMs, assumptionWeight/2)
	}
	return m
}

func (m *model) add(tokens, ms, weight float64) {
	m.n += weight
	m.x += weight * tokens
	m.y += weight * ms
	m.xx += weight * tokens * tokens
	m.xy += weight * tokens * ms
}

// observe adds one response.
func (m *model) observe(tokens, ms float64) { m.observeWeighted(tokens, ms, 1) }

// observeWeighted adds one response that counts as much as its weight.
func (m *model) observeWeighted(tokens, ms, weight float64) {
	m.scale(modelDecay)
	m.add(tokens, ms, weight)
}

// scale multiplies the weight of all that was added.
func (m *model) scale(factor float64) {
	m.n *= factor
	m.x *= factor
	m.y *= factor
	m.xx *= factor
	m.xy *= factor
}

// tokensPerMs returns the estimated prefill rate.
func (m *model) tokensPerMs() float64 {
	variance := m.n*m.xx - m.x*m.x
	covariance := m.n*m.xy - m.x*m.y
	if variance <= 0 || covariance <= 0 {
		return maxTokensPerMs
	}
	return min(max(variance/covariance, minTokensPerMs), maxTokensPerMs)
}

// baseMs returns the estimated time to the first chunk without any prefill.
func (m *model) baseMs() float64 {
	return max((m.y-m.x/m.tokensPerMs())/m.n, 1)
}

// runningRequestMs returns what one running request adds to the estimate of an
// endpoint that runs slots requests concurrently.
func (m *model) runningRequestMs(slots int) float64 {
	return min(m.baseMs()/float64(max(slots, 1)), maxRunningRequestMs)
}
