// Package caller serves the callers' HTTP API: the chat-completions protocol and
// plain calls of app services.
package caller

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"unicode/utf8"

	"github.com/google/uuid"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/timer"
)

// Post queues an event for the core.
type Post func(inbox.Event)

// Forwarder sends HTTP requests to other VMs.
type Forwarder interface {
	RoundTrip(r *http.Request) (*http.Response, error)
}

// Server submits callers' HTTP requests to the core and writes the HTTP
// responses.
type Server struct {
	vm        string // name of this VM
	post      Post
	clock     timer.Clock
	forwarder Forwarder
	mu        sync.Mutex
	sessions  map[int64]*Session
	lastID    atomic.Int64
	ready     atomic.Bool
	pending   sync.WaitGroup // requests whose response is not yet written
}

// New returns a server for the VM with the given name.
func New(vm string, clock timer.Clock, post Post) *Server {
	return &Server{vm: vm, clock: clock, post: post, sessions: map[int64]*Session{}}
}

// Bind sets the client for requests that are forwarded to other VMs. It must be
// called before Handler serves.
func (s *Server) Bind(forwarder Forwarder) { s.forwarder = forwarder }

// SetReady sets whether /readyz reports that the server is ready.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Wait blocks until every response is written.
func (s *Server) Wait() { s.pending.Wait() }

// Handler returns the HTTP handler for callers.
func (s *Server) Handler() http.Handler { return s.newMux(false) }

// PeerHandler returns the HTTP handler for requests that other VMs forward.
func (s *Server) PeerHandler() http.Handler { return s.newMux(true) }

// newMux returns the routes for callers, or for requests that other VMs forward.
func (s *Server) newMux(forwarded bool) http.Handler {
	mux := http.NewServeMux()
	h := &requestHandler{server: s, forwarded: forwarded}
	mux.HandleFunc("POST /v1/chat/completions", h.chat)
	mux.HandleFunc("/v1/services/{service}/{path...}", h.app)
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

// requestHandler handles the requests of callers, or those that other VMs forward.
type requestHandler struct {
	server    *Server
	forwarded bool // requests come from another VM
}

// chat handles a chat-completions request.
func (h *requestHandler) chat(w http.ResponseWriter, r *http.Request) {
	raw, inputErr := readBody(w, r)
	if inputErr != nil {
		writeInputError(w, inputErr)
		return
	}
	submission, stream, body, inputErr := ParseChat(raw)
	if inputErr != nil {
		writeInputError(w, inputErr)
		return
	}
	session := newSession(h.server.lastID.Add(1), entity.KindModel)
	session.Method, session.Path = http.MethodPost, "/v1/chat/completions"
	session.ContentType, session.Body = "application/json", body
	session.streaming, session.model = stream, submission.Service
	h.serve(w, r, raw, submission, session)
}

// app handles a call of an app service.
func (h *requestHandler) app(w http.ResponseWriter, r *http.Request) {
	raw, inputErr := readBody(w, r)
	if inputErr != nil {
		writeInputError(w, inputErr)
		return
	}
	session := newSession(h.server.lastID.Add(1), entity.KindApp)
	session.Method, session.Path, session.Query = r.Method, "/"+r.PathValue("path"), r.URL.RawQuery
	session.ContentType, session.Body = r.Header.Get("Content-Type"), raw
	submission := entity.Submission{Service: r.PathValue("service")}
	submission.Fingerprint = fingerprint([]byte(r.Method), []byte(r.URL.Path), []byte(r.URL.RawQuery), raw)
	h.serve(w, r, raw, submission, session)
}

// validIdempotencyKey reports whether a key can be stored and sent to other VMs.
func validIdempotencyKey(key string) bool {
	return len(key) <= maxIdempotencyKeyBytes && utf8.ValidString(key) && !strings.ContainsAny(key, "/\x00")
}

// serve submits a request to the core and writes its response.
func (h *requestHandler) serve(w http.ResponseWriter, r *http.Request, raw []byte, submission entity.Submission, session *Session) {
	key := strings.TrimSpace(r.Header.Get(HeaderIdempotencyKey))
	if !validIdempotencyKey(key) {
		writeInputError(w, &InputError{"badKey", "Idempotency-Key must have at most 200 bytes, all valid UTF-8, and no slash", http.StatusBadRequest})
		return
	}
	if key == "" {
		key = uuid.NewString()
	}
	submission.Streamed = session.streaming
	submission.ID, submission.RequestKey, session.RequestKey = session.ID, key, key
	submission.KeyHash = bearerSecretHash(r)
	submission.Rank = r.Header.Get(HeaderRank)
	submission.Forwarded = h.forwarded
	if h.forwarded {
		submission.MayHaveRun = r.Header.Get(headerMayHaveRun) != ""
		submission.CrashedEndpoints = r.Header.Values(headerCrashedEndpoint)
	}
	s := h.server
	s.pending.Add(1)
	defer s.pending.Done()
	s.addSession(session)
	s.post(inbox.Submitted{Submission: submission})
	rw := &responseWriter{server: s, response: w, request: r, body: raw, requestKey: key, session: session}
	rw.streaming = session.streaming
	rw.run()
}

func (s *Server) addSession(session *Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[session.ID] = session
}

// Session returns the session with the given ID, or nil if it is not open.
func (s *Server) Session(id int64) *Session {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sessions[id]
}

func (s *Server) removeSession(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, id)
}

// Refuse ends a session without a complete response.
func (s *Server) Refuse(id int64, refusal entity.Refusal) {
	s.endSession(id, result{kind: resultRefused, refusal: refusal})
}

// Finish ends a session successfully. It releases the final events or the app
// service's response, which the session held back.
func (s *Server) Finish(id, billedTokens int64) {
	s.endSession(id, result{kind: resultFinished, billedTokens: billedTokens})
}

// Replay ends a session with a stored response.
func (s *Server) Replay(id int64, response entity.AppResponse) {
	s.endSession(id, result{kind: resultReplayed, response: response})
}

// Forward ends a session by sending its request to another VM.
func (s *Server) Forward(c outbox.Forward) {
	s.endSession(c.Request, result{kind: resultForwarded, peer: c.To, mayHaveRun: c.MayHaveRun, crashedEndpoints: c.CrashedEndpoints})
}

// Join ends a session by letting its callers share the response of the running
// session.
func (s *Server) Join(id, running int64) {
	other := s.Session(running)
	if other == nil {
		s.Refuse(id, (&entity.Request{}).Refuse(entity.ReasonNotReady, 0))
		return
	}
	other.attach()
	s.endSession(id, result{kind: resultJoined, joinedSession: other})
}

// endSession ends a session with a result, if it is still open.
func (s *Server) endSession(id int64, r result) {
	if session := s.Session(id); session != nil {
		session.finish(r)
	}
}
