// Package inbox defines the events that the core processes.
package inbox

import (
	"hawthornspar/core/entity"
	"hawthornspar/core/notrun"
)

// Event is an input of the core.
type Event interface{ event() }

// Submitted delivers a client's parsed request.
type Submitted struct{ Submission entity.Submission }

// ClientDisconnected reports that all clients of a request disconnected. Tokens
// counts the output that was sent to them until then.
type ClientDisconnected struct {
	Request int64
	Tokens  int64
}

// AttemptStarted reports that the first byte of an endpoint's response arrived.
type AttemptStarted struct {
	Request int64
	Attempt int
}

// Outcome is the outcome of an attempt or a forwarded request.
type Outcome int

// Outcomes of attempts and forwarded requests.
const (
	OutcomeCompleted        Outcome = iota // complete response received
	OutcomeNotSent                         // no connection was established
	OutcomeFull                            // the endpoint had no capacity; not run only with a proof
	OutcomeRejected                        // the endpoint rejected the content
	OutcomeConnectionFailed                // the connection failed after the request was sent
	OutcomeCancelled                       // cancelled by the core
)

// AttemptEnded reports the outcome of an attempt.
type AttemptEnded struct {
	Request         int64
	Attempt         int
	Endpoint        string
	Outcome         Outcome
	Proof           notrun.Proof // that the attempt has not run, with OutcomeNotSent and OutcomeFull
	EndpointCrashed bool         // with OutcomeConnectionFailed: the endpoint crashed or stayed unreachable
	Tokens          int64        // prompt and output tokens used
	Response        entity.AppResponse
}

// TransactOutcome is the outcome of a transaction.
type TransactOutcome int

// Outcomes of transactions.
const (
	TransactCommitted TransactOutcome = iota
	TransactConflicted
	TransactUnknown // no response: it may have been committed
)

// TransactDone is the response to outbox.Transact.
type TransactDone struct {
	ID      int64
	Outcome TransactOutcome
	Version int64        // with TransactCommitted: version of the written rows
	Current []entity.Row // with TransactConflicted: rows whose check failed
}

// ReadDone is the response to outbox.Read. The row of a key that does not exist
// has version 0.
type ReadDone struct {
	ID   int64
	OK   bool
	Rows []entity.Row
}

// ListDone is the response to outbox.ListVMs.
type ListDone struct {
	OK  bool
	VMs []entity.ListedVM
}

// PeerMessage delivers a message from another VM.
type PeerMessage struct {
	From    entity.VM
	Message entity.Message
}

// ForwardEnded reports the outcome of forwarding a request to a peer, which is one
// of OutcomeCompleted, OutcomeNotSent and OutcomeConnectionFailed.
type ForwardEnded struct {
	Request int64
	Outcome Outcome
}

// ChangeRequested is an operator's request to change the configuration.
type ChangeRequested struct {
	ID        int64
	KeyHash   string // hash of the operator's secret
	Operation string // the operator's idempotency key
	Expected  int64  // expected version of the item's last change, -1 for any
	Remove    bool
	Item      entity.Item
}

// QueryRequested is a request for this VM's report.
type QueryRequested struct {
	ID      int64
	KeyHash string // hash of the operator's secret
	Trusted bool   // forwarded by another VM, which authenticated the operator
}

// ConfigRequested is an operator's request for all items of the configuration.
type ConfigRequested struct {
	ID      int64
	KeyHash string // hash of the operator's secret
}

// ShutdownRequested starts a graceful shutdown.
type ShutdownRequested struct{}

func (Submitted) event()          {}
func (ClientDisconnected) event() {}
func (AttemptStarted) event()     {}
func (AttemptEnded) event()       {}
func (TransactDone) event()       {}
func (ReadDone) event()           {}
func (ListDone) event()           {}
func (PeerMessage) event()        {}
func (ForwardEnded) event()       {}
func (ChangeRequested) event()    {}
func (QueryRequested) event()     {}
func (ConfigRequested) event()    {}
func (ShutdownRequested) event()  {}
