package endpoints

import "time"

// Avoidance after failures: doubled for each failure in a row.
const (
	avoidFirst = 500 * time.Millisecond
	avoidMost  = 4 * time.Second
	// avoidFull follows a rejection, about the time of a request's work.
	avoidFull = 100 * time.Millisecond
)

// Outcome is how a send ended, as far as it tells of the endpoint.
type Outcome int

// Outcomes of sends.
const (
	// Answered: the endpoint gave an answer of its own.
	Answered Outcome = iota
	// FailedAnswer: the endpoint answered with a server error.
	FailedAnswer
	// Rejected: the endpoint proved that it did not run the request.
	Rejected
	// Failed: refused, reset or cut off.
	Failed
	// Unreached: the send was given up for the caller's sake.
	Unreached
	// Misdirected: another endpoint has the address.
	Misdirected
)

// Send is an own request at an endpoint.
type Send struct {
	Endpoint *Endpoint
	Running  int   // own requests at the endpoint when it was chosen
	Tokens   int64 // of the prompt that the endpoint is expected to read
	Registry int64 // version of the registry that it was chosen by
	begun    time.Time
	first    bool
	ended    bool
}

// Begin counts a send.
func (e *Endpoint) Begin(w Work, now time.Time) *Send {
	tokens := w.Prompt - e.cached(w, false, now)
	s := &Send{Endpoint: e, Running: e.running, Tokens: tokens, begun: now}
	e.running++
	e.prefilling += tokens
	if len(e.parts) > partsKept {
		e.parts = map[string]time.Time{}
	}
	for _, p := range w.shared() {
		e.parts[p.ID] = now
	}
	return s
}

// First counts the first piece of the answer: the prompt has been read.
func (s *Send) First(now time.Time) {
	if s.first {
		return
	}
	s.release()
	s.Endpoint.lag.add(float64(now.Sub(s.begun).Milliseconds()), now)
}

// release counts the prompt as read, or as not to be read any more.
func (s *Send) release() {
	if s.first {
		return
	}
	s.first = true
	s.Endpoint.prefilling -= s.Tokens
}

// End counts the end of a send. It tells whether the endpoint is newly
// avoided.
func (s *Send) End(o Outcome, now time.Time) bool {
	if s.ended {
		return false
	}
	s.ended = true
	s.release()
	e := s.Endpoint
	e.running--
	switch o {
	case Answered:
		e.fails.add(0, now)
		e.failures = 0
		e.avoidUntil = time.Time{}
	case FailedAnswer:
		e.fails.add(1, now)
	case Failed:
		e.fails.add(1, now)
		return e.avoid(now)
	case Misdirected:
		// Its next heartbeat, if it lives, brings it back.
		e.goneAt = now
		return true
	case Rejected:
		e.avoidUntil = later(e.avoidUntil, now.Add(avoidFull))
	case Unreached:
	}
	return false
}

func (e *Endpoint) avoid(now time.Time) bool {
	sound := now.After(e.avoidUntil)
	span := avoidFirst << min(e.failures, 3)
	e.failures++
	e.avoidUntil = now.Add(min(span, avoidMost))
	return sound
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
