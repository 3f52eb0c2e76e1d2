package experiment

import (
	"slices"
	"time"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
)

// Engine is a fake of a batching model engine.
type Engine struct {
	Name      string
	Slots     int
	QueueSize int
	TokenTime time.Duration
	Prefill   time.Duration // for 1,000 prompt tokens that are not cached
	CacheSize int           // prompt prefixes kept
	Restart   time.Duration // down time after a crash
	Crashes   int
	Runs      int
	Hits      int
	Busy      time.Duration              // slot time used
	Lethal    entity.Table[string, bool] // fingerprints that crash it

	fleet   *Fleet
	down    bool
	running []*work
	waiting []*work
	cache   []uint64
}

// work is an attempt at an engine.
type work struct {
	node        *Node
	incarnation string
	start       outbox.StartAttempt
	submission  entity.Submission
	output      int64
	result      *Result
	over        bool
	begun       time.Time
}

// AddEngine adds an engine that serves the named services.
func (f *Fleet) AddEngine(e *Engine, services ...string) {
	e.fleet = f
	f.Engines = append(f.Engines, e)
	f.Table.Change(entity.EndpointSpec{Name: e.Name, Address: e.Name, Services: services, Slots: e.Slots})
}

func (n *Node) start(c outbox.StartAttempt) {
	f := n.fleet
	j, ok := f.jobs.Get(jobID{n.incarnation, c.Request})
	if !ok {
		n.later(0, inbox.AttemptEnded{Request: c.Request, Attempt: c.Attempt, Endpoint: c.Endpoint, Outcome: inbox.OutcomeNotSent})
		return
	}
	s, _ := n.submissions.Get(c.Request)
	t := &work{node: n, incarnation: n.incarnation, start: c, submission: s, output: j.body.Output, result: j.result}
	for _, e := range f.Engines {
		if e.Name == c.Endpoint {
			f.After(endpointTrip, func() { e.take(t) })
		}
	}
}

func (n *Node) cancel(c outbox.CancelAttempt) {
	for _, e := range n.fleet.Engines {
		for _, t := range append(slices.Clone(e.running), e.waiting...) {
			if t.node == n && t.incarnation == n.incarnation && t.start.Request == c.Request && t.start.Attempt == c.Attempt {
				e.drop(t)
				t.end(inbox.OutcomeCancelled, 0)
			}
		}
	}
}

// take accepts an attempt, or says truthfully that there is no room.
func (e *Engine) take(t *work) {
	switch {
	case e.down:
		t.end(inbox.OutcomeNotSent, 0)
	case len(e.running) < e.Slots:
		e.begin(t)
	case len(e.waiting) < e.QueueSize:
		t.result.Ran++
		e.waiting = append(e.waiting, t)
		slices.SortStableFunc(e.waiting, func(a, b *work) int { return a.start.Order - b.start.Order })
	default:
		t.end(inbox.OutcomeFull, 0)
	}
}

func (e *Engine) begin(t *work) {
	t.result.Ran++
	e.Runs++
	e.running = append(e.running, t)
	t.begun = e.fleet.Now
	if lethal, _ := e.Lethal.Get(t.submission.Fingerprint); lethal {
		e.crash()
		return
	}
	first := e.prefill(t.submission) + e.TokenTime
	e.fleet.After(first, func() { e.first(t) })
	e.fleet.After(first+time.Duration(t.output-1)*e.TokenTime, func() { e.finish(t) })
}

// prefill returns the time to compute a prompt, and caches its prefix.
func (e *Engine) prefill(s entity.Submission) time.Duration {
	tokens := s.PromptTokens
	if i := slices.Index(e.cache, s.Prefix); i >= 0 && s.Prefix != 0 {
		e.Hits++
		e.cache = append(slices.Delete(e.cache, i, i+1), s.Prefix)
		tokens /= 10
	} else if s.Prefix != 0 {
		e.cache = append(e.cache, s.Prefix)
		e.cache = e.cache[max(0, len(e.cache)-e.CacheSize):]
	}
	return time.Duration(tokens) * e.Prefill / 1000
}

func (e *Engine) first(t *work) {
	if t.over {
		return
	}
	if t.result.FirstAt.IsZero() {
		t.result.FirstAt = e.fleet.Now
	}
	t.post(inbox.AttemptStarted{Request: t.start.Request, Attempt: t.start.Attempt})
}

func (e *Engine) finish(t *work) {
	if t.over {
		return
	}
	e.drop(t)
	t.end(inbox.OutcomeCompleted, t.submission.PromptTokens/4+t.output)
}

// drop takes an attempt off the engine and lets the next one in.
func (e *Engine) drop(t *work) {
	if i := slices.Index(e.running, t); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.Busy += e.fleet.Now.Sub(t.begun)
	}
	if i := slices.Index(e.waiting, t); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
	for len(e.running) < e.Slots && len(e.waiting) > 0 && !e.down {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		next.result.Ran--
		e.begin(next)
	}
}

// crash ends everything that the engine runs.
func (e *Engine) crash() {
	e.Crashes++
	e.SetDown(true)
	e.fleet.After(e.Restart, func() { e.SetDown(false) })
}

// SetDown takes the engine down, with all that it runs, or up again.
func (e *Engine) SetDown(down bool) {
	e.down = down
	if !down {
		return
	}
	lost := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	e.cache = nil
	for _, t := range lost {
		t.end(inbox.OutcomeConnectionFailed, 0)
	}
}

func (t *work) post(e inbox.Event) {
	t.node.fleet.After(endpointTrip, func() {
		if t.node.incarnation == t.incarnation {
			t.node.post(e)
		}
	})
}

func (t *work) end(outcome inbox.Outcome, tokens int64) {
	if t.over {
		return
	}
	t.over = true
	t.result.Endpoint = t.start.Endpoint
	t.post(inbox.AttemptEnded{
		Request: t.start.Request, Attempt: t.start.Attempt, Endpoint: t.start.Endpoint,
		Outcome: outcome, EndpointCrashed: outcome == inbox.OutcomeConnectionFailed, Tokens: tokens,
		Response: entity.AppResponse{Status: 200},
	})
}
