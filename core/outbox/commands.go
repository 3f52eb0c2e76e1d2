// Package outbox defines the commands that the core emits.
package outbox

import "hawthornspar/core/entity"

// Command tells the process to perform an action outside the core.
type Command interface{ command() }

// Transact commits Puts to the table service in one transaction if all Checks
// hold.
type Transact struct {
	ID     int64
	Checks []entity.Check
	Puts   []entity.Put
}

// Read requests rows from the table service by key and by key prefix.
type Read struct {
	ID       int64
	Keys     []string
	Prefixes []string
}

// ListVMs requests the platform's list of VMs.
type ListVMs struct{}

// SendMessage sends a message to another VM.
type SendMessage struct {
	To      entity.VM
	Message entity.Message
}

// StartAttempt sends a request to an endpoint.
type StartAttempt struct {
	Request  int64
	Attempt  int
	Endpoint string
	Address  string
	Kind     string // kind of the service
	Order    int    // rank order, for endpoints that support priorities
}

// CancelAttempt cancels an attempt.
type CancelAttempt struct {
	Request int64
	Attempt int
}

// Refuse ends a request without a complete response.
type Refuse struct {
	Request int64
	Refusal entity.Refusal
}

// ReleaseLastFrame releases the last frame of a response, which is held back
// until the request is settled.
type ReleaseLastFrame struct {
	Request int64
	Billed  int64 // tokens
}

// Join lets a client's retry share the response of the request with the same key
// that runs on this VM.
type Join struct {
	Request int64 // the retry
	Running int64 // the request that runs
}

// Replay responds to a retry with the recorded response of a non-idempotent
// request.
type Replay struct {
	Request  int64
	Response entity.AppResponse
}

// Forward forwards a request to another VM.
type Forward struct {
	Request    int64
	To         entity.VM
	MayHaveRun bool // an endpoint may have run it
	// CrashedEndpoints are the names of the endpoints that crashed while they ran the
	// request or one like it.
	CrashedEndpoints []string
}

// ChangeDone is the response to inbox.ChangeRequested.
type ChangeDone struct {
	ID       int64
	Version  int64
	Conflict *entity.Change // conflicting change that is already committed
	Failure  string         // empty on success
}

// QueryDone is the response to inbox.QueryRequested.
type QueryDone struct {
	ID      int64
	Refused bool // the key is not an operator's
	Report  entity.Report
}

// ConfigDone is the response to inbox.ConfigRequested. Each item comes as a
// change with the version of the item's last change.
type ConfigDone struct {
	ID      int64
	Refused bool // the key is not an operator's
	Version int64
	Items   []entity.Change
}

// Count increments a counter.
type Count struct {
	Counter string
	Reason  string // label of the counter
}

// Log writes a log line.
type Log struct {
	Text   string
	Fields []string // alternating keys and values
}

// Ready sets whether this VM accepts requests of clients.
type Ready struct{ Ready bool }

// ShutdownComplete reports that the shutdown is complete and the process can
// exit.
type ShutdownComplete struct{}

// Fenced reports that this incarnation was replaced or is being recovered, and
// that the process must exit.
type Fenced struct{}

func (Transact) command()         {}
func (Read) command()             {}
func (ListVMs) command()          {}
func (SendMessage) command()      {}
func (StartAttempt) command()     {}
func (CancelAttempt) command()    {}
func (Refuse) command()           {}
func (ReleaseLastFrame) command() {}
func (Join) command()             {}
func (Replay) command()           {}
func (Forward) command()          {}
func (ChangeDone) command()       {}
func (QueryDone) command()        {}
func (ConfigDone) command()       {}
func (Count) command()            {}
func (Log) command()              {}
func (Ready) command()            {}
func (ShutdownComplete) command() {}
func (Fenced) command()           {}
