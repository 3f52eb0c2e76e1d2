package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Verdict is a change of what a VM believes of a feature.
type Verdict struct {
	Feature     Feature
	Quarantined bool
	Crashes     []Incarnation // that speak against it, at most maxVerdictCrashes; none once it is cleared
	Caught      Progress      // of the request with it that had come furthest in these
	Refuted     int           // number of its crashes that sound runs refute
	SoundRuns   int           // complete runs since the first of Crashes, which refute none of them
	Sound       Sound         // the run that cleared it; zero if a crash was explained otherwise or forgotten
}

// maxVerdictCrashes bounds the crashes that a verdict names.
const maxVerdictCrashes = 5

// candidate is a feature that may be quarantined.
type candidate struct {
	suspect   *suspect
	crashes   []*incident // that speak against it and no other feature explains
	soundRuns int         // complete runs since the first of them
}

// judge decides which features are quarantined, if there is new evidence. All VMs with
// the same evidence decide the same.
//
// A crash has one cause. The feature with the most crashes and the fewest sound runs
// explains those, so that they do not speak against others: sound requests that ran
// beside it.
func (t *Table) judge(now time.Time) {
	nowMs := t.clock.at(now)
	if !t.unjudged && (t.nextEvidenceMs == 0 || nowMs < t.nextEvidenceMs) {
		return
	}
	t.unjudged = false
	candidates := t.candidates(nowMs)
	quarantined := map[Feature][]*incident{}
	t.sameCrashes = map[Feature][]Feature{}
	for len(candidates) > 0 {
		slices.SortFunc(candidates, compareCandidates)
		first := candidates[0]
		var group []Feature
		for _, c := range candidates {
			if c.indistinguishable(first) {
				quarantined[c.suspect.feature] = c.crashes
				group = append(group, c.suspect.feature)
			}
		}
		for _, f := range group {
			t.sameCrashes[f] = group
		}
		candidates = unexplained(candidates, quarantined, first.crashes)
	}
	t.setVerdicts(quarantined)
}

// candidates returns the features against which there are enough crashes.
func (t *Table) candidates(nowMs int64) []*candidate {
	t.nextEvidenceMs = 0
	moments := t.crashMoments()
	var list []*candidate
	for _, s := range t.suspects {
		if len(s.incidents) < crashLimit {
			continue
		}
		crashes, nextMs := t.evidence(s, nowMs)
		if nextMs > 0 && (t.nextEvidenceMs == 0 || nextMs < t.nextEvidenceMs) {
			t.nextEvidenceMs = nextMs
		}
		crashes = moments.withoutBursts(crashes)
		if s.enough(crashes) {
			list = append(list, &candidate{s, crashes, s.completeRuns(crashes[0])})
		}
	}
	return list
}

// compareCandidates orders by how much speaks against them, then whole requests before
// parts: if only one request has crashed endpoints, its parts may be sound.
func compareCandidates(a, b *candidate) int {
	if c := cmp.Compare(b.weight(), a.weight()); c != 0 {
		return c
	}
	if a.suspect.feature.isPart() != b.suspect.feature.isPart() {
		if b.suspect.feature.isPart() {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.soundRuns, b.soundRuns), cmp.Compare(a.suspect.feature, b.suspect.feature))
}

// bystanderProgress is how far a request has come that counts half as much against its
// features as one that had not begun: the cause crashes endpoints at some moment, mostly
// an early one, while others are caught anywhere in their streams.
const bystanderProgress = 2 * time.Second

// weight returns the surplus of crashes over sound runs. Crashes count less the further
// the feature's requests had come.
func (c *candidate) weight() float64 {
	weight := -float64(c.soundRuns)
	for _, i := range c.crashes {
		reached := time.Duration(i.caught[c.suspect.feature].Ms) * time.Millisecond
		weight += 1 / (1 + reached.Seconds()/bystanderProgress.Seconds())
	}
	return weight
}

// indistinguishable reports whether a candidate is the other one, or a part with the
// same crashes and as much that speaks against it as another part.
func (c *candidate) indistinguishable(from *candidate) bool {
	if c == from {
		return true
	}
	if !c.suspect.feature.isPart() || !from.suspect.feature.isPart() || len(c.crashes) != len(from.crashes) || c.weight() != from.weight() {
		return false
	}
	for _, i := range c.crashes {
		if !slices.Contains(from.crashes, i) {
			return false
		}
	}
	return true
}

// unexplained returns the candidates that remain after some are quarantined, which
// explains crashes.
func unexplained(candidates []*candidate, quarantined map[Feature][]*incident, explained []*incident) []*candidate {
	var rest []*candidate
	for _, c := range candidates {
		if _, done := quarantined[c.suspect.feature]; done {
			continue
		}
		c.crashes = slices.DeleteFunc(c.crashes, func(i *incident) bool { return slices.Contains(explained, i) })
		if c.suspect.enough(c.crashes) {
			rest = append(rest, c)
		}
	}
	return rest
}

// setVerdicts puts a decision in force and records what it changes.
func (t *Table) setVerdicts(quarantined map[Feature][]*incident) {
	for f := range t.quarantined {
		if _, still := quarantined[f]; still {
			continue
		}
		delete(t.quarantined, f)
		verdict := Verdict{Feature: f}
		if s := t.suspects[f]; s != nil {
			verdict.Sound = s.lastSound()
		}
		t.verdicts = append(t.verdicts, verdict)
	}
	for f, crashes := range quarantined {
		if t.quarantined[f] == nil {
			t.verdicts = append(t.verdicts, t.suspects[f].verdict(crashes))
		}
		t.quarantined[f] = t.suspects[f]
	}
}

// verdict returns the quarantine of a feature because of the given crashes.
func (s *suspect) verdict(crashes []*incident) Verdict {
	return Verdict{
		Feature: s.feature, Quarantined: true, Crashes: incarnations(crashes), Caught: s.caughtIn(crashes),
		Refuted: len(s.incidents) - len(s.crashes()), SoundRuns: s.completeRuns(crashes[0]),
	}
}

// caughtIn returns the furthest progress of requests with the feature in crashes.
func (s *suspect) caughtIn(crashes []*incident) Progress {
	var p Progress
	for _, i := range crashes {
		p = p.furthest(i.caught[s.feature])
	}
	return p
}

// lastSound returns the last sound run that this VM knows, if it leaves no quarantine.
func (s *suspect) lastSound() Sound {
	if s.enough(s.crashes()) {
		return Sound{}
	}
	return s.sound
}

// incarnations returns some of the incarnations that crashed, in order.
func incarnations(crashes []*incident) []Incarnation {
	sorted := slices.SortedFunc(slices.Values(crashes), compareTimes)
	var list []Incarnation
	for _, i := range sorted[:min(len(sorted), maxVerdictCrashes)] {
		list = append(list, i.Incarnation)
	}
	return list
}

// TakeVerdicts returns how the verdicts have changed since the last call.
func (t *Table) TakeVerdicts(now time.Time) []Verdict {
	t.judge(now)
	verdicts := t.verdicts
	t.verdicts = nil
	return verdicts
}
