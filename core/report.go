package core

import (
	"time"

	"hawthornspar/core/entity"
)

// Report returns a copy of this VM's state for an operator's query.
func (r *Router) Report() entity.Report {
	w := r.World
	report := entity.Report{
		VM: w.Self.Name, Incarnation: w.Self.Incarnation, Domain: w.Self.Domain,
		Ready: w.Ready, ShuttingDown: w.ShuttingDown, TableReachable: w.TableReachable, ConfigVersion: w.Config.Version,
		Unflushed: r.flusher.Unflushed(), ChargeCopies: r.copier.Stored(),
		Quarantined: w.Config.Quarantined.Keys(),
	}
	for _, g := range w.Grants.Rows() {
		report.Budgets = append(report.Budgets, entity.BudgetReport{
			Budget: g.Budget, Prepaid: g.BudgetRow.Prepaid, Remaining: g.BudgetRow.Remaining(),
			Drawn: g.Drawn - g.Returned, Spent: g.Spent, Reserved: g.Reserved, Free: g.Free(),
		})
	}
	for _, q := range w.Requests.Rows() {
		report.Requests = append(report.Requests, entity.RequestReport{
			Account: q.Account, RequestKey: q.RequestKey, Service: q.Service, Rank: q.Rank,
			Phase: q.Phase.String(), Endpoint: q.Endpoint, AgeMillis: w.Now.Sub(q.Arrived).Milliseconds(),
		})
	}
	r.addEndpointsPeersRefusals(&report)
	return report
}

// addEndpointsPeersRefusals adds the endpoints, the peers and the counters of
// refusals.
func (r *Router) addEndpointsPeersRefusals(report *entity.Report) {
	w := r.World
	for _, e := range w.Endpoints.Rows() {
		report.Endpoints = append(report.Endpoints, entity.EndpointReport{
			Endpoint: e.Spec.Name, Domain: e.Spec.Domain, InFlight: e.InFlight, Window: int(e.Window),
			Draining: e.Spec.Draining, Down: w.Now.Before(e.BackoffUntil), Completed: e.Completed,
		})
	}
	for _, p := range w.Peers.Rows() {
		alive := !p.LastMessageAt.IsZero() && w.Now.Sub(p.LastMessageAt) < w.Policy.PeerTimeout+time.Second
		report.Peers = append(report.Peers, entity.PeerReport{
			VM: p.Name, Address: p.Address, Domain: p.Domain, Alive: alive, ShuttingDown: p.ShuttingDown, ConfigVersion: p.ConfigVersion,
		})
	}
	for _, key := range w.Refusals.Keys() {
		count, _ := w.Refusals.Get(key)
		report.Refusals = append(report.Refusals, entity.RefusalReport{
			Account: key.Account, Rank: key.Rank, Reason: key.Reason, Count: count,
		})
	}
}
