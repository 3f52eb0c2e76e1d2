// Package storepath sends HTTP requests to the platform's store, directly or
// through another VM. A network partition or an overloaded store may cut off
// some VMs while others still reach it.
package storepath

import (
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hawthornspar/io/http1"
)

const (
	// PathPrefix is the prefix of the URL paths under which a VM forwards the
	// requests of other VMs to the store.
	PathPrefix = "/store"
	// directPause is how long requests take the path through another VM after a
	// failure of the direct one, but for one that tries the direct path again.
	directPause = time.Second
	// relayPause is how long no request takes the path through another VM after
	// that path failed. It is longer than the time between the requests of one VM,
	// and doubles with each failure in a row, at most maxRelayDoublings times, as the
	// store may be out of reach for all VMs.
	relayPause        = time.Second
	maxRelayDoublings = 2
	// maxRefusals is the number of refusals in a row for too many requests from
	// which the direct path counts as failing. The store may refuse some VMs only;
	// a VM that sends too much itself has other requests that succeed meanwhile.
	maxRefusals = 3
	// maxRelays is the number of VMs that are asked to pass on one request.
	maxRelays = 4
)

// Peers finds other VMs.
type Peers interface {
	// StorePeers returns the base URLs of the VMs that may reach the store, in
	// random order, and the transport to them.
	StorePeers() (baseURLs []string, transport http.RoundTripper)
	// StorePeerLost reports that the VM at a base URL did not respond.
	StorePeerLost(baseURL string)
}

// Transport is an http.RoundTripper for requests to the store. Use New.
type Transport struct {
	direct   http.RoundTripper
	observe  func(Path) // called when requests change from one path to the other
	mu       sync.Mutex
	peers    Peers     // nil while no other VM can be reached
	path     Path      // of the last request that succeeded
	failedAt time.Time // when the direct path last failed; zero while it works
	retryAt  time.Time // when the direct path is tried again
	relayAt  time.Time // from when the path through another VM may be used
	relayed  string    // base URL of the VM that last passed a request on; empty for none
	failures int       // of the path through another VM in a row
	refusals int       // of the direct path in a row
}

// Path is a way to the store.
type Path int

// Ways to the store.
const (
	Direct  Path = iota
	Relayed      // through another VM
)

// String implements fmt.Stringer.
func (p Path) String() string { return [...]string{"direct", "relayed"}[p] }

// Option configures a Transport.
type Option func(*Transport)

// WithObserver sets a function that is called when requests change to another
// path.
func WithObserver(observe func(Path)) Option { return func(t *Transport) { t.observe = observe } }

// New returns a Transport that uses direct for the direct path.
func New(direct http.RoundTripper, options ...Option) *Transport {
	t := &Transport{direct: direct, observe: func(Path) {}}
	for _, o := range options {
		o(t)
	}
	return t
}

// SetPeers sets where other VMs are found.
func (t *Transport) SetPeers(p Peers) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers = p
}

// CloseIdleConnections closes the idle connections of the direct path.
func (t *Transport) CloseIdleConnections() {
	http1.CloseIdleConnections(t.direct)
}

// RoundTrip implements http.RoundTripper. A request that failed on the direct
// path may have reached the store, so callers must bear that it arrives twice.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.relayFirst(time.Now()) {
		if response, err := t.relay(r); err == nil {
			return response, nil
		}
	}
	request, err := again(r)
	if err != nil {
		return nil, err
	}
	response, err := t.direct.RoundTrip(request)
	failed := err != nil || t.refused(response)
	t.recordDirect(r.Context(), failed, time.Now())
	if !failed || r.Context().Err() != nil || !t.mayRelay(time.Now()) {
		return response, err
	}
	relayed, relayErr := t.relay(r)
	if relayErr != nil {
		return response, err
	}
	if response != nil {
		response.Body.Close()
	}
	return relayed, nil
}

// again returns a copy of a request whose body can be sent.
func again(r *http.Request) (*http.Request, error) {
	request := r.Clone(r.Context())
	if r.GetBody == nil {
		return request, nil
	}
	body, err := r.GetBody()
	request.Body = body
	return request, errors.Wrap(err, "body")
}
