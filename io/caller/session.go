package caller

import (
	"net/http"
	"sync"

	"hawthornspar/core/entity"
)

// streamEvent is one server-sent event of a response.
type streamEvent struct {
	data []byte // the event's data, as the endpoint sent it
	text string // the part of the response's text in this event
}

// resultKind is the way in which a session ended.
type resultKind int

// Kinds of results.
const (
	resultFinished resultKind = iota
	resultRefused
	resultReplayed
	resultJoined
	resultForwarded
)

// result is how a session ended, with what its callers need to complete their
// responses.
type result struct {
	kind          resultKind
	refusal       entity.Refusal
	response      entity.AppResponse
	joinedSession *Session
	peer          entity.VM
	mayHaveRun    bool // an endpoint may have run the forwarded request
	// crashedEndpoints are those that crashed under the forwarded request.
	crashedEndpoints []string
	billedTokens     int64
	finalEvents      []streamEvent
	usage            tokenUsage
}

// tokenUsage is the token usage that the endpoint reported.
type tokenUsage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
	Total      int64 `json:"total_tokens"`
}

// Session is one request on its entry VM. Attempts write its response, and one
// or more callers read the response.
type Session struct {
	ID          int64
	Kind        string // entity.KindModel or entity.KindApp
	Method      string
	Path        string // on the endpoint
	Query       string
	ContentType string
	Body        []byte
	RequestKey  string // the idempotency key, or one that the server made

	streaming bool
	model     string

	mu          sync.Mutex
	attempt     int
	events      []streamEvent
	finalEvents []streamEvent
	usage       tokenUsage
	response    entity.AppResponse
	result      *result
	changed     chan struct{} // closed and replaced at each new event and at the end
	callers     int           // callers that read the response
	delivered   int           // events that at least one caller was sent
	generation  int           // incremented when an attempt begins and discards earlier events
}

func newSession(id int64, kind string) *Session {
	return &Session{ID: id, Kind: kind, changed: make(chan struct{}), callers: 1}
}

// BeginAttempt discards the events of earlier attempts and accepts only those of
// the given attempt. Once a caller was sent an event, it does nothing: a response
// must not mix the events of two attempts.
func (s *Session) BeginAttempt(attempt int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delivered > 0 {
		return
	}
	s.attempt = attempt
	s.events, s.finalEvents = nil, nil
	s.generation++
}

// AddEvent appends an event to the response. It returns false for a late event of
// an earlier attempt, and for any event after the session's end.
func (s *Session) AddEvent(attempt int, data []byte, text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if attempt != s.attempt || s.result != nil {
		return false
	}
	s.events = append(s.events, streamEvent{data: data, text: text})
	s.notify()
	return true
}

// SetFinalEvents holds back the final events of the response until Server.Finish
// releases them.
func (s *Session) SetFinalEvents(attempt int, data [][]byte, promptTokens, outputTokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if attempt != s.attempt {
		return
	}
	s.finalEvents = nil
	for _, d := range data {
		s.finalEvents = append(s.finalEvents, streamEvent{data: d})
	}
	s.usage = tokenUsage{Prompt: promptTokens, Completion: outputTokens, Total: promptTokens + outputTokens}
}

// SetResponse holds back the response of an app call until Server.Finish releases
// it.
func (s *Session) SetResponse(attempt int, response entity.AppResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if attempt == s.attempt {
		s.response = response
	}
}

// Delivered returns the number of events that at least one caller was sent.
func (s *Session) Delivered() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.delivered)
}

// notify wakes the callers that wait for a change.
func (s *Session) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// finish ends the session with a result. Later results are ignored.
func (s *Session) finish(r result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.result != nil {
		return
	}
	if r.kind == resultFinished {
		r.finalEvents, r.usage, r.response = s.finalEvents, s.usage, s.response
	}
	s.result = &r
	s.notify()
}

// eventsFrom returns the events from offset on, the result if the session has
// ended, a channel that is closed at the next change, and the current generation.
// If the current generation differs from the given one, earlier events were
// discarded, and all events of the current generation are returned.
func (s *Session) eventsFrom(offset, generation int) ([]streamEvent, *result, <-chan struct{}, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if generation != s.generation {
		offset = 0
	}
	return s.events[offset:], s.result, s.changed, s.generation
}

// markDelivered records that the first count events are about to be sent to a
// caller. It returns false if they were discarded since the given generation;
// then they must not be sent.
func (s *Session) markDelivered(count, generation int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if generation != s.generation {
		return false
	}
	s.delivered = max(s.delivered, count)
	return true
}

// attach adds a caller.
func (s *Session) attach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callers++
}

// detach removes a caller. It reports whether that was the last one, and whether
// the session has ended.
func (s *Session) detach() (last, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callers--
	return s.callers == 0, s.result != nil
}

// Request returns the HTTP request for the endpoint at the given address.
func (s *Session) Request(address string) (method, url string, header http.Header, body []byte) {
	header = http.Header{}
	if s.ContentType != "" {
		header.Set("Content-Type", s.ContentType)
	}
	url = "http://" + address + s.Path
	if s.Query != "" {
		url += "?" + s.Query
	}
	return s.Method, url, header, s.Body
}
