// Package gateway forwards HTTP requests of clients to endpoints. It connects
// the decisions of core to the network: routes and accounts, prepaid budgets,
// the choice of endpoints, retries, streams, and the synchronisation with the
// store.
package gateway

import (
	"context"
	"net/http"
	"time"

	"hawthornspar/core/endpoints"
	"hawthornspar/core/escrow"
	"hawthornspar/core/evacuation"
	"hawthornspar/core/home"
	"hawthornspar/core/quarantine"
	"hawthornspar/core/revision"
	"hawthornspar/core/route"
)

// RequestInfo is what the headers of a client's request state.
type RequestInfo struct {
	ID              string
	APIKey          string
	ClientTimeout   time.Duration // how long the client waits; 0 when unstated
	PromptTokens    int64
	MaxOutputTokens int64
	PrefixBlocks    []endpoints.PrefixBlock
	LastEventID     string // id of the last event that the client received
}

// ForwardInfo is what an endpoint is told in addition to the client's own
// headers.
type ForwardInfo struct {
	TimeLeft    time.Duration // time until the request's deadline
	EndpointID  string        // id of the endpoint that the request is meant for
	Priority    int
	Account     string
	LastEventID string // id of the event after which a stream continues
}

// ResponseInfo is what the head of an endpoint's response states.
type ResponseInfo struct {
	RequestID string // of the request that the response belongs to
	// EndpointID is the id of the endpoint that answered, if it names itself.
	EndpointID string
	Sealed     bool // the endpoint ran the request and this is its response
	NotRun     bool // the endpoint proves that it did not run the request
	Leaving    bool // the endpoint is leaving
	// RetryAfter is how long the endpoint wants no requests, if it turned this one away.
	RetryAfter time.Duration
	// ColdRemaining is how much longer the endpoint is cold; 0 if it states nothing.
	ColdRemaining time.Duration
}

// Dialect translates between headers and what they state.
type Dialect interface {
	ReadRequest(http.Header) RequestInfo
	SetForwardHeaders(http.Header, ForwardInfo)
	ReadResponse(http.Header) ResponseInfo
	// SetRefusalHeaders sets the headers of a refusal.
	SetRefusalHeaders(h http.Header, id string, retryAfter time.Duration)
}

// StoreTime is the store's version and its clock in milliseconds.
type StoreTime struct {
	Version revision.Version
	Ms      int64
}

// Operations is what the operator has written, or has changed of it.
type Operations struct {
	Configuration *route.Document // nil for none, or no change
	Evacuations   evacuation.Change
}

// empty reports whether the operator has written or changed nothing.
func (o Operations) empty() bool {
	return o.Configuration == nil && len(o.Evacuations.Started) == 0 && len(o.Evacuations.Ended) == 0
}

// Store is the platform's store. A version says where a watch continues. A
// watch returns after wait at the latest.
type Store interface {
	// Operations reads what the operator has written. With an error and a version, only
	// the configuration could not be decoded.
	Operations(context.Context) (Operations, revision.Version, error)
	WatchOperations(ctx context.Context, version revision.Version, wait time.Duration) (Operations, revision.Version, error)
	Registry(context.Context) (endpoints.RegistryChange, revision.Version, error)
	WatchRegistry(ctx context.Context, version revision.Version, wait time.Duration) (endpoints.RegistryChange, revision.Version, error)
	// Budgets reads the budgets of a group, and the store's clock in
	// milliseconds.
	Budgets(ctx context.Context, group int) (escrow.Snapshot, int64, error)
	Transact(ctx context.Context, group int, t *escrow.Transaction) (escrow.Outcome, error)
	// VMs reads the registered VMs, and the store's clock in milliseconds.
	VMs(context.Context) ([]home.VM, int64, error)
	Register(context.Context, home.VM) error
	// Crashes reads the crashes of endpoints and the trials that all VMs know, and
	// the store's clock in milliseconds.
	Crashes(context.Context) (quarantine.Change, StoreTime, error)
	WatchCrashes(ctx context.Context, version revision.Version, wait time.Duration) (quarantine.Change, StoreTime, error)
	WriteCrashes(context.Context, []quarantine.Write) error
	// ClaimTrial writes a trial if its row still has the given version; 0 means that
	// there is none. It returns the trial that the store has then.
	ClaimTrial(ctx context.Context, next quarantine.Trial, version revision.Version) (current quarantine.Trial, claimed bool, err error)
	// Rejected reports whether an error means that the store does not accept a request,
	// however often it is sent.
	Rejected(error) bool
	// HistoryLost reports whether an error means that the store no longer has
	// the changes since a version.
	HistoryLost(error) bool
	// Shared returns the fleet's value of a key. The first VM that calls it
	// sets the value.
	Shared(ctx context.Context, key string, value []byte) ([]byte, error)
}
