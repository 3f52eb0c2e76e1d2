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

// Faults are injected into all requests except those to paths under /admin/.
// POST /admin/faults sets them.
type Faults struct {
	LatencyMillis       int64  `json:"latencyMillis"` // before a request is executed
	Outage              bool   `json:"outage"`        // no request has an effect or a response
	LoseResponses       int    `json:"loseAnswers"`   // number of further transactions that take effect but get no response
	LoseKeyPrefix       string `json:"losePrefix"`    // limits LoseResponses to transactions that write a key with this prefix
	ResponseDelayMillis int64  `json:"answerMillis"`  // between a transaction and its response
	VMListAgeMillis     int64  `json:"listLagMillis"` // minimum age of the list of VMs in responses
}

// Server serves the platform's table service, object store and list of VMs over
// HTTP.
type Server struct {
	table   *Table
	clock   timer.Clock
	mu      sync.Mutex
	faults  Faults
	objects map[string][]byte
	vmLists []vmListSnapshot // oldest first
}

// vmListSnapshot is the list of VMs as it was set at a time.
type vmListSnapshot struct {
	at   time.Time
	list []protocol.VM
}

// NewServer returns a server with an empty table.
func NewServer(clock timer.Clock) *Server {
	return &Server{table: NewTable(), clock: clock, objects: map[string][]byte{}}
}

// Handler returns the HTTP handler. Paths under /admin/ are for tests: they set
// the faults and the list of VMs, and show the table.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+protocol.PathTransact, s.transact)
	mux.HandleFunc("POST "+protocol.PathRead, s.read)
	mux.HandleFunc("GET "+protocol.PathVMs, s.vms)
	mux.HandleFunc("GET "+protocol.PathObjects+"{name...}", s.getObject)
	mux.HandleFunc("PUT "+protocol.PathObjects+"{name...}", s.putObject)
	mux.HandleFunc("POST /admin/faults", s.setFaults)
	mux.HandleFunc("POST /admin/vms", s.setVMs)
	mux.HandleFunc("GET /admin/counts", s.showCounts)
	mux.HandleFunc("POST /admin/rows", s.adminRows)
	return mux
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// injectFaults delays a request and, during an outage, closes its connection.
// It reports whether it closed the connection; the handler must then return.
func (s *Server) injectFaults(w http.ResponseWriter) bool {
	f := s.currentFaults()
	s.delay(f.LatencyMillis)
	if f.Outage {
		closeConnection(w)
		return true
	}
	return false
}

// delay waits for a number of milliseconds.
func (s *Server) delay(millis int64) {
	if millis <= 0 {
		return
	}
	t := s.clock.NewTicker(time.Duration(millis) * time.Millisecond)
	defer t.Stop()
	<-t.C
}

// closeConnection closes the connection of a request without a response.
func closeConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		conn.Close()
	}
}

func (s *Server) transact(w http.ResponseWriter, r *http.Request) {
	var tx protocol.Transaction
	if !decode(w, r, &tx) || s.injectFaults(w) {
		return
	}
	version, conflicting := s.table.Transact(tx)
	s.delay(s.currentFaults().ResponseDelayMillis)
	if s.losesResponse(tx) {
		closeConnection(w)
		return
	}
	if version == 0 {
		respond(w, http.StatusConflict, protocol.Rows{Rows: conflicting})
		return
	}
	respond(w, http.StatusOK, protocol.Commit{Version: version})
}

// losesResponse reports whether the response to a transaction is to be lost, and
// if so decrements Faults.LoseResponses.
func (s *Server) losesResponse(tx protocol.Transaction) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseResponses == 0 {
		return false
	}
	for _, p := range tx.Puts {
		if strings.HasPrefix(p.Key, s.faults.LoseKeyPrefix) {
			s.faults.LoseResponses--
			return true
		}
	}
	return false
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	var request protocol.ReadRequest
	if !decode(w, r, &request) || s.injectFaults(w) {
		return
	}
	respond(w, http.StatusOK, protocol.Rows{Rows: s.table.Read(request)})
}

// adminRows reads rows without the faults, so that tests can check the table
// during an outage.
func (s *Server) adminRows(w http.ResponseWriter, r *http.Request) {
	var request protocol.ReadRequest
	if !decode(w, r, &request) {
		return
	}
	respond(w, http.StatusOK, protocol.Rows{Rows: s.table.Read(request)})
}

// vms responds with the newest list of VMs that is at least VMListAgeMillis old,
// or with an empty list if there is none.
func (s *Server) vms(w http.ResponseWriter, _ *http.Request) {
	f := s.currentFaults()
	if s.injectFaults(w) {
		return
	}
	minAge := time.Duration(f.VMListAgeMillis) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	vms := protocol.VMs{VMs: []protocol.VM{}}
	for _, l := range s.vmLists {
		if s.clock.Now().Sub(l.at) >= minAge {
			vms.VMs = l.list
		}
	}
	respond(w, http.StatusOK, vms)
}

func (s *Server) setVMs(w http.ResponseWriter, r *http.Request) {
	var vms protocol.VMs
	if !decode(w, r, &vms) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vmLists = append(s.vmLists, vmListSnapshot{at: s.clock.Now(), list: vms.VMs})
	respond(w, http.StatusOK, vms)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !decode(w, r, &f) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	respond(w, http.StatusOK, f)
}

func (s *Server) showCounts(w http.ResponseWriter, _ *http.Request) {
	respond(w, http.StatusOK, s.table.Counts())
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	if s.injectFaults(w) {
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
	if s.injectFaults(w) {
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

// decode parses the JSON body of a request and reports whether it could. If not,
// it has responded with status 400.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// respond sends a body as JSON.
func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}
