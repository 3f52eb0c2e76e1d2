package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hawthornspar/core/endpoints"
	"hawthornspar/io/http1"
	"hawthornspar/io/relaybuffer"
)

// relayBufferBytes is the size of one read from an endpoint.
const relayBufferBytes = 4096

// maxEventBytes bounds one event of a stream, which is held back until it is
// complete.
const maxEventBytes = 1 << 20

// EventTooLargeError reports an event that exceeds maxEventBytes.
type EventTooLargeError struct{}

// Error implements error.
func (*EventTooLargeError) Error() string { return "the event is too large" }

// RepeatedEventError reports that a resumed stream begins with events that the client
// has already.
type RepeatedEventError struct{}

// Error implements error.
func (*RepeatedEventError) Error() string { return "the resumed stream repeats events" }

// buffers keeps read buffers for reuse.
var buffers = sync.Pool{New: func() any { b := make([]byte, relayBufferBytes); return &b }}

// relayed is the part of the response that has been sent to the client.
type relayed struct {
	started   bool
	events    int
	lastEvent string // id of the last event that was sent
}

// hopByHopHeaders apply to one connection only.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// removeHopByHopHeaders removes the headers that apply to one connection only,
// with those that the Connection header lists.
func removeHopByHopHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// endpointRequest returns the request as an endpoint receives it.
func (x *exchange) endpointRequest(a *endpoints.Attempt) http1.Request {
	header := x.request.Header.Clone()
	removeHopByHopHeaders(header)
	header.Del("Content-Length")
	header.Del("Expect")
	info := ForwardInfo{TimeLeft: time.Until(x.deadline), EndpointID: a.Endpoint.ID, Priority: x.route.EffectivePriority(x.account), LastEventID: x.relayed.lastEvent}
	if x.account != nil {
		info.Account = x.account.Name
	}
	x.gateway.dialect.SetForwardHeaders(header, info)
	r := x.request
	return http1.Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: header, Body: x.body, SendLength: r.ContentLength >= 0 && r.Method != http.MethodGet}
}

// discardResponse reads a response that is not relayed, so that its connection
// can be used again.
func (x *exchange) discardResponse(conn *http1.Conn, response *http.Response, stop func() bool) {
	err := conn.Discard(response)
	stop()
	if err != nil {
		conn.Close()
		return
	}
	conn.Finish(response)
}

// relay sends a response to the client.
func (x *exchange) relay(a *endpoints.Attempt, response *http.Response) error {
	source := x.newResponseReader(response)
	defer source.Close()
	err := x.relayFrom(source, a, response)
	if cut := source.Cut(); cut != nil {
		return errors.WithStack(cut)
	}
	return err
}

// relayFrom sends a response to the client, whose body is read from source.
func (x *exchange) relayFrom(source *relaybuffer.Reader, a *endpoints.Attempt, response *http.Response) error {
	if x.route.Kind.IsStream() && response.StatusCode == http.StatusOK {
		return x.relayStream(source, a, response)
	}
	x.gateway.state.recordFirstChunk(a)
	x.progress.error = response.StatusCode >= http.StatusMultipleChoices
	x.recordProgress(0)
	x.writeHead(response)
	return x.relayBody(source)
}

// relayBody sends the body of a response that is no stream of events.
func (x *exchange) relayBody(source *relaybuffer.Reader) error {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	for {
		n, err := source.Read(*buffer)
		if n > 0 {
			x.recordProgress(n)
			x.gateway.countResponseBytes(n)
			e := source.Write(func() error {
				_, e := x.writer.Write((*buffer)[:n])
				return e
			})
			if e != nil {
				return e
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// countResponseBytes counts bytes of a response that are sent to a client.
func (g *Gateway) countResponseBytes(n int) {
	g.trafficBytes.Add(int64(n))
	g.uplink.add(n)
}

// writeHead writes the head of the response once.
func (x *exchange) writeHead(response *http.Response) {
	if x.relayed.started {
		return
	}
	x.relayed.started = true
	x.gateway.metrics.ObserveDuration("first_piece_seconds", x.route.Kind.String(), time.Since(x.arrived))
	h := x.writer.Header()
	connection := h.Get("Connection")
	removeHopByHopHeaders(response.Header)
	for name, values := range response.Header {
		h[name] = values
	}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // keeps net/http from guessing a type
	}
	if connection != "" {
		h.Set("Connection", connection)
	}
	if response.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	x.writer.WriteHeader(response.StatusCode)
}

// relayStream sends complete events as they arrive, so that an interrupted
// stream can continue at another endpoint with no data repeated or missing.
func (x *exchange) relayStream(source *relaybuffer.Reader, a *endpoints.Attempt, response *http.Response) error {
	control := http.NewResponseController(x.writer)
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	resumedAfter := x.relayed.lastEvent
	var pending []byte
	for {
		n, err := source.Read(*buffer)
		// What was pending has no end of an event, but may have its beginning.
		searched := max(len(pending)-len(eventEnd)+1, 0)
		pending = append(pending, (*buffer)[:n]...)
		if len(pending) > maxEventBytes {
			return errors.WithStack(&EventTooLargeError{})
		}
		if cap(pending) > maxUncountedBytes {
			if e := source.Hold(cap(pending)); e != nil {
				return errors.WithStack(e)
			}
		}
		if found := bytes.LastIndex(pending[searched:], eventEnd); found >= 0 {
			lastEnd := searched + found
			x.gateway.state.recordFirstChunk(a)
			events := pending[:lastEnd+len(eventEnd)]
			if repeatsEvents(events, resumedAfter) {
				return errors.WithStack(&RepeatedEventError{})
			}
			resumedAfter = "" // ids increase from here on
			x.writeHead(response)
			if x.recordEvents(events) > 0 {
				x.recordProgress(len(events))
			}
			x.gateway.countResponseBytes(len(events))
			e := source.Write(func() error {
				if _, e := x.writer.Write(events); e != nil {
					return e
				}
				return control.Flush()
			})
			if e != nil {
				return e
			}
			pending = append(pending[:0], pending[lastEnd+len(eventEnd):]...)
		}
		if err == io.EOF {
			return x.endStream(response, pending)
		}
		if err != nil {
			return err
		}
	}
}

// CutEventError reports that a stream ended inside an event.
type CutEventError struct{}

// Error implements error.
func (*CutEventError) Error() string { return "the stream ends inside an event" }

// endStream writes what follows the last event of a complete response. A stream may end
// with its connection, so one that ends inside an event has been broken off.
func (x *exchange) endStream(response *http.Response, rest []byte) error {
	if continuesStream(response) && len(bytes.TrimSpace(rest)) > 0 {
		return errors.WithStack(&CutEventError{})
	}
	x.writeHead(response)
	_, err := x.writer.Write(rest)
	return err
}

// recordEvents counts complete events, without those that are only comments, and
// records the last id. It returns their number.
func (x *exchange) recordEvents(events []byte) int {
	before := x.relayed.events
	for event := range bytes.SplitSeq(bytes.TrimSuffix(events, eventEnd), eventEnd) {
		if !onlyComments(event) {
			x.relayed.events++
		}
	}
	for id := range eventIDs(events) {
		x.relayed.lastEvent = id
	}
	return x.relayed.events - before
}
