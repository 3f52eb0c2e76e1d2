package entity

// Table maps keys to rows in memory. Unlike a map it iterates in an order that
// depends only on the preceding calls, which keeps the core deterministic. The
// zero value is an empty table.
type Table[K comparable, V any] struct {
	index map[K]int
	keys  []K
	rows  []V
}

// Get returns the row of key and reports whether it exists.
func (t *Table[K, V]) Get(key K) (V, bool) {
	i, ok := t.index[key]
	if !ok {
		var zero V
		return zero, false
	}
	return t.rows[i], true
}

// Put sets the row of key.
func (t *Table[K, V]) Put(key K, row V) {
	if t.index == nil {
		t.index = make(map[K]int)
	}
	if i, ok := t.index[key]; ok {
		t.rows[i] = row
		return
	}
	t.index[key] = len(t.keys)
	t.keys = append(t.keys, key)
	t.rows = append(t.rows, row)
}

// Delete removes the row of key, if any, and moves the last row to its position.
func (t *Table[K, V]) Delete(key K) {
	i, ok := t.index[key]
	if !ok {
		return
	}
	last := len(t.keys) - 1
	t.keys[i], t.rows[i] = t.keys[last], t.rows[last]
	t.index[t.keys[i]] = i
	var zeroKey K
	var zeroRow V
	t.keys[last], t.rows[last] = zeroKey, zeroRow
	t.keys, t.rows = t.keys[:last], t.rows[:last]
	delete(t.index, key)
}

// Len returns the number of rows.
func (t *Table[K, V]) Len() int { return len(t.keys) }

// Keys returns a copy of the keys, so that the caller can change the table
// during an iteration.
func (t *Table[K, V]) Keys() []K { return append([]K(nil), t.keys...) }

// Rows returns a copy of the rows in the order of Keys.
func (t *Table[K, V]) Rows() []V { return append([]V(nil), t.rows...) }
