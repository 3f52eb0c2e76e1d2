package experiment

import (
	"fmt"
	"slices"

	"hawthornspar/core/entity"
)

// Violation reports an invariant that a run violated.
type Violation struct {
	Invariant string
	Detail    string
}

// Error implements error.
func (v *Violation) Error() string { return v.Invariant + ": " + v.Detail }

func violated(invariant, format string, args ...any) error {
	return &Violation{Invariant: invariant, Detail: fmt.Sprintf(format, args...)}
}

// Ledger returns the charges in the table service in the order of their commits.
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

// CheckBudgets adds up the rows of the table service, independently of the VMs'
// own bookkeeping. It returns a *Violation if more was drawn from a budget than
// was prepaid, or if its charges and open grants exceed what was drawn.
func (f *Fleet) CheckBudgets() error {
	var charged, open entity.Table[string, int64]
	for _, c := range f.Ledger() {
		increment(&charged, c.Budget, c.Tokens)
	}
	for _, row := range f.Table.Scan(entity.GrantPrefix) {
		g, _ := row.Document.(entity.GrantRow)
		increment(&open, g.Budget, g.Unspent())
	}
	for _, row := range f.Table.Scan("budget/") {
		name := row.Key[len("budget/"):]
		b, _ := row.Document.(entity.BudgetRow)
		spent, _ := charged.Get(name)
		unspent, _ := open.Get(name)
		drawn := b.Drawn - b.Returned
		if drawn > b.Prepaid {
			return violated("spend within budget", "%s: %d tokens drawn of %d prepaid", name, drawn, b.Prepaid)
		}
		if spent+unspent > drawn {
			return violated("spend within budget", "%s: %d tokens charged and %d in open grants, of %d drawn", name, spent, unspent, drawn)
		}
	}
	return nil
}

// increment adds n to the value of a key.
func increment(t *entity.Table[string, int64], key string, n int64) {
	old, _ := t.Get(key)
	t.Put(key, old+n)
}

// CheckAtMostOnce returns a *Violation if a request of a class that must not be
// retried ran more than once. Results with the same account and key are one
// request.
func (f *Fleet) CheckAtMostOnce(label string) error {
	var runs entity.Table[string, int64]
	for _, r := range f.Results {
		if r.Label == label {
			increment(&runs, r.Account+"/"+r.RequestKey, int64(r.Attempts))
		}
	}
	for _, key := range runs.Keys() {
		if n, _ := runs.Get(key); n > 1 {
			return violated("at most once", "%s ran %d times", key, n)
		}
	}
	return nil
}

// CheckNotRun returns a *Violation if a request was refused as not run although
// an endpoint ran it.
func (f *Fleet) CheckNotRun() error {
	for _, r := range f.Results {
		if r.NotRun && r.Attempts > 0 {
			return violated("refused as not run did not run", "%s %s ran %d times", r.RequestKey, r.RefusalReason, r.Attempts)
		}
	}
	return nil
}

// CheckBilled returns a *Violation if a billed, complete response has no charge
// in the ledger.
func (f *Fleet) CheckBilled() error {
	var charged entity.Table[entity.ChargeKey, int64]
	for _, c := range f.Ledger() {
		n, _ := charged.Get(c.ID())
		charged.Put(c.ID(), n+1)
	}
	for _, r := range f.Results {
		if n, _ := charged.Get(r.ChargeKey); r.Completed && r.BilledTokens > 0 && n == 0 {
			return violated("billed once", "%s got a complete response but is not in the ledger", r.RequestKey)
		}
	}
	return nil
}
