package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Quarantine describes a quarantined feature for operators.
type Quarantine struct {
	Feature   Feature
	Crashes   []Incarnation // that speak against it, the first maxVerdictCrashes
	Reporters []string      // names of the VMs that reported these
	Caught    Progress      // of the request with it that had come furthest in them
	Refuted   int           // number of its crashes that sound runs refute
	SoundRuns int           // complete runs since the first of Crashes, which refute none of them
	Trials    int           // trials so far
	LastTrial string        // name of the VM that ran the last one; empty for none
	// NextTrial is the time until the next trial; negative if there is none.
	NextTrial time.Duration
}

// List returns what is quarantined, by feature.
func (t *Table) List(now time.Time) []Quarantine {
	t.judge(now)
	var list []Quarantine
	for f, s := range t.quarantined {
		crashes := s.crashes()
		trial := s.currentTrial()
		v := s.verdict(crashes)
		q := Quarantine{
			Feature: f, Crashes: v.Crashes, Reporters: reporters(crashes), Caught: v.Caught, Refuted: v.Refuted, SoundRuns: v.SoundRuns,
			Trials: trial.Count, LastTrial: trial.VM, NextTrial: -1,
		}
		if dueIn, more := t.nextTrialIn(s, JointTrial, t.clock.at(now)); more {
			q.NextTrial = dueIn
		}
		list = append(list, q)
	}
	slices.SortFunc(list, func(a, b Quarantine) int { return cmp.Compare(a.Feature, b.Feature) })
	return list
}

// reporters returns the names of the VMs that reported crashes, in order.
func reporters(crashes []*incident) []string {
	var names []string
	for _, i := range crashes {
		for vm := range i.reports {
			names = append(names, vm)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
