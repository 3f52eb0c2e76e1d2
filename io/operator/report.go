package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
)

// FleetReport joins the reports of all VMs. Missing names those that did not
// answer, so that a part is never taken for the whole.
type FleetReport struct {
	VMs     []entity.Report `json:"vms"`
	Missing []string        `json:"missing"`
}

func (s *Server) report(w http.ResponseWriter, r *http.Request) {
	own, ok := s.ownReport(w, r, false)
	if !ok {
		return
	}
	writeJSON(w, s.collect(r.Context(), own))
}

func (s *Server) peerReport(w http.ResponseWriter, r *http.Request) {
	if own, ok := s.ownReport(w, r, true); ok {
		writeJSON(w, own)
	}
}

func (s *Server) ownReport(w http.ResponseWriter, r *http.Request, trusted bool) (entity.Report, bool) {
	answer := s.ask(r.Context(), func(id int64) inbox.Event {
		return inbox.QueryAsked{ID: id, KeyHash: secret(r), Trusted: trusted}
	})
	done, ok := answer.(outbox.QueryDone)
	switch {
	case !ok:
		http.Error(w, "no answer", http.StatusGatewayTimeout)
	case done.Refused:
		http.Error(w, "unauthorized", http.StatusUnauthorized)
	}
	return done.Report, ok && !done.Refused
}

// collect asks every known VM for its report.
func (s *Server) collect(ctx context.Context, own entity.Report) FleetReport {
	all := FleetReport{VMs: []entity.Report{own}, Missing: []string{}}
	answers := make(chan *peerCall, len(own.Peers))
	for _, p := range own.Peers {
		c := &peerCall{server: s, ctx: ctx, peer: p, answers: answers}
		go c.run()
	}
	for range own.Peers {
		c := <-answers
		if c.ok {
			all.VMs = append(all.VMs, c.report)
		} else {
			all.Missing = append(all.Missing, c.peer.VM)
		}
	}
	slices.SortFunc(all.VMs, func(a, b entity.Report) int { return strings.Compare(a.VM, b.VM) })
	slices.Sort(all.Missing)
	return all
}

// peerCall asks one VM.
type peerCall struct {
	server  *Server
	ctx     context.Context
	peer    entity.PeerReport
	answers chan<- *peerCall
	report  entity.Report
	ok      bool
}

func (c *peerCall) run() {
	c.ok = c.ask()
	c.answers <- c
}

func (c *peerCall) ask() bool {
	ctx, cancel := context.WithTimeout(c.ctx, peerTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+c.peer.Address+PathReport, nil)
	if err != nil {
		return false
	}
	response, err := c.server.peers.RoundTrip(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return false
	}
	return json.NewDecoder(response.Body).Decode(&c.report) == nil
}
