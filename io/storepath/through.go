package storepath

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
)

// relay sends a request through another VM: the one that passed the last request
// on, or else up to maxRelays others.
func (t *Transport) relay(r *http.Request) (*http.Response, error) {
	t.mu.Lock()
	peers, last := t.peers, t.relayed
	t.mu.Unlock()
	baseURLs, transport := peers.StorePeers()
	if last != "" {
		baseURLs = append([]string{last}, baseURLs...)
	}
	for _, base := range baseURLs[:min(len(baseURLs), maxRelays)] {
		response, err := relayThrough(base, transport, r)
		if err == nil {
			t.recordRelay(base)
			return response, nil
		}
		var refused *RelayError
		if !errors.As(err, &refused) && !errors.Is(r.Context().Err(), context.Canceled) {
			peers.StorePeerLost(base)
		}
		if r.Context().Err() != nil {
			break
		}
	}
	if !errors.Is(r.Context().Err(), context.Canceled) {
		t.recordRelay("")
	}
	return nil, errors.WithStack(&RelayError{})
}

// relayThrough sends a request through the VM at a base URL.
func relayThrough(base string, transport http.RoundTripper, r *http.Request) (*http.Response, error) {
	request, err := again(r)
	if err != nil {
		return nil, err
	}
	url, err := r.URL.Parse(base + PathPrefix + r.URL.RequestURI())
	if err != nil {
		return nil, errors.Wrap(err, "address of a VM")
	}
	request.URL, request.Host = url, url.Host
	response, err := transport.RoundTrip(request)
	if err == nil && relayFailed(response) {
		response.Body.Close()
		err = errors.WithStack(&RelayError{})
	}
	return response, err
}

// relayFailed reports whether a response shows that the VM that sent it does not
// reach the store either.
func relayFailed(r *http.Response) bool {
	switch r.StatusCode {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return true
	}
	return false
}

// RelayError reports that the store cannot be reached through another VM.
type RelayError struct{}

// Error implements error.
func (*RelayError) Error() string { return "no other VM reaches the store" }
