package query

import (
	"strings"

	"hawthornspar/core/entity"
	"hawthornspar/io/entry"
	"hawthornspar/io/operator"
	"hawthornspar/io/wire"
)

// Fleet answers queries.
type Fleet interface {
	Report() (operator.FleetReport, error)
	Budgets(prefix string) ([]operator.BudgetTotal, error)
}

// relation is a table that queries may name.
type relation struct {
	name    string
	columns []string
	rows    func(vm entity.Report) [][]Value
}

var relations = []relation{
	{"budgets", []string{"account", "budget", "prepaid", "left", "held", "holders"}, nil},
	{"grants", []string{"vm", "budget", "prepaid", "left", "drawn", "spent", "reserved", "free"}, grantRows},
	{"requests", []string{"vm", "account", "requestKey", "service", "rank", "phase", "endpoint", "ageMillis"}, requestRows},
	{"endpoints", []string{"vm", "endpoint", "domain", "inFlight", "window", "leaving", "down", "completed"}, endpointRows},
	{"refusals", []string{"vm", "account", "rank", "reason", "count"}, refusalRows},
	{"vms", []string{"vm", "domain", "ready", "leaving", "tableUp", "configVersion", "unflushed", "held"}, vmRows},
	{"peers", []string{"vm", "peer", "domain", "heard", "leaving", "configVersion"}, peerRows},
	{"quarantine", []string{"vm", "fingerprint"}, quarantineRows},
}

func relationNamed(name string) (relation, bool) {
	for _, r := range relations {
		if r.name == name {
			return r, true
		}
	}
	return relation{}, false
}

func relationNames() string {
	var names []string
	for _, r := range relations {
		names = append(names, r.name)
	}
	return strings.Join(names, ", ")
}

// Run answers a query, and names the VMs that did not answer.
func Run(fleet Fleet, q *Query) (Relation, []string, error) {
	r, _ := relationNamed(q.Relation)
	all := Relation{Columns: r.columns}
	var missing []string
	var err error
	if r.rows == nil {
		all.Rows, err = budgetRows(fleet)
	} else {
		var report operator.FleetReport
		report, err = fleet.Report()
		missing = report.Missing
		for _, vm := range report.VMs {
			all.Rows = append(all.Rows, r.rows(vm)...)
		}
	}
	if err != nil {
		return Relation{}, nil, err
	}
	found, err := all.Select(q)
	return found, missing, err
}

func budgetRows(fleet Fleet) ([][]Value, error) {
	totals, err := fleet.Budgets("")
	var rows [][]Value
	for _, b := range totals {
		account, _, _ := strings.Cut(b.Budget, "/")
		rows = append(rows, []Value{
			text(account), text(b.Budget), number(b.Prepaid), number(b.Left), number(b.Held), number(int64(len(b.Holders))),
		})
	}
	return rows, err
}

func grantRows(vm entity.Report) [][]Value {
	var rows [][]Value
	for _, b := range vm.Budgets {
		rows = append(rows, []Value{
			text(vm.VM), text(b.Budget), number(b.Prepaid), number(b.Left),
			number(b.Drawn), number(b.Spent), number(b.Reserved), number(b.Free),
		})
	}
	return rows
}

func requestRows(vm entity.Report) [][]Value {
	var rows [][]Value
	for _, r := range vm.Requests {
		rows = append(rows, []Value{
			text(vm.VM), text(r.Account), text(r.RequestKey), text(r.Service),
			text(r.Rank), text(r.Phase), text(r.Endpoint), number(r.AgeMillis),
		})
	}
	return rows
}

func endpointRows(vm entity.Report) [][]Value {
	var rows [][]Value
	for _, e := range vm.Endpoints {
		rows = append(rows, []Value{
			text(vm.VM), text(e.Endpoint), text(e.Domain), number(int64(e.InFlight)),
			number(int64(e.Window)), boolean(e.Leaving), boolean(e.Down), number(e.Completed),
		})
	}
	return rows
}

func refusalRows(vm entity.Report) [][]Value {
	var rows [][]Value
	for _, r := range vm.Refusals {
		rows = append(rows, []Value{text(vm.VM), text(r.Account), text(r.Rank), text(string(r.Reason)), number(r.Count)})
	}
	return rows
}

func vmRows(vm entity.Report) [][]Value {
	return [][]Value{{
		text(vm.VM), text(vm.Domain), boolean(vm.Ready), boolean(vm.Leaving), boolean(vm.TableUp),
		number(vm.ConfigVersion), number(int64(vm.Unflushed)), number(int64(vm.Held)),
	}}
}

func peerRows(vm entity.Report) [][]Value {
	var rows [][]Value
	for _, p := range vm.Peers {
		rows = append(rows, []Value{
			text(vm.VM), text(p.VM), text(p.Domain), boolean(p.Heard), boolean(p.Leaving), number(p.ConfigVersion),
		})
	}
	return rows
}

func quarantineRows(vm entity.Report) [][]Value {
	var rows [][]Value
	for _, f := range vm.Quarantined {
		rows = append(rows, []Value{text(vm.VM), text(f)})
	}
	return rows
}

// Change builds the configuration change of a command.
func (c *Command) Change(fleet *entry.Client) (*wire.Change, error) {
	switch {
	case c.TopUp != nil:
		return entry.TopUp(c.TopUp.Budget, c.TopUp.Tokens), nil
	case c.Drain != nil:
		return fleet.Drain(c.Drain.Endpoint)
	}
	return entry.Release(c.Release.Fingerprint), nil
}
