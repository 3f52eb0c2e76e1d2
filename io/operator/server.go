// Package operator serves the operators' client: changes, configuration and
// queries, over HTTP with JSON.
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

// Paths of the operators' protocol.
const (
	PathChange  = "/operator/v1/change"
	PathConfig  = "/operator/v1/config"
	PathReport  = "/operator/v1/report"
	PathBudgets = "/operator/v1/budgets"
	PathAudit   = "/operator/v1/audit"
)

// Bounds of operators' calls.
const (
	maxBodyBytes = 64 << 10
	coreTimeout  = 20 * time.Second
	peerTimeout  = 2 * time.Second
)

// Post takes events for the core.
type Post func(inbox.Event)

// Table reads rows of the table service.
type Table interface {
	ReadNow(keys, prefixes []string) ([]entity.Row, error)
}

// Peers sends requests to other VMs.
type Peers interface {
	RoundTrip(r *http.Request) (*http.Response, error)
}

// Server answers operators.
type Server struct {
	post    Post
	table   Table
	peers   Peers
	ids     atomic.Int64
	mu      sync.Mutex
	waiting map[int64]chan outbox.Command
}

// New returns a server that asks the core through post.
func New(table Table, post Post) *Server {
	return &Server{post: post, table: table, waiting: map[int64]chan outbox.Command{}}
}

// Bind gives the server the way to other VMs.
func (s *Server) Bind(peers Peers) { s.peers = peers }

// Handler serves operators.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathChange, s.change)
	mux.HandleFunc("GET "+PathConfig, s.config)
	mux.HandleFunc("GET "+PathReport, s.report)
	mux.HandleFunc("GET "+PathBudgets, s.budgets)
	mux.HandleFunc("GET "+PathAudit, s.audit)
	return mux
}

// PeerHandler serves the report to other VMs, which checked the operator.
func (s *Server) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathReport, s.peerReport)
	return mux
}

// Done takes the core's answer to an earlier event.
func (s *Server) Done(id int64, answer outbox.Command) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.waiting[id]; ok {
		c <- answer
		delete(s.waiting, id)
	}
}

// ask posts an event and waits for its answer, nil after the timeout.
func (s *Server) ask(ctx context.Context, event func(id int64) inbox.Event) outbox.Command {
	id := s.ids.Add(1)
	answer := make(chan outbox.Command, 1)
	s.mu.Lock()
	s.waiting[id] = answer
	s.mu.Unlock()
	s.post(event(id))
	ctx, cancel := context.WithTimeout(ctx, coreTimeout)
	defer cancel()
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.waiting, id)
		return nil
	}
}

func secret(r *http.Request) string {
	value, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return caller.HashSecret(value)
}

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
	change := protobuf.ChangeFromWire(request.GetChange())
	if problem := Check(&request, change.Item); problem != nil {
		http.Error(w, problem.Error(), http.StatusBadRequest)
		return
	}
	expected := int64(-1)
	if request.Checked {
		expected = request.Expected
	}
	answer := s.ask(r.Context(), func(id int64) inbox.Event {
		return inbox.ChangeAsked{
			ID: id, KeyHash: secret(r), Operation: request.Operation,
			Expected: expected, Remove: change.Remove, Item: change.Item,
		}
	})
	done, ok := answer.(outbox.ChangeDone)
	if !ok {
		http.Error(w, "no answer yet; repeat the command with the same operation", http.StatusGatewayTimeout)
		return
	}
	writeChange(w, done)
}

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

// configuration returns the items in force, or answers the request itself.
func (s *Server) configuration(w http.ResponseWriter, r *http.Request) (outbox.ConfigDone, bool) {
	answer := s.ask(r.Context(), func(id int64) inbox.Event {
		return inbox.ConfigAsked{ID: id, KeyHash: secret(r)}
	})
	done, ok := answer.(outbox.ConfigDone)
	switch {
	case !ok:
		http.Error(w, "no answer", http.StatusGatewayTimeout)
	case done.Refused:
		http.Error(w, "unauthorized", http.StatusUnauthorized)
	}
	return done, ok && !done.Refused
}

func (s *Server) config(w http.ResponseWriter, r *http.Request) {
	done, ok := s.configuration(w, r)
	if !ok {
		return
	}
	all := &wire.Configuration{Version: done.Version}
	for _, item := range done.Items {
		all.Items = append(all.Items, protobuf.ChangeToWire(item))
	}
	writeProto(w, http.StatusOK, all)
}

func (s *Server) audit(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.configuration(w, r); !ok {
		return
	}
	rows, err := s.table.ReadNow(nil, []string{entity.ChangePrefix})
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

// BudgetTotal is one budget's row for operators, in tokens.
type BudgetTotal struct {
	Budget   string   `json:"budget"`
	Prepaid  int64    `json:"prepaid"`
	Left     int64    `json:"left"` // not drawn by any VM
	Held     int64    `json:"held"` // drawn and not returned: spent, reserved or free on a VM
	Holders  []string `json:"holders"`
	Drawn    int64    `json:"drawn"`
	Returned int64    `json:"returned"`
}

func (s *Server) budgets(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.configuration(w, r); !ok {
		return
	}
	rows, err := s.table.ReadNow(nil, []string{entity.BudgetKey(r.URL.Query().Get("prefix"))})
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
			Budget: strings.TrimPrefix(row.Key, "budget/"), Prepaid: b.Prepaid, Left: b.Left(),
			Held: b.Drawn - b.Returned, Holders: b.Holders, Drawn: b.Drawn, Returned: b.Returned,
		})
	}
	writeJSON(w, totals)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(body)
}
