package storepath

import (
	"io"
	"maps"
	"net/http"
	"net/url"
	"strings"

	"github.com/go-logr/logr"
)

// maxRequestBytes bounds the request of another VM.
const maxRequestBytes = 2 << 20

// Relay is an http.Handler that forwards the requests of other VMs to the store,
// as long as this VM reaches it directly.
type Relay struct {
	Transport *Transport
	Store     string // IP:port
	Log       logr.Logger
}

// ServeHTTP implements http.Handler. It responds 502 when this VM cannot reach the
// store, and aborts a response that the store breaks off.
func (l *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if l.Transport.directFailing() {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	response, err := l.forward(r)
	if err != nil {
		l.Log.V(1).Info("request of another VM not forwarded to the store", "from", r.RemoteAddr, "error", err.Error())
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	copyEndToEnd(w.Header(), response.Header)
	w.WriteHeader(response.StatusCode)
	if _, err := io.Copy(w, response.Body); err != nil {
		l.Log.V(1).Info("response of the store not forwarded", "to", r.RemoteAddr, "error", err.Error())
		abortResponse(w)
	}
}

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// copyEndToEnd copies the headers of the store's response that are meant for the VM that sent
// the request.
func copyEndToEnd(to, from http.Header) {
	maps.Copy(to, from)
	for _, named := range from.Values("Connection") {
		for name := range strings.SplitSeq(named, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		to.Del(name)
	}
}

// abortResponse aborts a response that has begun, so that the other VM sees that it is
// broken off. The head is sent first: without one, the other VM would take this one for lost.
func abortResponse(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush() // fails only on a closed connection
	panic(http.ErrAbortHandler)
}

// forward sends a request of another VM to the store.
func (l *Relay) forward(r *http.Request) (*http.Response, error) {
	target := &url.URL{Scheme: "http", Host: l.Store, Path: strings.TrimPrefix(r.URL.Path, PathPrefix), RawQuery: r.URL.RawQuery}
	request, err := http.NewRequestWithContext(r.Context(), r.Method, target.String(), io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return nil, err
	}
	request.ContentLength = r.ContentLength
	request.Header.Set("Content-Type", r.Header.Get("Content-Type"))
	return l.Transport.direct.RoundTrip(request)
}
