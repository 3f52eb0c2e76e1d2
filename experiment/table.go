package experiment

import (
	"slices"
	"strings"
	"time"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
)

// Table is a fake of the transactional table service.
type Table struct {
	rows         entity.Table[string, entity.Row]
	version      int64
	Delay        time.Duration
	Outage       bool
	LoseAnswers  float64 // share of answers that are lost after the effect
	Transactions int64
	Reads        int64
	Conflicts    int64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{Delay: 2 * time.Millisecond} }

// Put stores a row, for setting up.
func (t *Table) Put(key string, document entity.Document) {
	t.version++
	t.rows.Put(key, entity.Row{Key: key, Version: t.version, Document: document})
}

// Get returns a row, which has version 0 when absent.
func (t *Table) Get(key string) entity.Row {
	row, _ := t.rows.Get(key)
	row.Key = key
	return row
}

// Scan returns the rows whose keys start with prefix, by key.
func (t *Table) Scan(prefix string) []entity.Row {
	var found []entity.Row
	for _, key := range t.rows.Keys() {
		if strings.HasPrefix(key, prefix) {
			found = append(found, t.Get(key))
		}
	}
	slices.SortFunc(found, func(a, b entity.Row) int { return strings.Compare(a.Key, b.Key) })
	return found
}

func (t *Table) transact(n *Node, c outbox.Transact) {
	f := n.fleet
	f.After(t.Delay/2, func() {
		if t.Outage || n.TableCut {
			n.later(callTimeout, inbox.TransactDone{ID: c.ID, Outcome: inbox.TransactUnknown})
			return
		}
		done := t.apply(c)
		if f.Random.Float64() < t.LoseAnswers {
			n.later(callTimeout, inbox.TransactDone{ID: c.ID, Outcome: inbox.TransactUnknown})
			return
		}
		n.later(t.Delay/2, done)
	})
}

func (t *Table) apply(c outbox.Transact) inbox.TransactDone {
	var differ []entity.Row
	for _, k := range c.Checks {
		if row := t.Get(k.Key); row.Version != k.Version {
			differ = append(differ, row)
		}
	}
	if len(differ) > 0 {
		t.Conflicts++
		return inbox.TransactDone{ID: c.ID, Outcome: inbox.TransactConflicted, Current: differ}
	}
	t.version++
	t.Transactions++
	for _, p := range c.Puts {
		if _, absent := p.Document.(entity.Tombstone); absent {
			t.rows.Delete(p.Key)
			continue
		}
		t.rows.Put(p.Key, entity.Row{Key: p.Key, Version: t.version, Document: p.Document})
	}
	return inbox.TransactDone{ID: c.ID, Outcome: inbox.TransactCommitted, Version: t.version}
}

func (t *Table) read(n *Node, c outbox.Read) {
	n.fleet.After(t.Delay/2, func() {
		if t.Outage || n.TableCut {
			n.later(callTimeout, inbox.ReadDone{ID: c.ID})
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
		n.later(t.Delay/2, done)
	})
}

// Change puts a configuration item in force, for setting up.
func (t *Table) Change(item entity.Item) {
	head, _ := t.Get(entity.HeadKey).Document.(entity.ConfigHead)
	version := head.Version + 1
	t.Put(entity.ChangeKey(version), entity.Change{Version: version, Item: item})
	t.Put(entity.HeadKey, entity.ConfigHead{Version: version})
}

// Account sets up a client account whose key's hash is its name.
func (t *Table) Account(name, rank string, prepaid int64) {
	t.Change(entity.Account{Name: name, Share: 1})
	t.Change(entity.APIKey{Hash: name, Account: name, Budget: name + "/main", Rank: rank})
	t.Put(entity.BudgetKey(name+"/main"), entity.BudgetRow{Prepaid: prepaid})
}
