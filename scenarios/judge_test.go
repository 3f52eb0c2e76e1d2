package scenarios

import (
	"encoding/json"
	"fmt"
	"maps"
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

// answered is what callers were told of one request key.
type answered struct {
	amounts map[string]int64 // billed by body; a key with two bodies is two requests
	partial bool             // some caller got a part, or does not know
}

// exact checks both ways that each request answered whole is billed once and
// rightly, and that nothing else is billed.
func (f *fleet) exact() error {
	charges, err := f.ledger()
	if err != nil {
		return err
	}
	for _, s := range f.sends {
		if s.spliced {
			return errors.Errorf("%s got an answer that is not one run's: %s", s.name, s.seen())
		}
	}
	told := f.told()
	ledger := map[string][]int64{}
	for _, c := range charges {
		id := c.budget + " " + c.key[:strings.LastIndex(c.key, "/")]
		ledger[id] = append(ledger[id], c.tokens)
	}
	for id, amounts := range ledger {
		t := told[id]
		if t == nil || len(t.amounts) == 0 && !t.partial {
			return errors.Errorf("%s: billed %v, but no caller was answered", id, amounts)
		}
		if len(t.amounts) > 0 && !sameAmounts(amounts, t.amounts) {
			return errors.Errorf("%s: billed %v, callers were told %v", id, amounts, t.amounts)
		}
	}
	for id, t := range told {
		if len(t.amounts) > 0 && len(ledger[id]) == 0 {
			return errors.Errorf("%s: answered, but not billed", id)
		}
	}
	return nil
}

func (f *fleet) told() map[string]*answered {
	told := map[string]*answered{}
	for _, s := range f.sends {
		s.mu.Lock()
		id := s.account + "/main " + s.key
		if told[id] == nil {
			told[id] = &answered{amounts: map[string]int64{}}
		}
		t := told[id]
		switch {
		case s.whole && s.billed > 0:
			t.amounts[s.identity()] = s.billed
		case s.whole && s.order:
			t.partial = true // a replayed answer does not tell what was billed
		case s.text != "" || s.failure != "" || s.code == "outcomeUnknown":
			t.partial = true
		}
		s.mu.Unlock()
	}
	return told
}

// identity is the request's content, which does not depend on how the answer
// is delivered.
func (s *send) identity() string {
	return strings.NewReplacer(`"stream":true`, "", `"stream":false`, "").Replace(s.body)
}

func sameAmounts(ledger []int64, told map[string]int64) bool {
	want := slices.Sorted(maps.Values(told))
	return slices.Equal(slices.Sorted(slices.Values(ledger)), want)
}

// counts is what engines and runners say they ran.
type counts struct {
	Runs   map[string]int `json:"runs"`
	Orders map[string]int `json:"orders"`
}

// runsOf tells how often one endpoint ran a reference. An endpoint that ended
// tells nothing.
func (p *place) runsOf(ref string) (int, error) {
	select {
	case <-p.process.exited:
		return 0, nil
	default:
	}
	out, err := get("http://" + p.process.args[2] + "/admin/counts")
	if err != nil {
		return 0, errors.Wrap(err, p.name)
	}
	var c counts
	err = json.Unmarshal([]byte(out), &c)
	return c.Runs[ref] + c.Orders[ref], err
}

// runsOf adds up how often endpoints ran a reference.
func (f *fleet) runsOf(ref string) (int, error) {
	total := 0
	for _, p := range append(append([]*place{}, f.engines...), f.runners...) {
		n, err := p.runsOf(ref)
		if err != nil {
			return 0, err
		}
		total += n
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
