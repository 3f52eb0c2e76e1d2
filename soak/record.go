// Package soak plays random faults against the real daemon as separate
// processes, and judges from what callers, endpoints and the store saw whether
// the promises held. A seed gives the schedule of faults.
package soak

import (
	"fmt"
	"time"

	"hawthornspar/platform/standin"
)

// Attempt is one request of a caller, as the caller saw it.
type Attempt struct {
	ID, VM, Target, Account, Body string
	Prompt, Output                int64 // tokens: of the prompt, and at most of the answer
	Sent, Ended                   time.Time
	Left                          time.Time // when the caller gave up; zero if it did not
	Status                        int       // 0 when no answer came
	AnswerID, Seal                string
	Text                          string
	Whole                         bool // the answer ended as complete
}

// Span is a time in which something was disturbed.
type Span struct{ From, To time.Time }

// Change is a configuration as the operator wrote it.
type Change struct {
	At       time.Time
	Document standin.Document
}

// Departure is an endpoint that said that it leaves.
type Departure struct {
	Endpoint string // id
	At       time.Time
}

// Stop is a SIGTERM of a VM.
type Stop struct {
	VM string
	At time.Time
}

// History is all that a run has seen.
type History struct {
	Attempts   []Attempt
	Runs       []standin.Run
	Changes    []Change
	Departures []Departure
	Stops      []Stop
	Ends       []End             // processes that ended by themselves
	Disturbed  map[string][]Span // by VM: signals, and cuts of its link to the store
	Store      []Span
	Endpoints  []Span // any endpoint was disturbed
	Calm       time.Time
	Over       time.Time
}

// End is a process that ended without a signal.
type End struct{ VM string }

// Violation is a promise that did not hold.
type Violation struct {
	Promise string
	Detail  string
}

// String implements fmt.Stringer.
func (v Violation) String() string { return v.Promise + ": " + v.Detail }

func violation(promise, format string, args ...any) Violation {
	return Violation{Promise: promise, Detail: fmt.Sprintf(format, args...)}
}

// overlaps tells whether any of the spans touches one.
func overlaps(spans []Span, s Span) bool {
	for _, o := range spans {
		if o.From.Before(s.To) && s.From.Before(o.To) {
			return true
		}
	}
	return false
}

// calm tells whether a VM and the store were undisturbed in a span and for a
// while before it.
func (h *History) calm(vm string, s Span) bool {
	s.From = s.From.Add(-stable)
	return !overlaps(h.Disturbed[vm], s) && !overlaps(h.Store, s)
}
