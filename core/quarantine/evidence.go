package quarantine

import (
	"slices"
	"time"
)

// baseSettleTime is how long after a crash it counts against a part of a prompt. Crashed
// endpoints ran many sound requests, and VMs need some time to tell each other that
// others with the same parts have run since, the more the more VMs there are. Where the
// requests had come far, others need the time to come as far too, of which maxPassingTime
// is waited for.
const (
	baseSettleTime  = 700 * time.Millisecond
	settleTimePerVM = time.Millisecond
	maxSettleTime   = 1200 * time.Millisecond
	maxPassingTime  = 1500 * time.Millisecond
)

// settleTime returns how long after a crash it counts against a part whose requests had
// come to the given progress.
func (t *Table) settleTime(caught Progress) time.Duration {
	settle := min(baseSettleTime+time.Duration(t.vms)*settleTimePerVM, maxSettleTime)
	return settle + min(time.Duration(caught.Ms)*time.Millisecond, maxPassingTime)
}

const (
	// refutationsPerCrash is the number of runs that it takes to refute a crash for each
	// since, beyond unweighedCrashes: a part that crashes endpoints only sometimes has
	// lucky runs.
	refutationsPerCrash = 2
	unweighedCrashes    = crashLimit
	// bystanderRuns is the number of complete runs since a crash that refute it, however
	// far they came: requests with a common part are caught at any progress, so that few
	// runs come further.
	bystanderRuns = 6
	// maxJudgedCrashes bounds the crashes by which a feature is judged, the last ones.
	maxJudgedCrashes = 64
)

// unrefuted returns the crashes that speak against the feature, in order, given the sound
// runs with it.
func (s *suspect) unrefuted(sound Sound) []*incident {
	var crashes []*incident
	followed, laterMs := 0, int64(0)
	for _, i := range slices.Backward(s.inOrder()) {
		sameBurst := laterMs-i.atMs <= burstWindow.Milliseconds()
		if i.atMs > 0 && !sameBurst {
			followed++
		}
		if followed == 0 || !sameBurst {
			laterMs = i.atMs
		}
		if i.atMs == 0 || i.atMs > sound.LiftedMs && !s.refuted(i, followed, sound.Passes) {
			crashes = append(crashes, i)
		}
	}
	slices.Reverse(crashes)
	return crashes
}

// enough reports whether crashes quarantine the feature.
func (s *suspect) enough(crashes []*incident) bool {
	if !s.feature.isPart() || len(crashes) >= begunCrashLimit {
		return len(crashes) >= crashLimit
	}
	notBegun := 0
	for _, i := range crashes {
		if i.caught[s.feature] == (Progress{}) {
			notBegun++
		}
	}
	return notBegun >= crashLimit
}

// lostRuns returns how far the runs had come that ended in crashes.
func (s *suspect) lostRuns(crashes []*incident) []Pass {
	var runs []Pass
	for _, i := range crashes {
		if reached := i.caught[s.feature]; reached != (Progress{}) {
			runs = append(runs, Pass{StoreMs: i.atMs, Progress: reached})
		}
	}
	return runs
}

// refuted reports whether sound runs show that the feature did not cause a crash, which a
// number of others followed. A whole request did not if it has run to its end since. Runs
// that were lost in a later crash count as far as they had come.
func (s *suspect) refuted(i *incident, followed int, passes []Pass) bool {
	if !s.feature.isPart() {
		return slices.ContainsFunc(passes, func(p Pass) bool { return p.Ended && p.StoreMs > i.atMs })
	}
	caught := i.caught[s.feature]
	refutations, complete := 0, 0
	needed := refutationsPerCrash*max(followed-unweighedCrashes, 0) + 1
	for _, p := range passes {
		if p.refutes(i.atMs, caught) {
			refutations++
		}
		if p.endedSince(i.atMs, caught) {
			complete++
		}
		if refutations >= needed || complete >= bystanderRuns {
			return true
		}
	}
	for _, p := range s.lost {
		if p.refutes(i.atMs, caught) {
			refutations++
		}
	}
	return refutations >= needed
}

// completeRuns returns the number of runs to their end since a crash.
func (s *suspect) completeRuns(i *incident) int {
	n := 0
	for _, p := range s.sound.Passes {
		if p.endedSince(i.atMs, i.caught[s.feature]) {
			n++
		}
	}
	return n
}

// endedAfter reports whether a run has ended after a time on the store's clock.
func (s *suspect) endedAfter(ms int64) bool {
	return slices.ContainsFunc(s.sound.Passes, func(p Pass) bool { return p.Ended && p.StoreMs > ms })
}

// evidence returns the crashes that speak against the feature at a time on the store's
// clock, and the next time at which there may be more; 0 for none. nowMs is 0 if the
// clock is unknown.
func (t *Table) evidence(s *suspect, nowMs int64) (crashes []*incident, nextMs int64) {
	crashes = s.crashes()
	if !s.feature.isPart() {
		return crashes, 0
	}
	settled := crashes[:0]
	for _, i := range crashes {
		settlesAt := i.atMs + t.settleTime(i.caught[s.feature]).Milliseconds()
		switch {
		case i.atMs > 0 && (nowMs == 0 || settlesAt <= nowMs):
			settled = append(settled, i)
		case nextMs == 0 || settlesAt < nextMs:
			nextMs = settlesAt
		}
	}
	return settled, nextMs
}
