package endpoints

import "time"

// Estimate is the predicted time to the first chunk of a response, by its parts
// in milliseconds.
type Estimate struct {
	WaitMs float64 // reading the prompts ahead
	ReadMs float64 // reading the request's own uncached prompt tokens
	SlotMs float64 // until a slot is free
	BaseMs float64 // what does not depend on the endpoint's load
}

// TotalMs returns the sum of the parts in milliseconds.
func (s Estimate) TotalMs() float64 { return s.WaitMs + s.ReadMs + s.SlotMs + s.BaseMs }

// estimate predicts the time to the first chunk at the endpoint: by the load of
// all VMs if that is known, else by this VM's own.
func (e *Endpoint) estimate(r Request, preferred bool, now time.Time) Estimate {
	tokens := float64(r.PromptTokens - e.cachedTokens(r, preferred, now))
	if !e.fleet.known(now) {
		rate := e.model.tokensPerMs()
		return Estimate{WaitMs: float64(e.prefillTokens) / rate, ReadMs: tokens / rate, BaseMs: e.model.baseMs()}
	}
	rate := e.profile.model.tokensPerMs() * e.speed
	return Estimate{
		WaitMs: e.tokensAhead(now) / rate, ReadMs: tokens / rate,
		SlotMs: e.slotWaitMs(now), BaseMs: e.profile.model.baseMs(),
	}
}

// slotWaitMs returns the time until a slot is free for a new request. A slot
// becomes free once in a request's duration over the number of slots.
func (e *Endpoint) slotWaitMs(now time.Time) float64 {
	ahead := e.runningRequests(now) - float64(e.Slots)
	if e.Slots <= 0 || ahead < 0 {
		return 0
	}
	return (ahead + 1) * e.profile.durationMs / float64(e.Slots)
}

// readMs returns the time in which the endpoint reads prompt tokens, in milliseconds.
func (e *Endpoint) readMs(tokens int64) float64 {
	return float64(tokens) / (e.profile.model.tokensPerMs() * e.speed)
}
