package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
)

// FleetReport holds the reports of all VMs that responded. Missing names the
// others, so that a partial report is not mistaken for a complete one.
type FleetReport struct {
	VMs     []entity.Report `json:"vms"`
	Missing []string        `json:"missing"`
}

// report serves the reports of the whole fleet.
func (s *Server) report(w http.ResponseWriter, r *http.Request) {
	own, ok := s.ownReport(w, r, false)
	if !ok {
		return
	}
	writeJSON(w, s.collect(r.Context(), own))
}

// peerReport serves the report of this VM alone to another VM, which has
// authorized the operator.
func (s *Server) peerReport(w http.ResponseWriter, r *http.Request) {
	if own, ok := s.ownReport(w, r, true); ok {
		writeJSON(w, own)
	}
}

// ownReport asks the core for this VM's report. A trusted request comes from
// another VM, which has authorized the operator. If ownReport gets no report, it
// writes an error response and returns false.
func (s *Server) ownReport(w http.ResponseWriter, r *http.Request, trusted bool) (entity.Report, bool) {
	result := s.callCore(r.Context(), func(id int64) inbox.Event {
		return inbox.QueryRequested{ID: id, KeyHash: secretHash(r), Trusted: trusted}
	})
	done, ok := result.(outbox.QueryDone)
	switch {
	case !ok:
		http.Error(w, "no answer", http.StatusGatewayTimeout)
	case done.Refused:
		http.Error(w, "unauthorized", http.StatusUnauthorized)
	}
	return done.Report, ok && !done.Refused
}

// collect requests the reports of the VMs in own.Peers, and returns them together
// with own.
func (s *Server) collect(ctx context.Context, own entity.Report) FleetReport {
	fleet := FleetReport{VMs: []entity.Report{own}, Missing: []string{}}
	results := make(chan *reportFetch, len(own.Peers))
	for _, p := range own.Peers {
		f := &reportFetch{server: s, ctx: ctx, peer: p, results: results}
		go f.run()
	}
	for range own.Peers {
		f := <-results
		if f.ok {
			fleet.VMs = append(fleet.VMs, f.report)
		} else {
			fleet.Missing = append(fleet.Missing, f.peer.VM)
		}
	}
	slices.SortFunc(fleet.VMs, func(a, b entity.Report) int { return strings.Compare(a.VM, b.VM) })
	slices.Sort(fleet.Missing)
	return fleet
}

// maxReportBytes bounds the report of one VM.
const maxReportBytes = 16 << 20

// reportFetch requests the report of one VM on a goroutine of its own.
type reportFetch struct {
	server  *Server
	ctx     context.Context
	peer    entity.PeerReport
	results chan<- *reportFetch
	report  entity.Report
	ok      bool // report is complete
}

func (f *reportFetch) run() {
	f.ok = f.fetch()
	f.results <- f
}

// fetch requests and decodes the VM's report, and reports whether that
// succeeded.
func (f *reportFetch) fetch() bool {
	ctx, cancel := context.WithTimeout(f.ctx, peerTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+f.peer.Address+PathReport, nil)
	if err != nil {
		return false
	}
	response, err := f.server.peers.RoundTrip(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return false
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&f.report) == nil
}
