// Package inbox holds the typed events that the core consumes.
package inbox

import (
	"hawthornspar/core/entity"
)

// Event is something that happened outside the core.
type Event interface{ event() }

// Submitted brings a caller's parsed request.
type Submitted struct{ Submission entity.Submission }

// CallerGone says that every caller of a request hung up. Tokens is what was
// sent to them so far.
type CallerGone struct {
	Request int64
	Tokens  int64
}

// AttemptStarted says that the endpoint's first byte of an answer arrived.
type AttemptStarted struct {
	Request int64
	Attempt int
}

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of attempts.
const (
	OutcomeAnswered  Outcome = iota // whole answer received
	OutcomeNeverSent                // no connection was made
	OutcomeFull                     // the endpoint said it did not run it: no room
	OutcomeRejected                 // the endpoint refused the content
	OutcomeBroken                   // the connection broke after sending
	OutcomeCancelled                // cancelled by the core
)

// AttemptEnded says how an attempt ended.
type AttemptEnded struct {
	Request  int64
	Attempt  int
	Endpoint string
	Outcome  Outcome
	Died     bool  // a broken attempt's endpoint was found dead, or stayed out of reach
	Tokens   int64 // prompt and output tokens used
	Answer   entity.Answer
}

// TransactOutcome is how a transaction ended.
type TransactOutcome int

// Outcomes of transactions.
const (
	Committed TransactOutcome = iota
	Conflicted
	Unknown // no answer: it may have taken effect
)

// TransactDone answers outbox.Transact.
type TransactDone struct {
	ID      int64
	Outcome TransactOutcome
	Version int64        // of the rows put, when committed
	Current []entity.Row // rows whose check failed, when conflicted
}

// ReadDone answers outbox.Read. Absent keys have version 0.
type ReadDone struct {
	ID   int64
	OK   bool
	Rows []entity.Row
}

// ListDone answers outbox.ListVMs.
type ListDone struct {
	OK  bool
	VMs []entity.Listed
}

// PeerSaid brings a message from another VM.
type PeerSaid struct {
	From    entity.VM
	Message entity.Message
}

// ForwardEnded says how passing a request to a peer ended: answered by it,
// never sent, or broken with nothing known.
type ForwardEnded struct {
	Request int64
	Outcome Outcome
}

// ChangeAsked brings an operator's command.
type ChangeAsked struct {
	ID        int64
	KeyHash   string // hash of the operator's secret
	Operation string
	Expected  int64 // version that last changed the item, -1 for any
	Remove    bool
	Item      entity.Item
}

// QueryAsked asks for a copy of this VM's state.
type QueryAsked struct {
	ID      int64
	KeyHash string // hash of the operator's secret
	Trusted bool   // asked by another VM, which checked the operator
}

// ConfigAsked asks for the items in force.
type ConfigAsked struct {
	ID      int64
	KeyHash string // hash of the operator's secret
}

// StopAsked starts a graceful shutdown.
type StopAsked struct{}

func (Submitted) event()      {}
func (CallerGone) event()     {}
func (AttemptStarted) event() {}
func (AttemptEnded) event()   {}
func (TransactDone) event()   {}
func (ReadDone) event()       {}
func (ListDone) event()       {}
func (PeerSaid) event()       {}
func (ForwardEnded) event()   {}
func (ChangeAsked) event()    {}
func (QueryAsked) event()     {}
func (ConfigAsked) event()    {}
func (StopAsked) event()      {}
