package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// settleTime is how long after a crash it counts against a part of a prompt. Crashed
// endpoints ran many sound requests, and VMs need some time to tell each other that
// others with the same parts have run since, the more the more VMs there are. Where the
// requests had come far, others need the time to come as far too, of which maxPassingTime
// is waited for.
const (
	settleTime      = 700 * time.Millisecond
	settleTimePerVM = time.Millisecond
	maxSettleTime   = 1200 * time.Millisecond
	maxPassingTime  = 1500 * time.Millisecond
)

// settleTime returns how long after a crash it counts against a part whose requests had
// come to the given progress.
func (t *Table) settleTime(caught Progress) time.Duration {
	settle := min(settleTime+time.Duration(t.vms)*settleTimePerVM, maxSettleTime)
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

// suspect is what is known of a feature.
type suspect struct {
	feature   Feature
	incidents map[Incarnation]*incident // crashes while requests with it ran
	ordered   []*incident               // the same by their times; nil after a change
	known     Sound                     // the sound runs that all VMs may know
	own       Sound                     // the sound runs at this VM
	sound     Sound                     // both
	trial     Trial
}

// suspectOf returns what is known of a feature.
func (t *Table) suspectOf(f Feature) *suspect {
	s := t.suspects[f]
	if s == nil {
		s = &suspect{feature: f, incidents: map[Incarnation]*incident{}, known: Sound{Feature: f}, own: Sound{Feature: f}}
		recent := t.recent.of(f)
		s.addOwn(Sound{Feature: f, VM: t.vm, StoreMs: recent[0].StoreMs, Passes: recent.list()})
		t.suspects[f] = s
	}
	return s
}

// unused reports whether nothing is known of the feature that matters.
func (s *suspect) unused() bool {
	return len(s.incidents) == 0 && s.known.StoreMs == 0 && s.trial.Version == 0
}

// accuse adds a crash to the evidence.
func (s *suspect) accuse(i *incident) {
	s.incidents[i.Incarnation] = i
	s.ordered = nil
}

// acquit removes a crash from the evidence.
func (s *suspect) acquit(i *incident) {
	delete(s.incidents, i.Incarnation)
	s.ordered = nil
}

// inOrder returns the crashes in the order of their times. Those without a time are the
// last.
func (s *suspect) inOrder() []*incident {
	if s.ordered == nil {
		s.ordered = slices.SortedFunc(maps.Values(s.incidents), compareTimes)
	}
	return s.ordered
}

// addOwn adds sound runs at this VM.
func (s *suspect) addOwn(sound Sound) {
	s.own = s.own.merge(sound)
	s.sound = s.sound.merge(sound)
}

// addKnown adds sound runs that all VMs may know.
func (s *suspect) addKnown(sound Sound) {
	s.known = s.known.merge(sound)
	s.sound = s.sound.merge(sound)
}

// forgetKnown forgets the sound runs that all VMs may know.
func (s *suspect) forgetKnown() {
	s.known = Sound{Feature: s.feature}
	s.sound = s.own
}

// crashes returns the crashes that speak against the feature by what this VM knows.
func (s *suspect) crashes() []*incident { return s.unrefuted(s.sound) }

// unrefuted returns the crashes that speak against the feature, in order, given the sound
// runs with it.
func (s *suspect) unrefuted(sound Sound) []*incident {
	all := s.inOrder()
	all = all[max(len(all)-maxJudgedCrashes, 0):]
	lost := s.lostRuns(all)
	var crashes []*incident
	followed, laterMs := 0, int64(0)
	for _, i := range slices.Backward(all) {
		if i.atMs > 0 && laterMs > i.atMs+burstWindow.Milliseconds() {
			followed++
		}
		if followed == 0 || laterMs > i.atMs+burstWindow.Milliseconds() {
			laterMs = i.atMs
		}
		if i.atMs == 0 || i.atMs > sound.LiftedMs && !s.refuted(i, followed, sound.Passes, lost) {
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

// compareTimes orders crashes by their times; those without come last.
func compareTimes(a, b *incident) int {
	if (a.atMs == 0) != (b.atMs == 0) {
		return cmp.Compare(b.atMs, a.atMs)
	}
	return cmp.Or(cmp.Compare(a.atMs, b.atMs), cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Born, b.Born))
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
func (s *suspect) refuted(i *incident, followed int, passes, lost []Pass) bool {
	if !s.feature.isPart() {
		return slices.ContainsFunc(passes, func(p Pass) bool { return p.Ended && p.StoreMs > i.atMs })
	}
	caught := i.caught[s.feature]
	refutations, complete := 0, 0
	for _, p := range passes {
		if p.refutes(i.atMs, caught) {
			refutations++
		}
		if p.endedSince(i.atMs, caught) {
			complete++
		}
	}
	for _, p := range lost {
		if p.refutes(i.atMs, caught) {
			refutations++
		}
	}
	needed := refutationsPerCrash*max(followed-unweighedCrashes, 0) + 1
	return refutations >= needed || complete >= bystanderRuns
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

// earliestMs returns the store's time of the first of some crashes; 0 if it is unknown.
func earliestMs(crashes []*incident) int64 {
	if len(crashes) == 0 {
		return 0
	}
	return crashes[0].atMs
}

// after returns those of some crashes that followed a time on the store's clock. A crash
// without a time did.
func after(crashes []*incident, ms int64) []*incident {
	return slices.DeleteFunc(slices.Clone(crashes), func(i *incident) bool { return i.atMs > 0 && i.atMs <= ms })
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

// lastMs returns the store's time of the last that happened to the feature.
func (s *suspect) lastMs() int64 {
	last := max(s.trial.StoreMs, s.known.StoreMs)
	for _, i := range s.incidents {
		last = max(last, i.atMs)
	}
	return last
}
