package gateway

import (
	"context"
	"math"
	"net/http"
	"time"

	"hawthornspar/core/endpointload"
	"hawthornspar/core/endpoints"
	"hawthornspar/core/home"
	"hawthornspar/io/loadexchange"
)

// loadExchanger keeps what other VMs have in flight at the endpoints up to date, and
// serves the other VMs that do so.
type loadExchanger interface {
	http.Handler
	Start(context.Context)
	// Refresh is called before an endpoint is chosen.
	Refresh(context.Context)
	// PromptSent is called with the number of prompt tokens that an endpoint has to
	// read.
	PromptSent(uncachedTokens int64)
	Leave()
	Close()
	Bytes() int64
}

// loadView implements loadexchange.VM.
type loadView struct{ gateway *Gateway }

// SharesLoad implements loadexchange.VM.
func (v loadView) SharesLoad() bool {
	table := v.gateway.state.routes()
	return table != nil && table.DescribesEngines()
}

// Members implements loadexchange.VM.
func (v loadView) Members() []home.VM {
	s := v.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members
}

// EndpointIDs implements loadexchange.VM.
func (v loadView) EndpointIDs() []string {
	s := v.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints.IDs()
}

// OwnLoads implements loadexchange.VM.
func (v loadView) OwnLoads() map[string]endpointload.Load {
	s := v.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints.OwnLoads()
}

// TakeObservations implements loadexchange.VM.
func (v loadView) TakeObservations() []endpointload.Observation {
	s := v.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints.TakeObservations()
}

// SetOthers implements loadexchange.VM.
func (v loadView) SetOthers(others endpointload.Summary, at time.Time) {
	s := v.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints.SetOthers(others, at)
}

// ForgetOthers implements loadexchange.VM.
func (v loadView) ForgetOthers() {
	s := v.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints.ForgetOthers()
}

// Transport implements loadexchange.VM.
func (v loadView) Transport() loadexchange.Transport {
	if node := v.gateway.borrower.transport(); node != nil {
		return node
	}
	return nil
}

// startAttempt chooses an endpoint and starts an attempt there. It returns nil when
// there is no endpoint.
func (x *exchange) startAttempt(ctx context.Context) *endpoints.Attempt {
	g := x.gateway
	g.loads.Refresh(ctx)
	x.last = g.state.startAttempt(x.properties, x.attempted)
	if x.last != nil {
		g.loads.PromptSent(x.last.PrefillTokens)
	}
	return x.last
}

// firstEvent returns the predicted and the actual time to the first event of the last
// attempt in milliseconds. actual is 0 when there was none.
func (x *exchange) firstEvent() (predicted, actual int64) {
	if x.last == nil {
		return 0, 0
	}
	return int64(x.last.PredictedMs), int64(x.last.ActualMs)
}

// recordForecast records by how much the time to the first event differed from its
// prediction, as a part of the actual time. An error shows nothing of it.
func (x *exchange) recordForecast() {
	if x.last == nil || x.last.ActualMs <= 0 || x.progress.error {
		return
	}
	x.gateway.metrics.ObserveRatio("forecast_error", x.route.Kind.String(), math.Abs(x.last.PredictedMs-x.last.ActualMs)/x.last.ActualMs)
}

// round3 rounds a cost for the log.
func round3(cost float64) float64 { return math.Round(cost*1000) / 1000 }
