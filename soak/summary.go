package soak

import "fmt"

// Summary returns one line with the seed, the result and the counts of a run.
func Summary(seed uint64, h *History, found []Violation) string {
	requestsByStatus := map[int]int{}
	for _, q := range h.Requests {
		requestsByStatus[q.Status]++
	}
	result := "held"
	if len(found) > 0 {
		result = fmt.Sprintf("%d BROKEN", len(found))
	}
	return fmt.Sprintf("seed %d: %s; %d requests, %d runs, %d changes, %d stops, by status %v", seed, result, len(h.Requests), len(h.Runs), len(h.ConfigChanges), len(h.Shutdowns), requestsByStatus)
}
