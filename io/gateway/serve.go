package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"hawthornspar/core/endpoints"
	"hawthornspar/core/quarantine"
	"hawthornspar/core/route"
)

// maxDiscardBytes and maxDiscardWait bound what is read of a refused body: a
// few receive windows of a TCP connection, well within a client's timeout.
const (
	maxDiscardBytes = 256 << 10
	maxDiscardWait  = 300 * time.Millisecond
)

// defaultTimeout applies when neither the client nor the route sets a timeout.
const defaultTimeout = 60 * time.Second

// ServeHTTP handles a client's request: it finds the route and the account,
// reads the body, reserves budget and forwards the request to an endpoint.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{gateway: g, writer: w, request: r, arrived: time.Now(), attempted: map[string]bool{}}
	x.info = g.dialect.ReadRequest(r.Header)
	g.trafficBytes.Add(estimatedHeadBytes)
	g.requests.Add(1)
	if g.shuttingDown.Load() || g.closeKeepAlive.Load() {
		w.Header().Set("Connection", "close")
	}
	defer x.releaseBody()
	if refused := x.admit(); refused != nil {
		x.refuse(*refused)
		return
	}
	if g.overloaded() {
		x.refuse(linkCongested)
		return
	}
	if g.isStale() {
		x.refuse(registryStale)
		return
	}
	if refused := x.checkQuarantine(); refused != nil {
		x.refuse(*refused)
		return
	}
	if refused := x.reserve(); refused != nil {
		x.refuse(*refused)
		return
	}
	x.forward()
}

// admit finds the request's route, account and service, and reads its body.
func (x *exchange) admit() *refusal {
	table := x.gateway.state.routes()
	if table == nil {
		return &noConfiguration
	}
	x.configurationVersion = table.Document.Version
	x.route = table.Match(x.request.Host, rawPath(x.request.RequestURI))
	if x.route == nil {
		return &noRoute
	}
	x.account = table.Account(x.info.APIKey)
	if x.account == nil && table.NeedsKey(x.route) {
		return &unknownKey
	}
	x.setDeadline()
	if x.gateway.processor.refusesFor(x.route.EffectivePriority(x.account)) {
		return &processorOverloaded
	}
	x.service = x.route.PickService(x.gateway.state.random.Float64())
	x.engine = engineOf(table, x.service)
	x.properties = endpoints.Request{
		Service: x.service, PrefixBlocks: x.info.PrefixBlocks, PromptTokens: x.info.PromptTokens,
		Target: x.route.FirstTarget, HeldTokens: x.info.PromptTokens + x.info.MaxOutputTokens,
	}
	if x.engine != nil {
		x.properties.MemoryTokens = x.engine.MemoryTokens
	}
	x.parts = quarantine.PartFeatures(sharedParts(x.info.PrefixBlocks))
	x.gateway.state.countRequest(x.service)
	return x.readBody(table.Document.Limits.BodyBytes)
}

// engineOf returns the description of a service's model engines; nil if it has
// none.
func engineOf(t *route.Table, service string) *route.Engine {
	if s := t.Service(service); s != nil {
		return s.Engine
	}
	return nil
}

// rawPath returns the path of a request target as it was sent.
func rawPath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// setDeadline derives the request's deadline from the timeouts of the client
// and the route.
func (x *exchange) setDeadline() {
	timeout := defaultTimeout
	if x.info.ClientTimeout > 0 {
		timeout = x.info.ClientTimeout
	}
	if x.route.Timeout > 0 {
		timeout = min(timeout, x.route.Timeout)
	}
	x.deadline = x.arrived.Add(timeout)
}

// readBody reads the complete body into memory.
func (x *exchange) readBody(limit int64) *refusal {
	r := x.request
	if r.ContentLength == 0 || r.Body == http.NoBody {
		return nil
	}
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength > limit {
		x.discardBody()
		return &bodyTooLarge
	}
	if !x.reserveMemory(max(r.ContentLength, 0)) {
		return &bodyMemoryFull
	}
	control := http.NewResponseController(x.writer)
	if err := control.SetReadDeadline(x.deadline); err != nil {
		return &unreadableBody
	}
	r.Body = http.MaxBytesReader(x.writer, r.Body, limit)
	body, err := x.readAll(r.Body)
	x.gateway.trafficBytes.Add(int64(len(body)))
	if err != nil {
		return bodyRefusal(err)
	}
	x.body = body
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return &unreadableBody
	}
	return nil
}

// discardBody reads the beginning of a refused body: closing a connection with
// unread bytes resets it, and the reset may overtake the refusal.
func (x *exchange) discardBody() {
	if err := http.NewResponseController(x.writer).SetReadDeadline(time.Now().Add(maxDiscardWait)); err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, x.request.Body, maxDiscardBytes); err != nil && err != io.EOF {
		x.gateway.log.V(1).Info("refused body not read", "id", x.info.ID, "error", err.Error())
	}
}

// readAll reads the body, up to its end if its length is unknown.
func (x *exchange) readAll(r io.Reader) ([]byte, error) {
	if x.request.ContentLength <= 0 {
		return io.ReadAll(&memoryReader{exchange: x, source: r})
	}
	body := make([]byte, x.request.ContentLength)
	n, err := io.ReadFull(r, body)
	return body[:n], err
}

// bodyRefusal returns the refusal for a body that could not be read.
func bodyRefusal(err error) *refusal {
	var large *http.MaxBytesError
	var memory *BodyMemoryError
	switch {
	case errors.As(err, &large):
		return &bodyTooLarge
	case errors.As(err, &memory):
		return &bodyMemoryFull
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &bodyTimeout
	}
	return &unreadableBody
}
