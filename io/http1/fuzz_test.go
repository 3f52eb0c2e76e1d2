package http1

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// fuzzTimeout is longer than any bound on what is read of one response.
const fuzzTimeout = 10 * time.Second

// pipeWriter writes an endpoint's bytes to a connection, and closes it.
type pipeWriter struct {
	conn net.Conn
	text []byte
}

func (p *pipeWriter) run() {
	_, _ = p.conn.Write(p.text) // the reader may close first
	_ = p.conn.Close()
}

// FuzzReadResponse reads any bytes as the responses of an endpoint.
func FuzzReadResponse(f *testing.F) {
	for _, text := range []string{
		ownResponse, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nother" + ownResponse, "HTTP/1.1 103 Early Hints\r\n\r\n" + ownResponse,
		"HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		"HTTP/1.0 200 OK\r\nId: mine\r\n\r\nrest", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		near, far := net.Pipe()
		w := &pipeWriter{far, text}
		go w.run()
		ctx, cancel := context.WithTimeout(context.Background(), fuzzTimeout)
		defer cancel()
		c := newConn(near, NewPool(NewDialer()), "endpoint")
		defer c.CloseOnDone(ctx)()
		defer near.Close()
		response, err := c.ReadResponse(http.MethodPost, isOwn)
		if err != nil {
			return
		}
		if !isOwn(response) {
			t.Error("a response to another request")
		}
		n, _ := io.Copy(io.Discard, response.Body)
		if n > int64(len(text)) {
			t.Errorf("%d bytes of a body in %d bytes", n, len(text))
		}
		if ctx.Err() != nil {
			t.Error("no end")
		}
	})
}
