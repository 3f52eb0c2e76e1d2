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

// Value is one cell: a number, or else a text.
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

func text(s string) Value  { return Value{Text: s, IsText: true} }
func number(n int64) Value { return Value{Number: n} }
func boolean(b bool) Value { return text(strconv.FormatBool(b)) }
func compare(a, b Value) int {
	if a.IsText || b.IsText {
		return cmp.Compare(a.String(), b.String())
	}
	return cmp.Compare(a.Number, b.Number)
}

// Relation is a table of values.
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

// Select applies a query's conditions, order and limit. A column that does
// not exist gives a *SyntaxError.
func (r Relation) Select(q *Query) (Relation, error) {
	found := Relation{Columns: r.Columns, Rows: slices.Clone(r.Rows)}
	for _, c := range q.Conditions {
		if err := found.filter(c); err != nil {
			return Relation{}, err
		}
	}
	if q.Order != "" {
		if err := found.sort(q.Order, q.Descending); err != nil {
			return Relation{}, err
		}
	}
	if q.Limit > 0 && len(found.Rows) > q.Limit {
		found.Rows = found.Rows[:q.Limit]
	}
	return found, nil
}

func (r *Relation) column(name string, at int) (int, error) {
	i := slices.Index(r.Columns, name)
	if i < 0 {
		return 0, &SyntaxError{Column: at, Problem: "no column " + name + "; there are " + strings.Join(r.Columns, ", ")}
	}
	return i, nil
}

func (r *Relation) filter(c Condition) error {
	i, err := r.column(c.Column, c.Pos.Column)
	if err != nil {
		return err
	}
	r.Rows = slices.DeleteFunc(r.Rows, func(row []Value) bool { return !c.holds(row[i]) })
	return nil
}

func (r *Relation) sort(name string, descending bool) error {
	i, err := r.column(name, 1)
	if err != nil {
		return err
	}
	slices.SortStableFunc(r.Rows, func(a, b []Value) int {
		if descending {
			a, b = b, a
		}
		return compare(a[i], b[i])
	})
	return nil
}

func (c Condition) holds(v Value) bool {
	if c.Operator == "~" {
		return strings.Contains(v.String(), c.Value)
	}
	wanted := text(c.Value)
	if n, err := strconv.ParseInt(c.Value, 10, 64); err == nil && !v.IsText {
		wanted = number(n)
	}
	order := compare(v, wanted)
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
