package query

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// Value is one cell of a relation: a text if IsText is set, otherwise a number.
type Value struct {
	Text   string
	Number int64
	IsText bool
}

// MarshalJSON implements json.Marshaler.
func (v Value) MarshalJSON() ([]byte, error) {
	if v.IsText {
		return json.Marshal(v.Text)
	}
	return json.Marshal(v.Number)
}

// String implements fmt.Stringer.
func (v Value) String() string {
	if v.IsText {
		return v.Text
	}
	return strconv.FormatInt(v.Number, 10)
}

func textValue(s string) Value  { return Value{Text: s, IsText: true} }
func numberValue(n int64) Value { return Value{Number: n} }
func boolValue(b bool) Value    { return textValue(strconv.FormatBool(b)) }

// compareValues compares two numbers by value, and anything else as text.
func compareValues(a, b Value) int {
	if a.IsText || b.IsText {
		return cmp.Compare(a.String(), b.String())
	}
	return cmp.Compare(a.Number, b.Number)
}

// Relation is a table of values. Each row has one value for each column.
type Relation struct {
	Columns []string
	Rows    [][]Value
}

// Print writes the relation as an aligned table.
func (r Relation) Print(out io.Writer) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, strings.Join(r.Columns, "\t"))
	for _, row := range r.Rows {
		cells := make([]string, len(row))
		for i, v := range row {
			cells[i] = v.String()
		}
		fmt.Fprintln(t, strings.Join(cells, "\t"))
	}
	t.Flush()
}

// Select returns the rows that meet a query's conditions, in its order and up to
// its limit. For an unknown column it returns a *SyntaxError.
func (r Relation) Select(q *Query) (Relation, error) {
	selected := Relation{Columns: r.Columns, Rows: slices.Clone(r.Rows)}
	for _, c := range q.Conditions {
		if err := selected.filter(c); err != nil {
			return Relation{}, err
		}
	}
	if q.Order != "" {
		if err := selected.sort(q.Order, q.Descending); err != nil {
			return Relation{}, err
		}
	}
	if q.Limit > 0 && len(selected.Rows) > q.Limit {
		selected.Rows = selected.Rows[:q.Limit]
	}
	return selected, nil
}

// columnIndex returns the index of a column. For an unknown column it returns a
// *SyntaxError at the given position in the query.
func (r *Relation) columnIndex(name string, position int) (int, error) {
	i := slices.Index(r.Columns, name)
	if i < 0 {
		return 0, &SyntaxError{Column: position, Problem: "no column " + name + "; there are " + strings.Join(r.Columns, ", ")}
	}
	return i, nil
}

// filter removes the rows that do not meet a condition.
func (r *Relation) filter(c Condition) error {
	i, err := r.columnIndex(c.Column, c.Pos.Column)
	if err != nil {
		return err
	}
	r.Rows = slices.DeleteFunc(r.Rows, func(row []Value) bool { return !c.matches(row[i]) })
	return nil
}

// sort sorts the rows by a column and keeps the order of rows with equal values.
func (r *Relation) sort(name string, descending bool) error {
	i, err := r.columnIndex(name, 1)
	if err != nil {
		return err
	}
	slices.SortStableFunc(r.Rows, func(a, b []Value) int {
		if descending {
			a, b = b, a
		}
		return compareValues(a[i], b[i])
	})
	return nil
}

// matches reports whether a value meets the condition. It compares numerically if
// both the value and the condition's value are numbers. The operator ~ looks for
// the condition's value in the value's text.
func (c Condition) matches(v Value) bool {
	if c.Operator == "~" {
		return strings.Contains(v.String(), c.Value)
	}
	operand := textValue(c.Value)
	if n, err := strconv.ParseInt(c.Value, 10, 64); err == nil && !v.IsText {
		operand = numberValue(n)
	}
	order := compareValues(v, operand)
	switch c.Operator {
	case "=":
		return order == 0
	case "!=":
		return order != 0
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	}
	return order >= 0
}
