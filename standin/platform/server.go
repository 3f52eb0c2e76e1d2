package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	protocol "hawthornspar/io/platform"
	"hawthornspar/timer"
)

// Faults are switched while the stand-in runs.
type Faults struct {
	LatencyMillis int64  `json:"latencyMillis"`
	Outage        bool   `json:"outage"`       // no call has an effect or an answer
	LoseAnswers   int    `json:"loseAnswers"`  // so many of the next transactions take effect unanswered
	LosePrefix    string `json:"losePrefix"`   // only those that write such a key
	AnswerMillis  int64  `json:"answerMillis"` // delay between effect and answer of a transaction
	ListLagMillis int64  `json:"listLagMillis"`
}

// Server serves the platform's protocol over HTTP.
type Server struct {
	table   *Table
	clock   timer.Service
	mu      sync.Mutex
	faults  Faults
	objects map[string][]byte
	lists   []datedList
}

type datedList struct {
	at  time.Time
	vms []protocol.VM
}

// NewServer returns a server with an empty table.
func NewServer(clock timer.Service) *Server {
	return &Server{table: NewTable(), clock: clock, objects: map[string][]byte{}}
}

// Handler returns the HTTP handler. Paths under /admin/ switch faults and set
// the list of VMs.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+protocol.PathTransact, s.transact)
	mux.HandleFunc("POST "+protocol.PathRead, s.read)
	mux.HandleFunc("GET "+protocol.PathVMs, s.list)
	mux.HandleFunc("GET "+protocol.PathObjects+"{name...}", s.getObject)
	mux.HandleFunc("PUT "+protocol.PathObjects+"{name...}", s.putObject)
	mux.HandleFunc("POST /admin/faults", s.setFaults)
	mux.HandleFunc("POST /admin/vms", s.setVMs)
	mux.HandleFunc("GET /admin/counts", s.showCounts)
	mux.HandleFunc("POST /admin/rows", s.adminRows)
	return mux
}

func (s *Server) current() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// blocked delays the call, and hangs up without an answer during an outage.
func (s *Server) blocked(w http.ResponseWriter) bool {
	f := s.current()
	s.delay(f.LatencyMillis)
	if f.Outage {
		hangUp(w)
		return true
	}
	return false
}

func (s *Server) delay(millis int64) {
	if millis <= 0 {
		return
	}
	t := s.clock.Subscribe(time.Duration(millis) * time.Millisecond)
	defer t.Stop()
	<-t.C
}

func hangUp(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		conn.Close()
	}
}

func (s *Server) transact(w http.ResponseWriter, r *http.Request) {
	var tx protocol.Transaction
	if !decode(w, r, &tx) || s.blocked(w) {
		return
	}
	version, differ := s.table.Transact(tx)
	s.delay(s.current().AnswerMillis)
	if s.loses(tx) {
		hangUp(w)
		return
	}
	if version == 0 {
		reply(w, http.StatusConflict, protocol.Rows{Rows: differ})
		return
	}
	reply(w, http.StatusOK, protocol.Commit{Version: version})
}

// loses tells whether the answer to the transaction is to be lost.
func (s *Server) loses(tx protocol.Transaction) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	for _, p := range tx.Puts {
		if strings.HasPrefix(p.Key, s.faults.LosePrefix) {
			s.faults.LoseAnswers--
			return true
		}
	}
	return false
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	var request protocol.ReadRequest
	if !decode(w, r, &request) || s.blocked(w) {
		return
	}
	reply(w, http.StatusOK, protocol.Rows{Rows: s.table.Read(request)})
}

// adminRows reads rows whatever faults are switched on, for judges.
func (s *Server) adminRows(w http.ResponseWriter, r *http.Request) {
	var request protocol.ReadRequest
	if !decode(w, r, &request) {
		return
	}
	reply(w, http.StatusOK, protocol.Rows{Rows: s.table.Read(request)})
}

func (s *Server) list(w http.ResponseWriter, _ *http.Request) {
	f := s.current()
	if s.blocked(w) {
		return
	}
	lag := time.Duration(f.ListLagMillis) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	list := protocol.VMs{VMs: []protocol.VM{}}
	for _, l := range s.lists {
		if s.clock.Now().Sub(l.at) >= lag {
			list.VMs = l.vms
		}
	}
	reply(w, http.StatusOK, list)
}

func (s *Server) setVMs(w http.ResponseWriter, r *http.Request) {
	var list protocol.VMs
	if !decode(w, r, &list) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists = append(s.lists, datedList{at: s.clock.Now(), vms: list.VMs})
	reply(w, http.StatusOK, list)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !decode(w, r, &f) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	reply(w, http.StatusOK, f)
}

func (s *Server) showCounts(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, s.table.Counts())
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	if s.blocked(w) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	content, ok := s.objects[r.PathValue("name")]
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Write(content)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	if s.blocked(w) {
		return
	}
	content, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[r.PathValue("name")] = content
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}
