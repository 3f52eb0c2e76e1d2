// Package route decides where a request goes: routes by host and path prefix,
// the client accounts behind API keys, and the versions of the configuration
// that holds both.
package route

import "time"

// Kind says what may be repeated of a route's requests.
type Kind int

// Kinds of routes.
const (
	// NonIdempotent requests run at most once for each attempt of a client.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming answers are events; such a request runs at most once.
	Streaming
	// Resumable streams may go on at another endpoint after the last event.
	Resumable
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	return [...]string{"nonIdempotent", "idempotent", "streaming", "resumable"}[k]
}

// Repeatable tells whether a request may be sent again when it may have run.
func (k Kind) Repeatable() bool { return k == Idempotent || k == Resumable }

// Stream tells whether answers are streams of events.
func (k Kind) Stream() bool { return k == Streaming || k == Resumable }

// Split is a service's part of a route's requests.
type Split struct {
	Service string
	Weight  int // relative to the weights of the other splits
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name        string
	Host        string // lower case, without a port
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // longest time until the final answer; 0 for none
	FirstTarget time.Duration // aim for the answer, or for a stream's first event
	PauseTarget time.Duration // longest pause between events for a stream in time
	Priority    int           // 0 is served first
	Splits      []Split
	MaxAttempts int  // endpoints that one attempt of a client may run on
	Anonymous   bool // needs no API key
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots          int   // requests that run at once
	MemoryTokens   int64 // tokens of running requests and cached parts
	TokensPerEvent int64 // output tokens that one event of a stream holds at most
}

// Service is a group of endpoints that serve the same.
type Service struct {
	Name           string
	MaxConnections int     // connections to one endpoint from all VMs together
	Engine         *Engine // nil for plain app services
}

// Account is a client account.
type Account struct {
	Name     string
	Keys     []string
	Priority *int   // goes before the route's when set
	Prepaid  *int64 // tokens that the account may use in all; nil for no limit
}

// Limits bound what clients may send. Zero values mean no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is one version of the whole configuration.
type Document struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}
