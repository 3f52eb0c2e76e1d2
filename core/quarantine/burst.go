package quarantine

import (
	"slices"
	"time"
)

// burstWindow is the time within which crashes of several endpoints are one burst, for
// which there is one cause.
const burstWindow = 50 * time.Millisecond

// crashMoments holds the times of all crashes on the store's clock, in order.
type crashMoments []int64

func (t *Table) crashMoments() crashMoments {
	moments := make(crashMoments, 0, len(t.incidents))
	for _, i := range t.incidents {
		if i.atMs > 0 {
			moments = append(moments, i.atMs)
		}
	}
	slices.Sort(moments)
	return moments
}

// within returns the number of crashes within burstWindow of a time.
func (m crashMoments) within(ms int64) int {
	from, _ := slices.BinarySearch(m, ms-burstWindow.Milliseconds())
	to, _ := slices.BinarySearch(m, ms+burstWindow.Milliseconds()+1)
	return to - from
}

// withoutBursts returns a feature's crashes with one of each burst in which most crashes
// are without the feature: what has ended those endpoints has ended the others too.
// crashes are in order.
func (m crashMoments) withoutBursts(crashes []*incident) []*incident {
	own := make(crashMoments, 0, len(crashes))
	for _, i := range crashes {
		own = append(own, i.atMs)
	}
	var kept []*incident
	lastMs := int64(0)
	for _, i := range crashes {
		if i.atMs > 0 && i.atMs-lastMs <= burstWindow.Milliseconds() && 2*own.within(i.atMs) < m.within(i.atMs) {
			continue
		}
		lastMs = i.atMs
		kept = append(kept, i)
	}
	return kept
}
