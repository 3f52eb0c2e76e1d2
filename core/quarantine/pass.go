package quarantine

import (
	"cmp"
	"slices"
)

// Bounds of the passes that are remembered of a feature.
const (
	maxEndedPasses   = 8 // of runs to their end
	maxRunningPasses = 2 // of runs that still went on
)

// mergePasses returns the most telling of both lists in a list of its own, each once: of runs to
// their end the last ones, and of others those that began last.
func mergePasses(a, b []Pass) []Pass {
	if !slices.ContainsFunc(b, func(p Pass) bool { return !slices.Contains(a, p) }) {
		return a
	}
	merged := make([]Pass, 0, maxEndedPasses+maxRunningPasses)
	for _, list := range [][]Pass{a, b} {
		for _, p := range list {
			merged = insertPass(merged, p)
		}
	}
	return merged
}

// insertPass inserts a pass into a list, which is in order, and drops the first of its
// kind if there are too many.
func insertPass(list []Pass, p Pass) []Pass {
	limit := maxRunningPasses
	if p.Ended {
		limit = maxEndedPasses
	}
	at, first, same := 0, -1, 0
	for i, q := range list {
		if q == p {
			return list
		}
		if q.Ended == p.Ended {
			if first < 0 {
				first = i
			}
			same++
		}
		if comparePasses(q, p) < 0 {
			at = i + 1
		}
	}
	if same < limit {
		list = append(list, Pass{})
		copy(list[at+1:], list[at:])
		list[at] = p
		return list
	}
	if at <= first {
		return list
	}
	copy(list[first:], list[first+1:at])
	list[at-1] = p
	return list
}

// comparePasses orders runs that still went on by their beginning, then by how far they
// came, and before runs to their end, which it orders by their end.
func comparePasses(a, b Pass) int {
	switch {
	case a.Ended != b.Ended:
		if b.Ended {
			return -1
		}
		return 1
	case a.Ended:
		return cmp.Compare(a.StoreMs, b.StoreMs)
	}
	return cmp.Or(cmp.Compare(a.begunMs(), b.begunMs()), cmp.Compare(a.Ms, b.Ms))
}

// begunMs returns the store's time at which the response began.
func (p Pass) begunMs() int64 { return p.StoreMs - p.Ms }
