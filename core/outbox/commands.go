// Package outbox holds the typed commands that the core gives.
package outbox

import "hawthornspar/core/entity"

// Command is something to do outside the core.
type Command interface{ command() }

// Transact asks the table service to check and put rows in one transaction.
type Transact struct {
	ID     int64
	Checks []entity.Check
	Puts   []entity.Put
}

// Read asks the table service for rows by key and by prefix.
type Read struct {
	ID       int64
	Keys     []string
	Prefixes []string
}

// ListVMs asks the platform for its list of VMs.
type ListVMs struct{}

// Send passes a message to another VM.
type Send struct {
	To      entity.VM
	Message entity.Message
}

// StartAttempt sends a request to an endpoint.
type StartAttempt struct {
	Request  int64
	Attempt  int
	Endpoint string
	Address  string
	Kind     string
	Order    int // urgency, for engines that honour priority
}

// CancelAttempt stops an attempt.
type CancelAttempt struct {
	Request int64
	Attempt int
}

// Refuse ends a request without a whole answer.
type Refuse struct {
	Request int64
	Refusal entity.Refusal
}

// Finish releases the last frame of an answer.
type Finish struct {
	Request int64
	Billed  int64
}

// Join lets a caller's retry share the answer of a request on this VM.
type Join struct {
	Request int64
	Running int64
}

// Replay answers with a kept answer of a non-idempotent request.
type Replay struct {
	Request int64
	Answer  entity.Answer
}

// Forward passes a request to another VM.
type Forward struct {
	Request    int64
	To         entity.VM
	MayHaveRun bool // an endpoint may have run it
}

// ChangeDone answers inbox.ChangeAsked.
type ChangeDone struct {
	ID       int64
	Version  int64
	Conflict *entity.Change // the winner's change
	Failure  string         // empty on success
}

// QueryDone answers inbox.QueryAsked.
type QueryDone struct {
	ID      int64
	Refused bool // the key is not an operator's
	Report  entity.Report
}

// ConfigDone answers inbox.ConfigAsked. Each item is given as a change with
// the version that last touched it.
type ConfigDone struct {
	ID      int64
	Refused bool // the key is not an operator's
	Version int64
	Items   []entity.Change
}

// Count adds one to a counter.
type Count struct {
	Counter string
	Reason  string
}

// Log writes one line.
type Log struct {
	Text   string
	Fields []string // alternating key and value
}

// Ready says whether callers may be sent to this VM.
type Ready struct{ Ready bool }

// Stopped says that nothing is left to do and the process may exit.
type Stopped struct{}

// Fenced says that another incarnation replaced this one.
type Fenced struct{}

func (Transact) command()      {}
func (Read) command()          {}
func (ListVMs) command()       {}
func (Send) command()          {}
func (StartAttempt) command()  {}
func (CancelAttempt) command() {}
func (Refuse) command()        {}
func (Finish) command()        {}
func (Join) command()          {}
func (Replay) command()        {}
func (Forward) command()       {}
func (ChangeDone) command()    {}
func (QueryDone) command()     {}
func (ConfigDone) command()    {}
func (Count) command()         {}
func (Log) command()           {}
func (Ready) command()         {}
func (Stopped) command()       {}
func (Fenced) command()        {}
