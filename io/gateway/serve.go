package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"hawthornspar/core/endpoints"
	"hawthornspar/core/route"
)

// bufferedMost bounds the request bodies in memory, well below a small VM's.
const bufferedMost = 64 << 20

// discardBytes and discardWait bound what is read of a refused body: some
// windows of a connection, well within a client's patience.
const (
	discardBytes = 256 << 10
	discardWait  = 300 * time.Millisecond
)

// timeoutDefault is used when neither the client nor the route sets a bound.
const timeoutDefault = 60 * time.Second

// ServeHTTP takes a client's request: it finds the route and the account, reads
// the body, reserves budget and forwards.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{gateway: g, writer: w, request: r, arrived: time.Now(), tried: map[string]bool{}}
	x.info = g.dialect.ReadRequest(r.Header)
	g.passed.Add(headBytes)
	g.requests.Add(1)
	if g.stopping.Load() || g.sheds.Load() {
		w.Header().Set("Connection", "close")
	}
	if refused := x.admit(); refused != nil {
		x.refuse(*refused)
		return
	}
	defer g.buffered.Add(-int64(len(x.body)))
	if g.overloaded() {
		x.refuse(linkFull)
		return
	}
	if refused := x.reserve(); refused != nil {
		x.refuse(*refused)
		return
	}
	x.run()
}

// admit finds route, account and service, and reads the body.
func (x *exchange) admit() *refusal {
	table := x.gateway.state.routes()
	if table == nil {
		return &noConfiguration
	}
	x.version = table.Document.Version
	x.route = table.Match(x.request.Host, rawPath(x.request.RequestURI))
	if x.route == nil {
		return &noRoute
	}
	x.account = table.Account(x.info.Key)
	if x.account == nil && table.NeedsKey(x.route) {
		return &unknownKey
	}
	x.setDeadline()
	x.service = x.route.Pick(x.gateway.state.random.Float64())
	x.engine = engineOf(table, x.service)
	x.work = endpoints.Work{Service: x.service, Parts: x.info.Parts, Prompt: x.info.PromptTokens}
	x.gateway.state.countRequest(x.service)
	return x.readBody(table.Document.Limits.BodyBytes)
}

func engineOf(t *route.Table, service string) *route.Engine {
	if s := t.Service(service); s != nil {
		return s.Engine
	}
	return nil
}

// rawPath returns the path of a request line as it was sent.
func rawPath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

func (x *exchange) setDeadline() {
	timeout := timeoutDefault
	if x.info.ClientTimeout > 0 {
		timeout = x.info.ClientTimeout
	}
	if x.route.Timeout > 0 {
		timeout = min(timeout, x.route.Timeout)
	}
	x.deadline = x.arrived.Add(timeout)
}

// readBody takes the whole body into memory.
func (x *exchange) readBody(limit int64) *refusal {
	r := x.request
	if r.ContentLength == 0 || r.Body == http.NoBody {
		return nil
	}
	if limit > 0 && r.ContentLength > limit {
		x.discardBody()
		return &bodyTooLarge
	}
	if x.gateway.buffered.Load()+max(r.ContentLength, 0) > bufferedMost {
		return &bodiesFull
	}
	control := http.NewResponseController(x.writer)
	if err := control.SetReadDeadline(x.deadline); err != nil {
		return &badBody
	}
	if limit > 0 {
		r.Body = http.MaxBytesReader(x.writer, r.Body, limit)
	}
	body, err := readAll(r.Body, r.ContentLength)
	x.gateway.passed.Add(int64(len(body)))
	x.gateway.buffered.Add(int64(len(body)))
	x.body = body
	if err != nil {
		x.gateway.buffered.Add(-int64(len(body)))
		x.body = nil
		return bodyRefusal(err)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return &badBody
	}
	return nil
}

// discardBody reads the beginning of a body that is refused: a close with unread
// bytes is a reset, which may overtake the refusal.
func (x *exchange) discardBody() {
	if err := http.NewResponseController(x.writer).SetReadDeadline(time.Now().Add(discardWait)); err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, x.request.Body, discardBytes); err != nil && err != io.EOF {
		x.gateway.log.V(1).Info("refused body not read", "id", x.info.ID, "error", err.Error())
	}
}

func readAll(r io.Reader, length int64) ([]byte, error) {
	if length <= 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	n, err := io.ReadFull(r, body)
	return body[:n], err
}

func bodyRefusal(err error) *refusal {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return &bodyTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &bodyTimeout
	}
	return &badBody
}
