// Package platform stands in for the platform's table service, object store
// and list of VMs in tests and demonstrations.
package platform

import (
	"slices"
	"strings"
	"sync"

	protocol "hawthornspar/io/platform"
)

// Table is a transactional table in memory.
type Table struct {
	mu      sync.Mutex
	rows    map[string]protocol.Row
	version int64
	counts  Counts
}

// Counts tells what the table service did.
type Counts struct {
	Transactions int64 `json:"transactions"`
	Conflicts    int64 `json:"conflicts"`
	RowsWritten  int64 `json:"rowsWritten"`
	Reads        int64 `json:"reads"`
	RowsRead     int64 `json:"rowsRead"`
	Bytes        int64 `json:"bytes"`
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[string]protocol.Row{}} }

// Transact applies a transaction. When checks fail it returns version 0 and
// the rows that differ.
func (t *Table) Transact(tx protocol.Transaction) (int64, []protocol.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var differ []protocol.Row
	for _, c := range tx.Checks {
		if t.rows[c.Key].Version != c.Version {
			differ = append(differ, t.row(c.Key))
		}
	}
	if len(differ) > 0 {
		t.counts.Conflicts++
		return 0, differ
	}
	t.version++
	t.counts.Transactions++
	for _, p := range tx.Puts {
		t.put(p)
	}
	return t.version, nil
}

func (t *Table) row(key string) protocol.Row {
	row := t.rows[key]
	row.Key = key
	return row
}

func (t *Table) put(p protocol.Put) {
	t.counts.RowsWritten++
	t.counts.Bytes += int64(len(p.Value))
	if p.Value == nil {
		delete(t.rows, p.Key)
		return
	}
	t.rows[p.Key] = protocol.Row{Key: p.Key, Version: t.version, Value: p.Value}
}

// Read returns the named rows in order, then those of the prefixes by key.
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

// Counts returns what the table did so far.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}
