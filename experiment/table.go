package experiment

import (
	"slices"
	"strings"
	"time"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
)

// TableService simulates the transactional table service.
type TableService struct {
	rows         entity.Table[string, entity.Row]
	version      int64         // of the latest commit
	Latency      time.Duration // of a request and its response together
	Outage       bool          // all requests time out
	ResponseLoss float64       // share of transactions whose response is lost after the commit
	Transactions int64         // committed
	Reads        int64
	Conflicts    int64 // transactions refused for a changed row
}

// NewTableService returns a table service without rows.
func NewTableService() *TableService { return &TableService{Latency: 2 * time.Millisecond} }

// Put stores a row outside any transaction, to set up or change a run.
func (t *TableService) Put(key string, document entity.Document) {
	t.version++
	t.rows.Put(key, entity.Row{Key: key, Version: t.version, Document: document})
}

// Get returns the row of key. An absent row has version 0.
func (t *TableService) Get(key string) entity.Row {
	row, _ := t.rows.Get(key)
	row.Key = key
	return row
}

// Scan returns the rows whose keys start with prefix, ordered by key.
func (t *TableService) Scan(prefix string) []entity.Row {
	var rows []entity.Row
	for _, key := range t.rows.Keys() {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, t.Get(key))
		}
	}
	slices.SortFunc(rows, func(a, b entity.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

// transact executes a VM's transaction. Its outcome is unknown to the VM, after
// requestTimeout, when the request or its response is lost.
func (t *TableService) transact(vm *VM, c outbox.Transact) {
	f := vm.fleet
	f.After(t.Latency/2, func() {
		if t.Outage || vm.TableUnreachable {
			vm.postAfter(requestTimeout, inbox.TransactDone{ID: c.ID, Outcome: inbox.TransactUnknown})
			return
		}
		done := t.apply(c)
		if f.Random.Float64() < t.ResponseLoss {
			vm.postAfter(requestTimeout, inbox.TransactDone{ID: c.ID, Outcome: inbox.TransactUnknown})
			return
		}
		vm.postAfter(t.Latency/2, done)
	})
}

// apply commits a transaction if no checked row has changed, and otherwise
// returns the changed rows.
func (t *TableService) apply(c outbox.Transact) inbox.TransactDone {
	var changed []entity.Row
	for _, k := range c.Checks {
		if row := t.Get(k.Key); row.Version != k.Version {
			changed = append(changed, row)
		}
	}
	if len(changed) > 0 {
		t.Conflicts++
		return inbox.TransactDone{ID: c.ID, Outcome: inbox.TransactConflicted, Current: changed}
	}
	t.version++
	t.Transactions++
	for _, p := range c.Puts {
		if _, deleted := p.Document.(entity.Tombstone); deleted {
			t.rows.Delete(p.Key)
			continue
		}
		t.rows.Put(p.Key, entity.Row{Key: p.Key, Version: t.version, Document: p.Document})
	}
	return inbox.TransactDone{ID: c.ID, Outcome: inbox.TransactCommitted, Version: t.version}
}

// read responds to a VM with rows by key and by prefix.
func (t *TableService) read(vm *VM, c outbox.Read) {
	vm.fleet.After(t.Latency/2, func() {
		if t.Outage || vm.TableUnreachable {
			vm.postAfter(requestTimeout, inbox.ReadDone{ID: c.ID})
			return
		}
		t.Reads++
		done := inbox.ReadDone{ID: c.ID, OK: true}
		for _, key := range c.Keys {
			done.Rows = append(done.Rows, t.Get(key))
		}
		for _, prefix := range c.Prefixes {
			done.Rows = append(done.Rows, t.Scan(prefix)...)
		}
		vm.postAfter(t.Latency/2, done)
	})
}

// Configure commits a change of the configuration, as an operator would.
func (t *TableService) Configure(item entity.Item) {
	head, _ := t.Get(entity.HeadKey).Document.(entity.ConfigHead)
	version := head.Version + 1
	t.Put(entity.ChangeKey(version), entity.Change{Version: version, Item: item})
	t.Put(entity.HeadKey, entity.ConfigHead{Version: version})
}

// AddAccount adds a client account with one budget, NAME/main, and one API key,
// whose hash is the account's name.
func (t *TableService) AddAccount(name, rank string, prepaid int64) {
	t.Configure(entity.Account{Name: name, Share: 1})
	t.Configure(entity.APIKey{Hash: name, Account: name, Budget: name + "/main", Rank: rank})
	t.Put(entity.BudgetKey(name+"/main"), entity.BudgetRow{Prepaid: prepaid})
}
