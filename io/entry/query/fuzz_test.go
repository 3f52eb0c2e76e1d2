package query

import "testing"

// FuzzParse parses queries of any content.
func FuzzParse(f *testing.F) {
	for _, text := range []string{"budgets where left < 1000 order by left", "endpoints where leaving = true", "requests", "where", "a where b = 'c"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		q, err := Parse(text)
		if (q == nil) == (err == nil) {
			t.Errorf("%q gives a query and an error, or neither", text)
		}
		_, _ = ParseCommand(text) // errors are allowed, panics are not
	})
}
