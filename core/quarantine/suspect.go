package quarantine

import (
	"maps"
	"slices"
)

// suspect is what is known of a feature.
type suspect struct {
	feature   Feature
	incidents map[Incarnation]*incident // crashes while requests with it ran
	ordered   []*incident               // the last of them by their times; nil after a change
	lost      []Pass                    // how far the runs had come that ended in these
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
	return len(s.incidents) == 0 && s.known.StoreMs == 0 && s.trial.Version.IsZero()
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

// inOrder returns the last crashes in the order of their times. Those without a time are
// the last.
func (s *suspect) inOrder() []*incident {
	if s.ordered != nil {
		return s.ordered
	}
	s.ordered = slices.SortedFunc(maps.Values(s.incidents), compareTimes)
	s.ordered = s.ordered[max(len(s.ordered)-maxJudgedCrashes, 0):]
	s.lost = s.lostRuns(s.ordered)
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

// lastMs returns the store's time of the last that happened to the feature.
func (s *suspect) lastMs() int64 {
	last := max(s.trial.StoreMs, s.known.StoreMs)
	for _, i := range s.incidents {
		last = max(last, i.atMs)
	}
	return last
}
