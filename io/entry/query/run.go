package query

import (
	"strings"

	"hawthornspar/core/entity"
	"hawthornspar/io/entry"
	"hawthornspar/io/operator"
	"hawthornspar/io/wire"
)

// Fleet provides the state that queries read.
type Fleet interface {
	Report() (operator.FleetReport, error)
	Budgets(prefix string) ([]operator.BudgetTotal, error)
}

// relationSchema describes a relation that queries may name.
type relationSchema struct {
	name    string
	columns []string
	rows    func(vm entity.Report) [][]Value // the rows of one VM; nil for budgets, which come from Fleet.Budgets
}

var schemas = []relationSchema{
	{"budgets", []string{"account", "budget", "prepaid", "left", "held", "holders"}, nil},
	{"grants", []string{"vm", "budget", "prepaid", "left", "drawn", "spent", "reserved", "free"}, grantRows},
	{"requests", []string{"vm", "account", "requestKey", "service", "rank", "phase", "endpoint", "ageMillis"}, requestRows},
	{"endpoints", []string{"vm", "endpoint", "domain", "inFlight", "window", "leaving", "down", "completed"}, endpointRows},
	{"refusals", []string{"vm", "account", "rank", "reason", "count"}, refusalRows},
	{"vms", []string{"vm", "domain", "ready", "leaving", "tableUp", "configVersion", "unflushed", "held"}, vmRows},
	{"peers", []string{"vm", "peer", "domain", "heard", "leaving", "configVersion"}, peerRows},
	{"quarantine", []string{"vm", "fingerprint"}, quarantineRows},
}

// findSchema returns the schema of a relation, and whether there is one.
func findSchema(name string) (relationSchema, bool) {
	for _, r := range schemas {
		if r.name == name {
			return r, true
		}
	}
	return relationSchema{}, false
}

func relationNames() string {
	var names []string
	for _, r := range schemas {
		names = append(names, r.name)
	}
	return strings.Join(names, ", ")
}

// Run runs a query. It returns the selected rows and the names of the VMs that
// did not respond.
func Run(fleet Fleet, q *Query) (Relation, []string, error) {
	schema, _ := findSchema(q.Relation)
	relation := Relation{Columns: schema.columns}
	var missing []string
	var err error
	if schema.rows == nil {
		relation.Rows, err = budgetRows(fleet)
	} else {
		var report operator.FleetReport
		report, err = fleet.Report()
		missing = report.Missing
		for _, vm := range report.VMs {
			relation.Rows = append(relation.Rows, schema.rows(vm)...)
		}
	}
	if err != nil {
		return Relation{}, nil, err
	}
	selected, err := relation.Select(q)
	return selected, missing, err
}

func budgetRows(fleet Fleet) ([][]Value, error) {
	totals, err := fleet.Budgets("")
	var rows [][]Value
	for _, b := range totals {
		account, _, _ := strings.Cut(b.Budget, "/")
		rows = append(rows, []Value{
			textValue(account), textValue(b.Budget), numberValue(b.Prepaid), numberValue(b.Left), numberValue(b.Held), numberValue(int64(len(b.Holders))),
		})
	}
	return rows, err
}

func grantRows(vm entity.Report) [][]Value {
	var rows [][]Value
	for _, b := range vm.Budgets {
		rows = append(rows, []Value{
			textValue(vm.VM), textValue(b.Budget), numberValue(b.Prepaid), numberValue(b.Remaining),
			numberValue(b.Drawn), numberValue(b.Spent), numberValue(b.Reserved), numberValue(b.Free),
		})
	}
	return rows
}

func requestRows(vm entity.Report) [][]Value {
	var rows [][]Value
	for _, r := range vm.Requests {
		rows = append(rows, []Value{
			textValue(vm.VM), textValue(r.Account), textValue(r.RequestKey), textValue(r.Service),
			textValue(r.Rank), textValue(r.Phase), textValue(r.Endpoint), numberValue(r.AgeMillis),
		})
	}
	return rows
}

func endpointRows(vm entity.Report) [][]Value {
	var rows [][]Value
	for _, e := range vm.Endpoints {
		rows = append(rows, []Value{
			textValue(vm.VM), textValue(e.Endpoint), textValue(e.Domain), numberValue(int64(e.InFlight)),
			numberValue(int64(e.Window)), boolValue(e.Draining), boolValue(e.Down), numberValue(e.Completed),
		})
	}
	return rows
}

func refusalRows(vm entity.Report) [][]Value {
	var rows [][]Value
	for _, r := range vm.Refusals {
		rows = append(rows, []Value{textValue(vm.VM), textValue(r.Account), textValue(r.Rank), textValue(string(r.Reason)), numberValue(r.Count)})
	}
	return rows
}

func vmRows(vm entity.Report) [][]Value {
	return [][]Value{{
		textValue(vm.VM), textValue(vm.Domain), boolValue(vm.Ready), boolValue(vm.ShuttingDown), boolValue(vm.TableReachable),
		numberValue(vm.ConfigVersion), numberValue(int64(vm.Unflushed)), numberValue(int64(vm.ChargeCopies)),
	}}
}

func peerRows(vm entity.Report) [][]Value {
	var rows [][]Value
	for _, p := range vm.Peers {
		rows = append(rows, []Value{
			textValue(vm.VM), textValue(p.VM), textValue(p.Domain), boolValue(p.Alive), boolValue(p.ShuttingDown), numberValue(p.ConfigVersion),
		})
	}
	return rows
}

func quarantineRows(vm entity.Report) [][]Value {
	var rows [][]Value
	for _, f := range vm.Quarantined {
		rows = append(rows, []Value{textValue(vm.VM), textValue(f)})
	}
	return rows
}

// Change returns the configuration change that a command makes. A drain has none, as
// it depends on the endpoint's settings in force.
func (c *Command) Change() *wire.Change {
	if c.TopUp != nil {
		return entry.TopUp(c.TopUp.Budget, c.TopUp.Tokens)
	}
	return entry.Release(c.Release.Fingerprint)
}
