package gateway

import (
	"context"
	"net"
	"net/http"
)

// connKey is the key of a client's connection in the context of its requests.
type connKey struct{}

// withConn adds a client's connection to the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// abort ends a request whose response must not look complete. HTTP/1.1 marks the
// end of a response, so closing the connection is enough. A response to HTTP/1.0
// may end with its connection, which is therefore reset.
func (x *exchange) abort() {
	if !x.request.ProtoAtLeast(1, 1) {
		if c, ok := x.request.Context().Value(connKey{}).(interface{ SetLinger(seconds int) error }); ok {
			// If it fails, the connection is already closed.
			_ = c.SetLinger(0)
		}
	}
	panic(http.ErrAbortHandler)
}
