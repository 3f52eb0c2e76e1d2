package quarantine

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A VM reports a crash in one row, whose size is bounded. If its requests had more
// features than fit, it reports those first that are most likely the cause, and adds
// others later that turn out to have been caught in another crash too.
const (
	// maxReportBytes bounds the features in one VM's report. It leaves room for their
	// encoding in a row of the store.
	maxReportBytes = 32 << 10
	// minReportBytes is the bound where many VMs report each crash.
	minReportBytes = 4 << 10
	// maxCrashBytes bounds the features in the reports of one crash by all VMs, as far as
	// minReportBytes allows.
	maxCrashBytes = 256 << 10
	// maxOwnFeatures bounds the features that a VM remembers of crashes it has seen.
	maxOwnFeatures = 65536
)

// quotedBytes is what a feature takes in a report beside its text.
const quotedBytes = len(`"",`)

func reportBytes(f Feature) int { return len(f) + quotedBytes }

// reportLimit returns the bound of this VM's reports in bytes.
func (t *Table) reportLimit() int {
	return min(max(maxCrashBytes/max(t.vms, 1), minReportBytes), maxReportBytes)
}

// ownCrashes holds all features of the requests that this VM lost in crashes.
type ownCrashes struct {
	crashes  map[Incarnation]map[Feature]Progress
	order    []Incarnation // in which they were first recorded
	features int           // in all crashes
}

// add records a request that was lost in a crash.
func (o *ownCrashes) add(r Run, in Incarnation) {
	if o.crashes == nil {
		o.crashes = map[Incarnation]map[Feature]Progress{}
	}
	if o.crashes[in] == nil {
		o.crashes[in] = map[Feature]Progress{}
		o.order = append(o.order, in)
	}
	caught := o.crashes[in]
	before := len(caught)
	for _, f := range r.Features {
		caught[f] = caught[f].furthest(r.Reached)
	}
	o.features += len(caught) - before
	for o.features > maxOwnFeatures && len(o.order) > 1 {
		o.forget(o.order[0])
	}
}

// forget forgets a crash.
func (o *ownCrashes) forget(in Incarnation) {
	o.features -= len(o.crashes[in])
	delete(o.crashes, in)
	o.order = slices.DeleteFunc(o.order, func(other Incarnation) bool { return other == in })
}

// report reports a crash with as many features as fit, and tells other VMs of sound runs
// with them.
func (t *Table) report(c Crash, now time.Time) {
	c.Features, c.Caught = t.selectFeatures(c.Incarnation)
	t.addCrash(c)
	t.queueAt(Write{Crash: &c}, now)
	for _, f := range c.Features {
		t.testify(t.suspectOf(f), now)
	}
}

// selectFeatures returns the features that this VM reports of a crash, and the progress of
// those whose responses had begun.
func (t *Table) selectFeatures(in Incarnation) ([]Feature, map[Feature]Progress) {
	all := t.own.crashes[in]
	room := t.reportLimit()
	var features []Feature
	caught := map[Feature]Progress{}
	for _, list := range t.ranked(in, all) {
		share := float64(room) / float64(max(totalBytes(list), 1))
		for _, f := range list {
			if reportBytes(f) > room || share < 1 && !sampled(f, in, share) {
				continue
			}
			room -= reportBytes(f)
			features = append(features, f)
			if all[f] != (Progress{}) {
				caught[f] = all[f]
			}
		}
	}
	return features, caught
}

// ranked returns the features of a crash, the likeliest causes first: whole requests, what
// was caught in another crash too, and what has not been sound lately.
func (t *Table) ranked(in Incarnation, all map[Feature]Progress) [4][]Feature {
	var lists [4][]Feature
	for f := range all {
		rank := 3
		switch {
		case !f.isPart():
			rank = 0
		case t.inOtherCrash(f, in):
			rank = 1
		case t.recent.of(f)[0].StoreMs == 0:
			rank = 2
		}
		lists[rank] = append(lists[rank], f)
	}
	return lists
}

// inOtherCrash reports whether a VM has reported a feature of another crash.
func (t *Table) inOtherCrash(f Feature, in Incarnation) bool {
	s := t.suspects[f]
	if s == nil {
		return false
	}
	_, named := s.incidents[in]
	return len(s.incidents) > 1 || len(s.incidents) == 1 && !named
}

func totalBytes(list []Feature) int {
	n := 0
	for _, f := range list {
		n += reportBytes(f)
	}
	return n
}

// sampled reports whether a feature is in the share of those that are reported of a
// crash. Each crash has another share, so that a feature is not left out for good.
func sampled(f Feature, in Incarnation, share float64) bool {
	const buckets = 1 << 16
	hash := xxhash.Sum64String(string(f) + in.Endpoint + strconv.FormatInt(in.Born, 10))
	return float64(hash%buckets) < share*buckets
}

// completeReports adds to this VM's reports the features that other VMs have reported of
// other crashes and for which there was no room.
func (t *Table) completeReports(crashes []Crash, now time.Time) {
	for _, in := range t.own.order {
		i := t.incidents[in]
		if i == nil || len(i.reports[t.vm].Features) == len(t.own.crashes[in]) {
			continue
		}
		missing := func(f Feature) bool {
			_, ran := t.own.crashes[in][f]
			return ran && !i.names(f)
		}
		for _, c := range crashes {
			if c.Incarnation != in && slices.ContainsFunc(c.Features, missing) {
				t.report(i.reports[t.vm], now)
				break
			}
		}
	}
}

// Unreported returns the number of features in this VM's report of a crash for which
// there was no room.
func (t *Table) Unreported(in Incarnation) int {
	i := t.incidents[in]
	if i == nil {
		return 0
	}
	return max(len(t.own.crashes[in])-len(i.reports[t.vm].Features), 0)
}
