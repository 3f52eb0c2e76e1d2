// Package operator serves the operators' API over HTTP with JSON: configuration
// changes, the configuration in force, reports, budgets and the audit log.
package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/io/caller"
	"hawthornspar/io/protobuf"
	"hawthornspar/io/wire"
)

// URL paths of the operators' API.
const (
	PathChange  = "/operator/v1/change"
	PathConfig  = "/operator/v1/config"
	PathReport  = "/operator/v1/report"
	PathBudgets = "/operator/v1/budgets"
	PathAudit   = "/operator/v1/audit"
)

// Limits and timeouts of operators' requests.
const (
	maxBodyBytes = 64 << 10
	coreTimeout  = 20 * time.Second // for the core's result
	peerTimeout  = 2 * time.Second  // for another VM's report
)

// Post queues an event for the core.
type Post func(inbox.Event)

// Table reads rows of the table service.
type Table interface {
	ReadRows(keys, prefixes []string) ([]entity.Row, error)
}

// Peers sends requests to other VMs.
type Peers interface {
	RoundTrip(r *http.Request) (*http.Response, error)
}

// Server handles operators' requests.
type Server struct {
	post    Post
	table   Table
	peers   Peers
	lastID  atomic.Int64
	mu      sync.Mutex
	pending map[int64]chan outbox.Command // channels on which callCore waits, by event ID
}

// New returns a server that reads rows from table and calls the core through
// post.
func New(table Table, post Post) *Server {
	return &Server{post: post, table: table, pending: map[int64]chan outbox.Command{}}
}

// Bind sets the client for requests to other VMs. It must be called before
// Handler serves.
func (s *Server) Bind(peers Peers) { s.peers = peers }

// Handler returns the handler of the operators' API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathChange, s.change)
	mux.HandleFunc("GET "+PathConfig, s.config)
	mux.HandleFunc("GET "+PathReport, s.report)
	mux.HandleFunc("GET "+PathBudgets, s.budgets)
	mux.HandleFunc("GET "+PathAudit, s.audit)
	return mux
}

// PeerHandler returns the handler of the reports that other VMs request, which
// have authorized the operator.
func (s *Server) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathReport, s.peerReport)
	return mux
}

// Complete hands the core's result of event id to the request that waits for
// it, if any.
func (s *Server) Complete(id int64, result outbox.Command) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.pending[id]; ok {
		c <- result
		delete(s.pending, id)
	}
}

// callCore posts an event and waits for its result. It returns nil after
// coreTimeout, or when ctx is done.
func (s *Server) callCore(ctx context.Context, event func(id int64) inbox.Event) outbox.Command {
	id := s.lastID.Add(1)
	result := make(chan outbox.Command, 1)
	s.mu.Lock()
	s.pending[id] = result
	s.mu.Unlock()
	s.post(event(id))
	ctx, cancel := context.WithTimeout(ctx, coreTimeout)
	defer cancel()
	select {
	case r := <-result:
		return r
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.pending, id)
		return nil
	}
}

// secretHash returns the hash of the request's bearer token.
func secretHash(r *http.Request) string {
	secret, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return caller.HashSecret(secret)
}

// change serves a configuration change.
func (s *Server) change(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "the body is too large or did not arrive whole", http.StatusBadRequest)
		return
	}
	var request wire.ChangeRequest
	if err := protojson.Unmarshal(raw, &request); err != nil {
		http.Error(w, "malformed change: "+err.Error(), http.StatusBadRequest)
		return
	}
	if request.GetChange() == nil {
		http.Error(w, "malformed change: the field change is missing", http.StatusBadRequest)
		return
	}
	change := protobuf.ChangeFromWire(request.GetChange())
	if problem := Check(&request, change.Item); problem != nil {
		http.Error(w, problem.Error(), http.StatusBadRequest)
		return
	}
	expected := int64(-1) // any version
	if request.Checked {
		expected = request.Expected
	}
	result := s.callCore(r.Context(), func(id int64) inbox.Event {
		return inbox.ChangeRequested{
			ID: id, KeyHash: secretHash(r), Operation: request.Operation,
			Expected: expected, Remove: change.Remove, Item: change.Item,
		}
	})
	done, ok := result.(outbox.ChangeDone)
	if !ok {
		http.Error(w, "no answer yet; repeat the command with the same operation", http.StatusGatewayTimeout)
		return
	}
	writeChange(w, done)
}

// writeChange writes the result of a change with the status of its failure.
func writeChange(w http.ResponseWriter, done outbox.ChangeDone) {
	reply := &wire.ChangeReply{Version: done.Version, Failure: done.Failure}
	if done.Conflict != nil {
		reply.Conflict = protobuf.ChangeToWire(*done.Conflict)
	}
	status := http.StatusOK
	switch done.Failure {
	case "":
	case "unauthorized":
		status = http.StatusUnauthorized
	case "conflict":
		status = http.StatusConflict
	default:
		status = http.StatusServiceUnavailable
	}
	writeProto(w, status, reply)
}

func writeProto(w http.ResponseWriter, status int, m proto.Message) {
	raw, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		http.Error(w, "encoding failed", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(raw)
}

// fetchConfig asks the core for the configuration in force, which the core
// returns to operators only. If it gets none, it writes an error response and
// returns false.
func (s *Server) fetchConfig(w http.ResponseWriter, r *http.Request) (outbox.ConfigDone, bool) {
	result := s.callCore(r.Context(), func(id int64) inbox.Event {
		return inbox.ConfigRequested{ID: id, KeyHash: secretHash(r)}
	})
	done, ok := result.(outbox.ConfigDone)
	switch {
	case !ok:
		http.Error(w, "no answer", http.StatusGatewayTimeout)
	case done.Refused:
		http.Error(w, "unauthorized", http.StatusUnauthorized)
	}
	return done, ok && !done.Refused
}

// config serves the configuration in force.
func (s *Server) config(w http.ResponseWriter, r *http.Request) {
	done, ok := s.fetchConfig(w, r)
	if !ok {
		return
	}
	all := &wire.Configuration{Version: done.Version}
	for _, item := range done.Items {
		all.Items = append(all.Items, protobuf.ChangeToWire(item))
	}
	writeProto(w, http.StatusOK, all)
}

// audit serves all accepted changes, in the order of their versions.
func (s *Server) audit(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.fetchConfig(w, r); !ok {
		return
	}
	rows, err := s.table.ReadRows(nil, []string{entity.ChangePrefix})
	if err != nil {
		http.Error(w, "the table cannot be reached", http.StatusServiceUnavailable)
		return
	}
	all := &wire.Configuration{}
	for _, row := range rows {
		if c, ok := row.Document.(entity.Change); ok {
			all.Items = append(all.Items, protobuf.ChangeToWire(c))
			all.Version = c.Version
		}
	}
	writeProto(w, http.StatusOK, all)
}

// BudgetTotal holds the counters of one budget over all VMs, in tokens.
type BudgetTotal struct {
	Budget   string   `json:"budget"`
	Prepaid  int64    `json:"prepaid"`
	Left     int64    `json:"left"`    // not drawn by any VM
	Held     int64    `json:"held"`    // drawn and not returned: spent, reserved or free on a VM
	Holders  []string `json:"holders"` // incarnations with an open grant
	Drawn    int64    `json:"drawn"`
	Returned int64    `json:"returned"`
}

// budgets serves the totals of the budgets whose names start with the query's
// prefix.
func (s *Server) budgets(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.fetchConfig(w, r); !ok {
		return
	}
	rows, err := s.table.ReadRows(nil, []string{entity.BudgetKey(r.URL.Query().Get("prefix"))})
	if err != nil {
		http.Error(w, "the table cannot be reached", http.StatusServiceUnavailable)
		return
	}
	totals := []BudgetTotal{}
	for _, row := range rows {
		b, ok := row.Document.(entity.BudgetRow)
		if !ok {
			continue
		}
		totals = append(totals, BudgetTotal{
			Budget: strings.TrimPrefix(row.Key, "budget/"), Prepaid: b.Prepaid, Left: b.Remaining(),
			Held: b.Drawn - b.Returned, Holders: b.Holders, Drawn: b.Drawn, Returned: b.Returned,
		})
	}
	writeJSON(w, totals)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(body)
}
