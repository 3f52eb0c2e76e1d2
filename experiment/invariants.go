package experiment

import (
	"fmt"
	"slices"

	"hawthornspar/core/entity"
)

// Violation says which promise a run broke.
type Violation struct {
	Promise string
	Detail  string
}

// Error implements error.
func (v *Violation) Error() string { return v.Promise + ": " + v.Detail }

func violated(promise, format string, args ...any) error {
	return &Violation{Promise: promise, Detail: fmt.Sprintf(format, args...)}
}

// Ledger returns the charges in the table in the order of their commits.
func (f *Fleet) Ledger() []entity.Charge {
	rows := f.Table.Scan(entity.LedgerPrefix)
	slices.SortStableFunc(rows, func(a, b entity.Row) int { return int(a.Version - b.Version) })
	var charges []entity.Charge
	for _, row := range rows {
		batch, _ := row.Document.(entity.LedgerRow)
		charges = append(charges, batch.Charges...)
	}
	return charges
}

// CheckBudgets adds up the table, independently of the routers, and returns a
// *Violation if a budget is overspent or its rows do not balance.
func (f *Fleet) CheckBudgets() error {
	var charged, open entity.Table[string, int64]
	for _, c := range f.Ledger() {
		add(&charged, c.Budget, c.Tokens)
	}
	for _, row := range f.Table.Scan(entity.GrantPrefix) {
		g, _ := row.Document.(entity.GrantRow)
		add(&open, g.Budget, g.Unspent())
	}
	for _, row := range f.Table.Scan("budget/") {
		name := row.Key[len("budget/"):]
		b, _ := row.Document.(entity.BudgetRow)
		spent, _ := charged.Get(name)
		held, _ := open.Get(name)
		drawn := b.Drawn - b.Returned
		if drawn > b.Prepaid {
			return violated("spend within budget", "%s: %d drawn of %d", name, drawn, b.Prepaid)
		}
		if spent+held > drawn {
			return violated("spend within budget", "%s: %d charged and %d open of %d drawn", name, spent, held, drawn)
		}
	}
	return nil
}

func add(t *entity.Table[string, int64], key string, n int64) {
	old, _ := t.Get(key)
	t.Put(key, old+n)
}

// CheckOnce returns a *Violation if a request that may not repeat ran twice.
// Results with the same key are one request.
func (f *Fleet) CheckOnce(label string) error {
	var runs entity.Table[string, int64]
	for _, r := range f.Results {
		if r.Label == label {
			add(&runs, r.Account+"/"+r.Key, int64(r.Ran))
		}
	}
	for _, key := range runs.Keys() {
		if n, _ := runs.Get(key); n > 1 {
			return violated("at most once", "%s ran %d times", key, n)
		}
	}
	return nil
}

// CheckTruth returns a *Violation if a request refused as not run did run.
func (f *Fleet) CheckTruth() error {
	for _, r := range f.Results {
		if r.NotRun && r.Ran > 0 {
			return violated("not run is true", "%s %s ran %d times", r.Key, r.Reason, r.Ran)
		}
	}
	return nil
}

// CheckBilled returns a *Violation if an answered request is not in the
// ledger, or a charge belongs to no request that was sent.
func (f *Fleet) CheckBilled() error {
	var charged entity.Table[entity.ChargeKey, int64]
	for _, c := range f.Ledger() {
		n, _ := charged.Get(c.ID())
		charged.Put(c.ID(), n+1)
	}
	for _, r := range f.Results {
		if n, _ := charged.Get(r.Charged); r.Answered && r.Billed > 0 && n == 0 {
			return violated("billed once", "%s was answered and is not billed", r.Key)
		}
	}
	return nil
}
