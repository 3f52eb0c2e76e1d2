// Package route defines the configuration of a gateway and looks up its parts:
// the route of a host and path, the service of a route, and the client account
// of an API key.
package route

import (
	"time"

	"hawthornspar/core/coldstart"
)

// Kind is how a route's requests may be retried and what form their responses
// have.
type Kind int

// Kinds of routes.
const (
	// NonIdempotent requests run at most once each time that a client sends them.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests have a stream of events as response and run at most
	// once.
	Streaming
	// Resumable requests have a stream of events as response, which another
	// endpoint can continue after the last event that was received.
	Resumable
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	return [...]string{"nonIdempotent", "idempotent", "streaming", "resumable"}[k]
}

// Repeatable reports whether a request that may have run may be retried.
func (k Kind) Repeatable() bool { return k == Idempotent || k == Resumable }

// IsStream reports whether responses are streams of events.
func (k Kind) IsStream() bool { return k == Streaming || k == Resumable }

// Split assigns a part of a route's requests to a service.
type Split struct {
	Service string
	Weight  int // relative to the weights of the other splits
}

// Route directs the requests of one host and path prefix to services.
type Route struct {
	Name        string
	Host        string // lower case, without a port
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // until the end of the response; 0 for no limit
	FirstTarget time.Duration // target for the time to the response, or to the first event of a stream
	PauseTarget time.Duration // target for the longest interval between events of a stream
	Priority    int           // 0 is the most urgent
	Splits      []Split
	MaxAttempts int  // number of endpoints that may run one request of a client; 0 counts as 1
	Anonymous   bool // requests need no API key
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots          int   // requests that run concurrently
	MemoryTokens   int64 // tokens of running requests and cached prefix blocks that fit into memory
	TokensPerEvent int64 // maximum of output tokens in one event of a stream
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name           string
	MaxConnections int     // connections to one endpoint from all VMs together
	Engine         *Engine // nil for plain app services
	Cold           coldstart.Tolerance
}

// Account is a client account.
type Account struct {
	Name     string
	Keys     []string // API keys
	Priority *int     // overrides the route's priority unless nil
	Prepaid  *int64   // tokens that the account may use in total; nil for no limit
}

// Limits bounds the requests and connections of clients. A zero value means no
// limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is one version of the whole configuration. VMs exchange documents as
// JSON under the field names of the types in this file.
type Document struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}
