package caller

import (
	"net/http"
	"sync"

	"hawthornspar/core/entity"
)

// frame is one server-sent event of an answer.
type frame struct {
	data []byte // the event's data, as the endpoint sent it
	text string // the answer's text in it
}

// endKind is how a session ended.
type endKind int

const (
	endFinished endKind = iota
	endRefused
	endReplayed
	endJoined
	endForwarded
)

// ending is what a session's callers are told last.
type ending struct {
	kind       endKind
	refusal    entity.Refusal
	answer     entity.Answer
	joined     *Session
	peer       entity.VM
	mayHaveRun bool // an endpoint may have run a forwarded request
	billed     int64
	tail       []frame
	usage      usage
}

// usage is the endpoint's count of tokens.
type usage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
	Total      int64 `json:"total_tokens"`
}

// Session is one request on its entry VM. Attempts write its answer, and one
// or more callers read it.
type Session struct {
	ID          int64
	Kind        string
	Method      string
	Path        string // on the endpoint
	Query       string
	ContentType string
	Body        []byte
	Key         string // request key

	stream bool
	model  string

	mu        sync.Mutex
	attempt   int
	frames    []frame
	tail      []frame
	used      usage
	answer    entity.Answer
	end       *ending
	changed   chan struct{}
	readers   int
	delivered int
	round     int // grows when frames start anew
}

func newSession(id int64, kind string) *Session {
	return &Session{ID: id, Kind: kind, changed: make(chan struct{}), readers: 1}
}

// Begin makes attempt the only one whose frames count. What an earlier one
// brought is dropped, unless some caller was sent a part of it.
func (s *Session) Begin(attempt int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delivered > 0 {
		return
	}
	s.attempt = attempt
	s.frames, s.tail = nil, nil
	s.round++
}

// Frame adds a part of the answer. It returns false for a late frame of an
// earlier attempt, and for one after the end.
func (s *Session) Frame(attempt int, data []byte, text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if attempt != s.attempt || s.end != nil {
		return false
	}
	s.frames = append(s.frames, frame{data: data, text: text})
	s.notify()
	return true
}

// Tail keeps the last frames of the answer until Finish releases them.
func (s *Session) Tail(attempt int, data [][]byte, prompt, completion int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if attempt != s.attempt {
		return
	}
	s.tail = nil
	for _, d := range data {
		s.tail = append(s.tail, frame{data: d})
	}
	s.used = usage{Prompt: prompt, Completion: completion, Total: prompt + completion}
}

// Answer keeps the answer of an app call until Finish releases it.
func (s *Session) Answer(attempt int, answer entity.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if attempt == s.attempt {
		s.answer = answer
	}
}

// Delivered returns how many frames some caller was sent.
func (s *Session) Delivered() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.delivered)
}

func (s *Session) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// finish ends the session; only the first end counts.
func (s *Session) finish(e ending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end != nil {
		return
	}
	if e.kind == endFinished {
		e.tail, e.usage, e.answer = s.tail, s.used, s.answer
	}
	s.end = &e
	s.notify()
}

// next returns the frames from offset on, the end if it is reached, and a
// channel that is closed at the next change.
// The frames start anew when round differs from the caller's.
func (s *Session) next(offset, round int) ([]frame, *ending, <-chan struct{}, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if round != s.round {
		offset = 0
	}
	return s.frames[offset:], s.end, s.changed, s.round
}

// claim counts frames up to count as sent, before they are, unless the frames
// started anew meanwhile.
func (s *Session) claim(count, round int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if round != s.round {
		return false
	}
	s.delivered = max(s.delivered, count)
	return true
}

// attach adds a reader.
func (s *Session) attach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
}

// detach removes a reader, and tells whether it was the last one of a session
// that has not ended.
func (s *Session) detach() (last, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	return s.readers == 0, s.end != nil
}

// Request returns the request that goes to an endpoint's address.
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
