package scenarios

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	protocol "hawthornspar/io/platform"
	"hawthornspar/io/wire"
)

// The judge adds up what the table holds, without the routers' code.

// billed is one request's charge as the ledger has it.
type billed struct {
	budget, key string
	tokens      int64
	entries     int // charges with this key, the first of which counts
}

// ledger returns the charges by budget and key, in the order of their commits.
func (f *fleet) ledger() ([]billed, error) {
	rows, err := f.rows("ledger/")
	if err != nil {
		return nil, err
	}
	slices.SortFunc(rows, func(a, b protocol.Row) int { return int(a.Version - b.Version) })
	var all []billed
	for _, row := range rows {
		var batch wire.LedgerRow
		if err := proto.Unmarshal(row.Value, &batch); err != nil {
			return nil, err
		}
		for _, c := range batch.Charges {
			i := slices.IndexFunc(all, func(b billed) bool { return b.budget == c.Budget && b.key == c.RequestKey })
			if i < 0 {
				all = append(all, billed{c.Budget, c.RequestKey, c.Tokens, 1})
				continue
			}
			all[i].entries++
		}
	}
	return all, nil
}

// budget returns a budget's row, and the unspent tokens of all its grants.
func (f *fleet) budget(name string) (*wire.BudgetRow, int64, error) {
	rows, err := f.rows("budget/" + name)
	if err != nil || len(rows) != 1 {
		return nil, 0, errors.Errorf("budget %s: %v", name, err)
	}
	var row wire.BudgetRow
	if err := proto.Unmarshal(rows[0].Value, &row); err != nil {
		return nil, 0, err
	}
	grants, err := f.rows("grant/")
	var open int64
	for _, g := range grants {
		var grant wire.GrantRow
		if err := proto.Unmarshal(g.Value, &grant); err != nil {
			return nil, 0, err
		}
		if grant.Budget == name {
			open += grant.Drawn - grant.Spent - grant.Returned
		}
	}
	return &row, open, err
}

// withinBudgets checks that no budget is overspent, counting every charge, and
// that table rows balance: prepaid = left + open grants + charges.
func (f *fleet) withinBudgets() error {
	charges, err := f.ledger()
	if err != nil {
		return err
	}
	rows, err := f.rows("budget/")
	if err != nil {
		return err
	}
	for _, r := range rows {
		name := strings.TrimPrefix(r.Key, "budget/")
		row, open, err := f.budget(name)
		if err != nil {
			return err
		}
		var spent int64
		for _, c := range charges {
			if c.budget == name {
				spent += c.tokens
			}
		}
		if spent > row.Prepaid {
			return errors.Errorf("%s: spent %d of %d prepaid", name, spent, row.Prepaid)
		}
		if row.Drawn-row.Returned > row.Prepaid {
			return errors.Errorf("%s: %d are drawn of %d prepaid", name, row.Drawn-row.Returned, row.Prepaid)
		}
		if spent+open > row.Drawn-row.Returned {
			return errors.Errorf("%s: charges %d and open grants %d are more than the %d drawn", name, spent, open, row.Drawn-row.Returned)
		}
	}
	return nil
}

// exact checks both ways that each request answered whole is billed once and
// rightly, and that nothing else is billed.
func (f *fleet) exact() error {
	charges, err := f.ledger()
	if err != nil {
		return err
	}
	owed := map[string]int64{}
	partial := map[string]bool{}
	for _, s := range f.sends {
		s.mu.Lock()
		id := s.account + "/main " + s.account + "/" + s.key
		if s.whole {
			owed[id] = s.billed
		} else if s.text != "" || s.failure != "" {
			partial[id] = true
		}
		s.mu.Unlock()
	}
	for _, c := range charges {
		id := c.budget + " " + c.key
		want, answered := owed[id]
		switch {
		case answered && want != 0 && want != c.tokens:
			return errors.Errorf("%s: billed %d, caller was told %d", id, c.tokens, want)
		case !answered && !partial[id]:
			return errors.Errorf("%s: billed %d, but no caller was answered", id, c.tokens)
		}
		delete(owed, id)
	}
	for id, want := range owed {
		if want != 0 {
			return errors.Errorf("%s: answered, but not billed", id)
		}
	}
	return nil
}

// counts is what engines and runners say they ran.
type counts struct {
	Runs   map[string]int `json:"runs"`
	Orders map[string]int `json:"orders"`
}

// runsOf adds up how often endpoints ran a reference.
func (f *fleet) runsOf(ref string) (int, error) {
	total := 0
	for _, p := range append(append([]*place{}, f.engines...), f.runners...) {
		out, err := get("http://" + p.process.args[2] + "/admin/counts")
		if err != nil {
			return 0, errors.Wrap(err, p.name)
		}
		var c counts
		if err := json.Unmarshal([]byte(out), &c); err != nil {
			return 0, err
		}
		total += c.Runs[ref] + c.Orders[ref]
	}
	return total, nil
}

// truthful holds every refusal that says "not run" against the endpoints'
// own counts.
func (f *fleet) truthful() error {
	for _, s := range f.sends {
		s.mu.Lock()
		ref, claims := s.ref, s.notRun
		s.mu.Unlock()
		if !claims {
			continue
		}
		others := 0
		for _, o := range f.sends {
			if o != s && o.ref == ref {
				others++
			}
		}
		n, err := f.runsOf(ref)
		if err != nil {
			return err
		}
		if n > others {
			return fmt.Errorf("%s was refused as not run, but %s ran %d times", s.name, ref, n)
		}
	}
	return nil
}
