package soak

import "fmt"

// Summary returns a line on a run.
func Summary(seed uint64, h *History, found []Violation) string {
	statuses := map[int]int{}
	for _, a := range h.Attempts {
		statuses[a.Status]++
	}
	verdict := "held"
	if len(found) > 0 {
		verdict = fmt.Sprintf("%d BROKEN", len(found))
	}
	return fmt.Sprintf("seed %d: %s; %d requests, %d runs, %d changes, %d stops, by status %v", seed, verdict, len(h.Attempts), len(h.Runs), len(h.Changes), len(h.Stops), statuses)
}
