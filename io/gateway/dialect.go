// Package gateway forwards HTTP requests of clients to endpoints. It joins the
// decisions of core to the sockets: routes and accounts, prepaid budgets, the
// choice of endpoints, retries, streams, and what follows the store.
package gateway

import (
	"context"
	"net/http"
	"time"

	"hawthornspar/core/endpoints"
	"hawthornspar/core/escrow"
	"hawthornspar/core/home"
	"hawthornspar/core/route"
)

// RequestInfo is what a client's headers say of its request.
type RequestInfo struct {
	ID            string
	Key           string        // API key
	ClientTimeout time.Duration // how long the client waits; 0 when unstated
	PromptTokens  int64
	OutputTokens  int64 // at most
	Parts         []endpoints.Part
	LastEvent     string // id of the last event that the client has
}

// ForwardInfo is what an endpoint is told besides the client's own headers.
type ForwardInfo struct {
	Left      time.Duration // until the request's deadline
	Endpoint  string        // id of the endpoint that is meant
	Priority  int
	Account   string
	LastEvent string // id of the event after which a stream goes on
}

// ResponseInfo is what the head of an endpoint's answer says.
type ResponseInfo struct {
	ID     string // of the request that it answers
	Sealed bool   // it is an endpoint's answer to a request that ran
	NotRun bool   // the endpoint proves that it did not run the request
}

// Dialect translates headers.
type Dialect interface {
	ReadRequest(http.Header) RequestInfo
	Forward(http.Header, ForwardInfo)
	ReadResponse(http.Header) ResponseInfo
	SetRouterHeaders(h http.Header, id string, retryAfter time.Duration)
}

// Store is the platform's store. Versions say where a watch goes on. A watch
// returns after wait at the latest.
type Store interface {
	Configuration(context.Context) (*route.Document, int64, error)
	WatchConfiguration(ctx context.Context, version int64, wait time.Duration) (*route.Document, int64, error)
	Registry(context.Context) (endpoints.RegistryChange, int64, error)
	WatchRegistry(ctx context.Context, version int64, wait time.Duration) (endpoints.RegistryChange, int64, error)
	// Budgets reads a group of accounts, and the store's clock in milliseconds.
	Budgets(ctx context.Context, group int) (escrow.Snapshot, int64, error)
	Transact(ctx context.Context, group int, t *escrow.Transaction) (escrow.Outcome, error)
	// VMs reads the registered VMs, and the store's clock in milliseconds.
	VMs(context.Context) ([]home.VM, int64, error)
	Register(context.Context, home.VM) error
	HistoryLost(error) bool
	// Shared returns the fleet's value under a key; the first VM sets it.
	Shared(ctx context.Context, key string, value []byte) ([]byte, error)
}
