package experiment

import (
	"net/http"
	"slices"
	"time"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/notrun"
	"hawthornspar/core/outbox"
)

// Engine simulates a batching inference engine with a bounded queue and a
// prefix cache. A request takes PrefillTime for each 1,000 prompt tokens, a
// tenth of that when its prefix is cached, then TimePerToken for each output
// token, however many other requests run.
type Engine struct {
	Name         string
	Slots        int // attempts that run at a time
	QueueSize    int // most attempts that wait for a slot
	TimePerToken time.Duration
	PrefillTime  time.Duration // for 1,000 uncached prompt tokens
	CacheSize    int           // most prompt prefixes in the cache; the least recently used is evicted
	RestartTime  time.Duration // from a crash until the engine is up again
	Crashes      int
	Started      int                        // attempts that got a slot
	CacheHits    int                        // attempts whose prefix was cached
	BusyTime     time.Duration              // slot time of the attempts that completed or were cancelled
	CrashesOn    entity.Table[string, bool] // fingerprints of the requests that crash the engine
	// CrashesOnPrefix is the prefix of the prompts that crash the engine; 0 for none.
	CrashesOnPrefix uint64

	fleet          *Fleet
	down           bool
	running        []*attempt
	queued         []*attempt
	cachedPrefixes []uint64 // least recently used first
}

// attempt is one attempt of a request on an engine. Its events reach only the
// incarnation that started it.
type attempt struct {
	vm           *VM
	incarnation  string
	command      outbox.StartAttempt
	submission   entity.Submission
	outputTokens int64 // length of the response
	result       *Result
	ended        bool      // the engine has reported the outcome
	startedAt    time.Time // when it got a slot
}

// AddEngine adds an engine and registers it as an endpoint of the services.
func (f *Fleet) AddEngine(e *Engine, services ...string) {
	e.fleet = f
	f.Engines = append(f.Engines, e)
	f.Table.Configure(entity.EndpointSpec{Name: e.Name, Address: e.Name, Services: services, Slots: e.Slots})
}

// startAttempt sends a request to the engine of the command's endpoint.
func (vm *VM) startAttempt(c outbox.StartAttempt) {
	f := vm.fleet
	p, ok := f.pending.Get(requestID{vm.incarnation, c.Request})
	if !ok {
		vm.postAfter(0, inbox.AttemptEnded{Request: c.Request, Attempt: c.Attempt, Endpoint: c.Endpoint, Outcome: inbox.OutcomeNotSent, Proof: proofOf(inbox.OutcomeNotSent)})
		return
	}
	s, _ := vm.submissions.Get(c.Request)
	a := &attempt{vm: vm, incarnation: vm.incarnation, command: c, submission: s, outputTokens: p.body.OutputTokens, result: p.result}
	for _, e := range f.Engines {
		if e.Name == c.Endpoint {
			f.After(endpointLatency, func() { e.accept(a) })
		}
	}
}

// proofOf returns the proof that an attempt with an outcome has not run, if there is one.
func proofOf(o inbox.Outcome) notrun.Proof {
	switch o {
	case inbox.OutcomeNotSent:
		return notrun.FromError(&notrun.UnwrittenError{})
	case inbox.OutcomeFull:
		return notrun.FromResponse(notrun.Attempt{RequestID: "r"}, notrun.Response{Status: http.StatusTooManyRequests, RequestID: "r", NotRun: true})
	}
	return notrun.Proof{}
}

// cancelAttempt removes an attempt from its engine, whether it runs or waits.
func (vm *VM) cancelAttempt(c outbox.CancelAttempt) {
	for _, e := range vm.fleet.Engines {
		for _, a := range append(slices.Clone(e.running), e.queued...) {
			if a.vm == vm && a.incarnation == vm.incarnation && a.command.Request == c.Request && a.command.Attempt == c.Attempt {
				e.remove(a)
				a.end(inbox.OutcomeCancelled, 0)
			}
		}
	}
}

// accept runs or queues an attempt. It ends the attempt with OutcomeFull when the
// queue is full, and with OutcomeNotSent when the engine is down.
func (e *Engine) accept(a *attempt) {
	switch {
	case e.down:
		a.end(inbox.OutcomeNotSent, 0)
	case len(e.running) < e.Slots:
		e.start(a)
	case len(e.queued) < e.QueueSize:
		a.result.Attempts++
		e.queued = append(e.queued, a)
		slices.SortStableFunc(e.queued, func(x, y *attempt) int { return x.command.Order - y.command.Order })
	default:
		a.end(inbox.OutcomeFull, 0)
	}
}

// start assigns a slot to an attempt and schedules its first token and its end.
// A request that crashesOn reports crashes the engine instead.
func (e *Engine) start(a *attempt) {
	a.result.Attempts++
	e.Started++
	e.running = append(e.running, a)
	a.startedAt = e.fleet.Now
	if e.crashesOn(a.submission) {
		e.crash()
		return
	}
	first := e.prefill(a.submission) + e.TimePerToken
	e.fleet.After(first, func() { e.firstToken(a) })
	e.fleet.After(first+time.Duration(a.outputTokens-1)*e.TimePerToken, func() { e.complete(a) })
}

// crashesOn reports whether a submission crashes the engine.
func (e *Engine) crashesOn(s entity.Submission) bool {
	crashes, _ := e.CrashesOn.Get(s.Fingerprint)
	return crashes || e.CrashesOnPrefix != 0 && s.Prefix == e.CrashesOnPrefix
}

// prefill returns how long a prompt's prefill takes, and caches its prefix.
func (e *Engine) prefill(s entity.Submission) time.Duration {
	tokens := s.PromptTokens
	if i := slices.Index(e.cachedPrefixes, s.Prefix); i >= 0 && s.Prefix != 0 {
		e.CacheHits++
		e.cachedPrefixes = append(slices.Delete(e.cachedPrefixes, i, i+1), s.Prefix)
		tokens /= 10
	} else if s.Prefix != 0 {
		e.cachedPrefixes = append(e.cachedPrefixes, s.Prefix)
		e.cachedPrefixes = e.cachedPrefixes[max(0, len(e.cachedPrefixes)-e.CacheSize):]
	}
	return time.Duration(tokens) * e.PrefillTime / 1000
}

// firstToken reports that an attempt's response has begun.
func (e *Engine) firstToken(a *attempt) {
	if a.ended {
		return
	}
	if a.result.FirstTokenAt.IsZero() {
		a.result.FirstTokenAt = e.fleet.Now
	}
	a.post(inbox.AttemptStarted{Request: a.command.Request, Attempt: a.command.Attempt})
}

// complete ends an attempt with its complete response.
func (e *Engine) complete(a *attempt) {
	if a.ended {
		return
	}
	e.remove(a)
	a.end(inbox.OutcomeCompleted, a.submission.PromptTokens/4+a.outputTokens)
}

// remove takes an attempt off the engine and starts queued ones in free slots.
func (e *Engine) remove(a *attempt) {
	if i := slices.Index(e.running, a); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.BusyTime += e.fleet.Now.Sub(a.startedAt)
	}
	if i := slices.Index(e.queued, a); i >= 0 {
		e.queued = slices.Delete(e.queued, i, i+1)
	}
	for len(e.running) < e.Slots && len(e.queued) > 0 && !e.down {
		next := e.queued[0]
		e.queued = e.queued[1:]
		next.result.Attempts--
		e.start(next)
	}
}

// crash takes the engine down for RestartTime.
func (e *Engine) crash() {
	e.Crashes++
	e.SetDown(true)
	e.fleet.After(e.RestartTime, func() { e.SetDown(false) })
}

// SetDown takes the engine down or brings it up again. Going down
// interrupts all running and queued attempts and empties the prefix cache.
func (e *Engine) SetDown(down bool) {
	e.down = down
	if !down {
		return
	}
	interrupted := append(e.running, e.queued...)
	e.running, e.queued = nil, nil
	e.cachedPrefixes = nil
	for _, a := range interrupted {
		a.end(inbox.OutcomeConnectionFailed, 0)
	}
}

// post delivers an event to the VM, if the incarnation that started the attempt
// still runs.
func (a *attempt) post(e inbox.Event) {
	a.vm.fleet.After(endpointLatency, func() {
		if a.vm.incarnation == a.incarnation {
			a.vm.post(e)
		}
	})
}

// end reports an attempt's outcome, once.
func (a *attempt) end(outcome inbox.Outcome, tokens int64) {
	if a.ended {
		return
	}
	a.ended = true
	a.result.Endpoint = a.command.Endpoint
	a.post(inbox.AttemptEnded{
		Request: a.command.Request, Attempt: a.command.Attempt, Endpoint: a.command.Endpoint,
		Outcome: outcome, Proof: proofOf(outcome), EndpointCrashed: outcome == inbox.OutcomeConnectionFailed, Tokens: tokens,
		Response: entity.AppResponse{Status: 200},
	})
}
