package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Sound is what VMs share of the sound runs with a feature.
type Sound struct {
	Feature Feature
	VM      string // name of the VM that had the last one, or OperatorName
	Request string // id of its request; empty if unknown
	StoreMs int64  // time of it on the store's clock
	Passes  []Pass // see mergePasses
	// LiftedMs is the store's time at which an operator last lifted the quarantine; 0 for
	// never.
	LiftedMs int64
}

// Lift returns the sound run that stands for an operator's lifting of a quarantine.
func Lift(f Feature, storeMs int64) Sound {
	return Sound{Feature: f, VM: OperatorName, StoreMs: storeMs, LiftedMs: storeMs}
}

// OperatorName stands for a VM's name where an operator lifts a quarantine.
const OperatorName = "operator"

// Key returns the key of the sound runs with a feature.
func (s Sound) Key() Key { return Key{Kind: SoundKey, Feature: s.Feature} }

// merge returns the passes of both, and the last sound run of them.
func (s Sound) merge(other Sound) Sound {
	merged := s
	if other.StoreMs > s.StoreMs {
		merged = other
	}
	merged.LiftedMs = max(s.LiftedMs, other.LiftedMs)
	merged.Passes = mergePasses(s.Passes, other.Passes)
	return merged
}

// RecordSound records that an endpoint has survived a run at this VM so far. A whole
// request is sound only when it has run to its end. It reports whether other VMs are to
// be told.
func (t *Table) RecordSound(r Run, now time.Time) bool {
	nowMs := t.clock.at(now)
	if nowMs == 0 {
		return false
	}
	pass := Pass{StoreMs: nowMs, Progress: r.Reached, Ended: r.Ended}
	testified := false
	for _, f := range r.Features {
		if !f.isPart() && !r.Ended {
			continue
		}
		if f.isPart() {
			t.recent.put(f, pass)
		}
		s := t.suspects[f]
		if s == nil {
			continue
		}
		if len(s.incidents) >= crashLimit && s.enough(s.crashes()) {
			t.unjudged = true
		}
		s.addOwn(Sound{Feature: f, VM: t.vm, Request: r.Request, StoreMs: nowMs, Passes: []Pass{pass}})
		testified = t.testify(s, now) || testified
	}
	return testified
}

// Times that bound how VMs testify. The more VMs there are, the more have run a request
// with a common part, while few of them are enough.
const (
	testimonyDelayPerVM = 2 * time.Millisecond
	maxTestimonyDelay   = baseSettleTime / 2
)

// testify tells the other VMs of this VM's sound runs, if these are evidence for a
// feature that they might quarantine. It reports whether it does.
func (t *Table) testify(s *suspect, now time.Time) bool {
	if !s.testimonyNeeded() {
		return false
	}
	sound := s.sound
	t.queueAt(Write{Sound: &sound}, now.Add(t.testimonyDelay(s.feature)))
	return true
}

// testimonyNeeded reports whether this VM has evidence for a feature against which there
// are enough crashes by what all VMs know, or soon may be.
func (s *suspect) testimonyNeeded() bool {
	if len(s.incidents) < crashLimit {
		return false
	}
	if s.sound.LiftedMs > s.known.LiftedMs {
		return true
	}
	crashes := s.unrefuted(s.known)
	if len(crashes) < crashLimit {
		return false
	}
	return slices.ContainsFunc(s.sound.Passes, func(p Pass) bool {
		return p.StoreMs > crashes[0].atMs && !slices.Contains(s.known.Passes, p)
	})
}

// testimonyDelay returns how long this VM waits in case others testify first.
func (t *Table) testimonyDelay(f Feature) time.Duration {
	longest := min(time.Duration(t.vms)*testimonyDelayPerVM, maxTestimonyDelay)
	if !f.isPart() || longest <= 0 {
		return 0
	}
	return time.Duration(xxhash.Sum64String(t.vm+string(f)) % uint64(longest))
}

// SetVMs sets the number of VMs that share the evidence.
func (t *Table) SetVMs(n int) { t.vms = n }

// applySound applies the sound runs that all VMs may know.
func (t *Table) applySound(sound Sound) {
	t.suspectOf(sound.Feature).addKnown(sound)
	t.unjudged = true
}

// recentSounds remembers the last sound runs with parts, in case a crash speaks against
// them that this VM learns of later. It holds at most twice maxRecentSounds parts.
type recentSounds struct{ newer, older map[Feature]recentPasses }

// recentPasses holds the last passes with a part, the last one first.
type recentPasses [2]Pass

const maxRecentSounds = 8192

func (r *recentSounds) put(f Feature, p Pass) {
	if r.newer == nil || len(r.newer) >= maxRecentSounds {
		r.newer, r.older = map[Feature]recentPasses{}, r.newer
	}
	before := r.of(f)
	r.newer[f] = recentPasses{p, before[0]}
}

// of returns the last passes with a part; zero ones if unknown.
func (r *recentSounds) of(f Feature) recentPasses {
	if p, ok := r.newer[f]; ok {
		return p
	}
	return r.older[f]
}

// list returns the passes in the order of their times.
func (r recentPasses) list() []Pass {
	var list []Pass
	for _, p := range []Pass{r[1], r[0]} {
		if p.StoreMs > 0 {
			list = append(list, p)
		}
	}
	return list
}
