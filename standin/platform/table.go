// Package platform is a test double of the platform's table service, object
// store and list of VMs. It keeps all data in memory.
package platform

import (
	"slices"
	"strings"
	"sync"

	protocol "hawthornspar/io/platform"
)

// Table is an in-memory table with optimistic concurrency control: transactions
// check the versions of rows.
type Table struct {
	mu      sync.Mutex
	rows    map[string]protocol.Row
	version int64 // of the last transaction
	counts  Counts
}

// Counts are the totals since the table was created.
type Counts struct {
	Transactions int64 `json:"transactions"` // that took effect
	Conflicts    int64 `json:"conflicts"`    // transactions with a failed check
	RowsWritten  int64 `json:"rowsWritten"`  // including deletions
	Reads        int64 `json:"reads"`        // read requests
	RowsRead     int64 `json:"rowsRead"`     // including absent rows that were named
	Bytes        int64 `json:"bytes"`        // of written values
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[string]protocol.Row{}} }

// Transact applies a transaction and returns its version. When checks fail, it
// changes nothing and returns version 0 and the current rows of those checks.
func (t *Table) Transact(tx protocol.Transaction) (int64, []protocol.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var conflicting []protocol.Row
	for _, c := range tx.Checks {
		if t.rows[c.Key].Version != c.Version {
			conflicting = append(conflicting, t.row(c.Key))
		}
	}
	if len(conflicting) > 0 {
		t.counts.Conflicts++
		return 0, conflicting
	}
	t.version++
	t.counts.Transactions++
	for _, p := range tx.Puts {
		t.put(p)
	}
	return t.version, nil
}

// row returns the row of a key, with version 0 if it is absent.
func (t *Table) row(key string) protocol.Row {
	row := t.rows[key]
	row.Key = key
	return row
}

// put writes a row with the version of the current transaction, or deletes it if
// the value is nil.
func (t *Table) put(p protocol.Put) {
	t.counts.RowsWritten++
	t.counts.Bytes += int64(len(p.Value))
	if p.Value == nil {
		delete(t.rows, p.Key)
		return
	}
	t.rows[p.Key] = protocol.Row{Key: p.Key, Version: t.version, Value: p.Value}
}

// Read returns the named rows in the order of the request, then for each prefix
// its rows in key order.
func (t *Table) Read(request protocol.ReadRequest) []protocol.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Reads++
	rows := []protocol.Row{}
	for _, key := range request.Keys {
		rows = append(rows, t.row(key))
	}
	for _, prefix := range request.Prefixes {
		rows = append(rows, t.scan(prefix)...)
	}
	t.counts.RowsRead += int64(len(rows))
	return rows
}

// scan returns the rows whose keys have the prefix, in key order.
func (t *Table) scan(prefix string) []protocol.Row {
	var found []protocol.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			found = append(found, row)
		}
	}
	slices.SortFunc(found, func(a, b protocol.Row) int { return strings.Compare(a.Key, b.Key) })
	return found
}

// Counts returns the totals since the table was created.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}
