// Package caller serves callers: the chat-completions protocol and plain
// calls of app services, over HTTP.
package caller

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/google/uuid"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/timer"
)

// Post takes events for the core.
type Post func(inbox.Event)

// Forwarder sends requests to other VMs.
type Forwarder interface {
	RoundTrip(r *http.Request) (*http.Response, error)
}

// Server turns HTTP requests into submissions and answers into responses.
type Server struct {
	vm       string
	post     Post
	clock    timer.Service
	forward  Forwarder
	mu       sync.Mutex
	sessions map[int64]*Session
	ids      atomic.Int64
	ready    atomic.Bool
	open     sync.WaitGroup
}

// New returns a server for the VM of that name.
func New(vm string, clock timer.Service, post Post) *Server {
	return &Server{vm: vm, clock: clock, post: post, sessions: map[int64]*Session{}}
}

// Bind gives the server the way to other VMs.
func (s *Server) Bind(forward Forwarder) { s.forward = forward }

// SetReady switches /readyz.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Wait returns when every response is written.
func (s *Server) Wait() { s.open.Wait() }

// Handler serves callers.
func (s *Server) Handler() http.Handler { return s.mux(false) }

// PeerHandler serves requests that other VMs forward.
func (s *Server) PeerHandler() http.Handler { return s.mux(true) }

func (s *Server) mux(forwarded bool) http.Handler {
	mux := http.NewServeMux()
	e := &entry{server: s, forwarded: forwarded}
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("/v1/services/{service}/{path...}", e.app)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeInputError(w, &InputError{"unknownPath", "there is nothing at this path", http.StatusNotFound})
	})
	return mux
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if !s.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("ready\n"))
}

// entry is one way in: callers', or other VMs'.
type entry struct {
	server    *Server
	forwarded bool
}

func (e *entry) chat(w http.ResponseWriter, r *http.Request) {
	raw, bad := readBody(w, r)
	if bad != nil {
		writeInputError(w, bad)
		return
	}
	submission, stream, body, bad := ParseChat(raw)
	if bad != nil {
		writeInputError(w, bad)
		return
	}
	session := newSession(e.server.ids.Add(1), entity.KindModel)
	session.Method, session.Path = http.MethodPost, "/v1/chat/completions"
	session.ContentType, session.Body = "application/json", body
	session.stream, session.model = stream, submission.Service
	e.serve(w, r, raw, submission, session)
}

func (e *entry) app(w http.ResponseWriter, r *http.Request) {
	raw, bad := readBody(w, r)
	if bad != nil {
		writeInputError(w, bad)
		return
	}
	session := newSession(e.server.ids.Add(1), entity.KindApp)
	session.Method, session.Path, session.Query = r.Method, "/"+r.PathValue("path"), r.URL.RawQuery
	session.ContentType, session.Body = r.Header.Get("Content-Type"), raw
	submission := entity.Submission{Service: r.PathValue("service")}
	submission.Fingerprint = fingerprint([]byte(r.Method), []byte(r.URL.Path), []byte(r.URL.RawQuery), raw)
	e.serve(w, r, raw, submission, session)
}

// serve submits a request and writes its answer.
func (e *entry) serve(w http.ResponseWriter, r *http.Request, raw []byte, submission entity.Submission, session *Session) {
	key := strings.TrimSpace(r.Header.Get(HeaderKey))
	if len(key) > maxKeyBytes || strings.ContainsAny(key, "/\x00") {
		writeInputError(w, &InputError{"badKey", "Idempotency-Key must have at most 200 bytes and no slash", http.StatusBadRequest})
		return
	}
	if key == "" {
		key = uuid.NewString()
	}
	submission.Streamed = session.stream
	submission.ID, submission.RequestKey, session.Key = session.ID, key, key
	submission.KeyHash = secretOf(r)
	submission.Rank = r.Header.Get(HeaderRank)
	submission.Forwarded = e.forwarded
	submission.MayHaveRun = e.forwarded && r.Header.Get(headerMayHaveRun) != ""
	s := e.server
	s.open.Add(1)
	defer s.open.Done()
	s.add(session)
	s.post(inbox.Submitted{Submission: submission})
	t := &writer{server: s, response: w, request: r, raw: raw, key: key, session: session}
	t.stream = session.stream
	t.run()
}

func (s *Server) add(session *Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[session.ID] = session
}

// Session returns an open session, or nil.
func (s *Server) Session(id int64) *Session {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sessions[id]
}

func (s *Server) remove(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, id)
}

// Refuse ends a session without a whole answer.
func (s *Server) Refuse(id int64, refusal entity.Refusal) {
	s.end(id, ending{kind: endRefused, refusal: refusal})
}

// Finish releases the last frames of an answer.
func (s *Server) Finish(id, billed int64) { s.end(id, ending{kind: endFinished, billed: billed}) }

// Replay answers with a kept answer.
func (s *Server) Replay(id int64, answer entity.Answer) {
	s.end(id, ending{kind: endReplayed, answer: answer})
}

// Forward has a session's request sent to another VM.
func (s *Server) Forward(id int64, to entity.VM, mayHaveRun bool) {
	s.end(id, ending{kind: endForwarded, peer: to, mayHaveRun: mayHaveRun})
}

// Join lets a session share another's answer.
func (s *Server) Join(id, running int64) {
	other := s.Session(running)
	if other == nil {
		s.Refuse(id, (&entity.Request{}).Refuse(entity.ReasonNotReady, 0))
		return
	}
	other.attach()
	s.end(id, ending{kind: endJoined, joined: other})
}

func (s *Server) end(id int64, e ending) {
	if session := s.Session(id); session != nil {
		session.finish(e)
	}
}
