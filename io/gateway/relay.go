package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"hawthornspar/core/endpoints"
	"hawthornspar/io/http1"
)

// relayBytes is the size of one read from an endpoint.
const relayBytes = 4096

var buffers = sync.Pool{New: func() any { b := make([]byte, relayBytes); return &b }}

// relayed is what the client has got of its answer.
type relayed struct {
	begun     bool
	events    int
	lastEvent string // id
}

// hopHeaders concern one connection only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// dropHopHeaders removes the headers that are for one connection only.
func dropHopHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// outgoing returns the request as an endpoint gets it.
func (x *exchange) outgoing(s *endpoints.Send) http1.Request {
	header := x.request.Header.Clone()
	dropHopHeaders(header)
	header.Del("Content-Length")
	header.Del("Expect")
	send := ForwardInfo{Left: time.Until(x.deadline), Endpoint: s.Endpoint.ID, Priority: x.route.Rank(x.account), LastEvent: x.relayed.lastEvent}
	if x.account != nil {
		send.Account = x.account.Name
	}
	x.gateway.dialect.Forward(header, send)
	r := x.request
	return http1.Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: header, Body: x.body, Length: r.ContentLength >= 0 && r.Method != http.MethodGet}
}

// finish reads an answer that is not relayed to its end.
func (x *exchange) finish(conn *http1.Conn, response *http.Response, stop func() bool) {
	_, err := io.Copy(io.Discard, io.LimitReader(response.Body, 1<<16))
	stop()
	if err != nil {
		conn.Close()
		return
	}
	conn.Finish(response)
}

// relay passes an answer to the client.
func (x *exchange) relay(s *endpoints.Send, response *http.Response) error {
	if x.route.Kind.Stream() && response.StatusCode == http.StatusOK {
		return x.relayStream(s, response)
	}
	x.gateway.state.first(s)
	x.begin(response)
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	n, err := io.CopyBuffer(struct{ io.Writer }{x.writer}, response.Body, *buffer)
	x.gateway.passed.Add(n)
	return err
}

// begin writes the head of the answer once.
func (x *exchange) begin(response *http.Response) {
	if x.relayed.begun {
		return
	}
	x.relayed.begun = true
	x.gateway.metrics.Time("first_piece_seconds", x.route.Kind.String(), time.Since(x.arrived))
	h := x.writer.Header()
	stopping := h.Get("Connection")
	dropHopHeaders(response.Header)
	for name, values := range response.Header {
		h[name] = values
	}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	if stopping != "" {
		h.Set("Connection", stopping)
	}
	if response.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	x.writer.WriteHeader(response.StatusCode)
}

// relayStream passes whole events on as they arrive, so that a stream that
// breaks can go on elsewhere without a repeated or missing piece.
func (x *exchange) relayStream(s *endpoints.Send, response *http.Response) error {
	control := http.NewResponseController(x.writer)
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	var held []byte
	for {
		n, err := response.Body.Read(*buffer)
		held = append(held, (*buffer)[:n]...)
		whole := bytes.LastIndex(held, eventEnd)
		if whole >= 0 {
			x.gateway.state.first(s)
			events := held[:whole+len(eventEnd)]
			x.begin(response)
			x.countEvents(events)
			x.gateway.passed.Add(int64(len(events)))
			if _, e := x.writer.Write(events); e != nil {
				return e
			}
			if e := control.Flush(); e != nil {
				return e
			}
			held = append(held[:0], held[whole+len(eventEnd):]...)
		}
		if err == io.EOF {
			return x.endStream(response, held)
		}
		if err != nil {
			return err
		}
	}
}

// endStream writes what follows the last event of a whole answer.
func (x *exchange) endStream(response *http.Response, rest []byte) error {
	x.begin(response)
	_, err := x.writer.Write(rest)
	return err
}

var (
	eventEnd    = []byte("\n\n")
	eventIDLine = []byte("id:")
)

// countEvents counts whole events and remembers the last id.
func (x *exchange) countEvents(events []byte) {
	x.relayed.events += bytes.Count(events, eventEnd)
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if bytes.HasPrefix(line, eventIDLine) {
			x.relayed.lastEvent = string(bytes.TrimSpace(line[len(eventIDLine):]))
		}
	}
}
