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

// The checks read the rows of the platform's table directly and evaluate them
// without the code of the VMs, so that the checks don't share its faults.

// ledgerCharge is what the ledger has billed for one request key.
type ledgerCharge struct {
	budget, key string
	tokens      int64 // of the first entry
	entries     int   // charges with this key, of which only the first counts
}

// ledger returns the charges by budget and request key, in commit order.
func (f *fleet) ledger() ([]ledgerCharge, error) {
	rows, err := f.rows("ledger/")
	if err != nil {
		return nil, err
	}
	slices.SortFunc(rows, func(a, b protocol.Row) int { return int(a.Version - b.Version) })
	var all []ledgerCharge
	for _, row := range rows {
		var batch wire.LedgerRow
		if err := proto.Unmarshal(row.Value, &batch); err != nil {
			return nil, err
		}
		for _, c := range batch.Charges {
			i := slices.IndexFunc(all, func(b ledgerCharge) bool { return b.budget == c.Budget && b.key == c.RequestKey })
			if i < 0 {
				all = append(all, ledgerCharge{c.Budget, c.RequestKey, c.Tokens, 1})
				continue
			}
			all[i].entries++
		}
	}
	return all, nil
}

// budget returns the row of a budget and the unspent tokens of all its grants.
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
	var unspent int64
	for _, g := range grants {
		var grant wire.GrantRow
		if err := proto.Unmarshal(g.Value, &grant); err != nil {
			return nil, 0, err
		}
		if grant.Budget == name {
			unspent += grant.Drawn - grant.Spent - grant.Returned
		}
	}
	return &row, unspent, err
}

// checkBudgets checks that neither the charges nor the drawn tokens of a
// budget exceed its prepaid tokens, and that its charges and the unspent
// tokens of its grants together don't exceed the drawn tokens. A request key
// that has several charges counts once.
func (f *fleet) checkBudgets() error {
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
		row, unspent, err := f.budget(name)
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
			return errors.Errorf("%s: charges of %d exceed the %d prepaid", name, spent, row.Prepaid)
		}
		if row.Drawn-row.Returned > row.Prepaid {
			return errors.Errorf("%s: %d drawn exceed the %d prepaid", name, row.Drawn-row.Returned, row.Prepaid)
		}
		if spent+unspent > row.Drawn-row.Returned {
			return errors.Errorf("%s: charges of %d and unspent grants of %d exceed the %d drawn", name, spent, unspent, row.Drawn-row.Returned)
		}
	}
	return nil
}

// clientView is what clients know about the requests with one idempotency key.
type clientView struct {
	billedByBody map[string]int64 // tokens by request body: a key with two bodies is two requests
	uncertain    bool             // some response, such as a truncated one, does not say what is billed
}

// checkBilling checks that each request with a complete response is billed
// once, with the tokens that the response reports, and that nothing else is
// billed. If no response to a key reports tokens and some don't say what is
// billed, any charge is accepted. It also checks that no response mixes the
// tokens of several runs.
func (f *fleet) checkBilling() error {
	charges, err := f.ledger()
	if err != nil {
		return err
	}
	for _, r := range f.requests {
		if r.corrupt {
			return errors.Errorf("%s got a response that is not from one run: %s", r.name, r.outcome())
		}
	}
	clientViews := f.clientViews()
	ledger := map[string][]int64{}
	for _, c := range charges {
		id := c.budget + " " + c.key[:strings.LastIndex(c.key, "/")]
		ledger[id] = append(ledger[id], c.tokens)
	}
	for id, amounts := range ledger {
		v := clientViews[id]
		if v == nil || len(v.billedByBody) == 0 && !v.uncertain {
			return errors.Errorf("%s: billed %v, but no client got a response", id, amounts)
		}
		if len(v.billedByBody) > 0 && !sameAmounts(amounts, v.billedByBody) {
			return errors.Errorf("%s: billed %v, but the responses said %v", id, amounts, v.billedByBody)
		}
	}
	for id, v := range clientViews {
		if len(v.billedByBody) > 0 && len(ledger[id]) == 0 {
			return errors.Errorf("%s: got a complete response, but is not billed", id)
		}
	}
	return nil
}

// clientViews returns what clients know, by budget and idempotency key.
func (f *fleet) clientViews() map[string]*clientView {
	clientViews := map[string]*clientView{}
	for _, r := range f.requests {
		r.mu.Lock()
		id := r.account + "/main " + r.idempotencyKey
		if clientViews[id] == nil {
			clientViews[id] = &clientView{billedByBody: map[string]int64{}}
		}
		v := clientViews[id]
		switch {
		case r.complete && r.billed > 0:
			v.billedByBody[r.bodyWithoutStream()] = r.billed
		case r.complete && r.order:
			v.uncertain = true // a replayed response does not say what was billed
		case r.text != "" || r.transportError != "" || r.code == "outcomeUnknown":
			v.uncertain = true
		}
		r.mu.Unlock()
	}
	return clientViews
}

// bodyWithoutStream returns the request's body without the choice between a
// streamed and a plain response, which does not make it another request.
func (r *clientRequest) bodyWithoutStream() string {
	return strings.NewReplacer(`"stream":true`, "", `"stream":false`, "").Replace(r.body)
}

// sameAmounts reports whether the ledger and the responses of a key report the
// same amounts, in any order.
func sameAmounts(ledger []int64, billedByBody map[string]int64) bool {
	want := slices.Sorted(maps.Values(billedByBody))
	return slices.Equal(slices.Sorted(slices.Values(ledger)), want)
}

// runCounts is how often an engine or a runner ran each reference.
type runCounts struct {
	Runs   map[string]int `json:"runs"`   // of an engine
	Orders map[string]int `json:"orders"` // of a runner
}

// runsOf returns how often the endpoint ran a reference. It returns 0 for an
// endpoint that has exited, because the counts are lost with the process.
func (e *endpoint) runsOf(ref string) (int, error) {
	select {
	case <-e.process.exited:
		return 0, nil
	default:
	}
	out, err := get("http://" + e.process.args[2] + "/admin/counts")
	if err != nil {
		return 0, errors.Wrap(err, e.name)
	}
	var c runCounts
	err = json.Unmarshal([]byte(out), &c)
	return c.Runs[ref] + c.Orders[ref], err
}

// runsOf returns how often all endpoints together ran a reference.
func (f *fleet) runsOf(ref string) (int, error) {
	total := 0
	for _, e := range append(append([]*endpoint{}, f.engines...), f.runners...) {
		n, err := e.runsOf(ref)
		if err != nil {
			return 0, err
		}
		total += n
	}
	return total, nil
}

// checkNotRun compares every response that says "not run" with the counts of
// the endpoints: they must not have run the reference more often than there
// are other requests with it.
func (f *fleet) checkNotRun() error {
	for _, r := range f.requests {
		r.mu.Lock()
		ref, saysNotRun := r.ref, r.notRun
		r.mu.Unlock()
		if !saysNotRun {
			continue
		}
		others := 0
		for _, o := range f.requests {
			if o != r && o.ref == ref {
				others++
			}
		}
		n, err := f.runsOf(ref)
		if err != nil {
			return err
		}
		if n > others {
			return fmt.Errorf("the response to %s says not run, but %s ran %d times", r.name, ref, n)
		}
	}
	return nil
}
