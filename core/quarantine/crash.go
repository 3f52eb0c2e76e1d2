package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// crashLimit is the number of crashes after which a feature is quarantined: one
	// endpoint may have crashed for another reason.
	crashLimit = 2
	// begunCrashLimit is the same for a part of a prompt, if the responses to its requests
	// had begun: most of the requests that an endpoint runs have.
	begunCrashLimit = 4
	// shortestRestart is less than an endpoint needs to start anew, and more than the
	// reports of one crash lie apart.
	shortestRestart = time.Second
)

// Incarnation is one life of an endpoint's process.
type Incarnation struct {
	Endpoint string // id
	Born     int64  // start in Unix milliseconds
}

// Crash is one VM's report of the crash of an incarnation: what the requests which the
// VM ran there have in common with others.
type Crash struct {
	Incarnation
	VM       string // name of the VM that reports
	StoreMs  int64  // time of the crash on the store's clock; 0 until that is known
	Features []Feature
	// Caught is the progress of the request with a feature that had come furthest. It lacks
	// features without a response that had begun.
	Caught map[Feature]Progress `json:",omitempty"`
}

// Key returns the key of a report.
func (c Crash) Key() Key { return Key{Kind: CrashKey, Incarnation: c.Incarnation, VM: c.VM} }

// incident is a crash as reported by all VMs.
type incident struct {
	Incarnation
	reports map[string]Crash     // by VM
	caught  map[Feature]Progress // the furthest of all reports
	atMs    int64                // earliest reported time on the store's clock; 0 if unknown
}

// add adds a VM's report, or replaces an earlier one.
func (i *incident) add(c Crash) {
	i.reports[c.VM] = c
	for _, f := range c.Features {
		i.caught[f] = i.caught[f].furthest(c.Caught[f])
	}
}

// date takes the time of a report.
func (i *incident) date(ms int64) {
	if ms > 0 && (i.atMs == 0 || ms < i.atMs) {
		i.atMs = ms
	}
}

// names reports whether a report names a feature.
func (i *incident) names(f Feature) bool {
	_, ok := i.caught[f]
	return ok
}

// runningAt returns the incarnation that crashed at a time on the store's clock, if this
// VM took it for the given one. An incarnation crashes once: if it has crashed well
// before, the endpoint has started anew and its registration is not known yet. All VMs
// that know the earlier crash return the same.
func (t *Table) runningAt(in Incarnation, atMs int64) Incarnation {
	for {
		earlier := t.incidents[in]
		if earlier == nil || earlier.atMs == 0 || atMs < earlier.atMs+shortestRestart.Milliseconds() {
			return in
		}
		in.Born = earlier.atMs
	}
}

// addCrash adds a VM's report, or replaces an earlier one.
func (t *Table) addCrash(c Crash) {
	i := t.incidents[c.Incarnation]
	if i == nil {
		t.makeRoom()
		i = &incident{Incarnation: c.Incarnation, reports: map[string]Crash{}, caught: map[Feature]Progress{}}
		t.incidents[c.Incarnation] = i
	}
	i.add(c)
	i.date(c.StoreMs)
	for _, f := range c.Features {
		t.suspectOf(f).accuse(i)
	}
	t.unjudged = true
}

// removeIncident forgets a crash.
func (t *Table) removeIncident(i *incident) {
	delete(t.incidents, i.Incarnation)
	t.own.forget(i.Incarnation)
	features := slices.Collect(maps.Keys(i.caught))
	clear(i.caught)
	t.withdraw(i, features)
	t.unjudged = true
}

// removeReport forgets one VM's report of a crash.
func (t *Table) removeReport(in Incarnation, vm string) {
	i := t.incidents[in]
	if i == nil {
		return
	}
	features := i.reports[vm].Features
	delete(i.reports, vm)
	if len(i.reports) == 0 {
		delete(t.incidents, in)
	}
	clear(i.caught)
	for _, r := range i.reports {
		i.add(r)
	}
	t.withdraw(i, features)
	t.unjudged = true
}

// withdraw removes a crash from the evidence against those of the given features that no
// report of it names any more.
func (t *Table) withdraw(i *incident, features []Feature) {
	for _, f := range features {
		s := t.suspects[f]
		if s == nil || i.names(f) {
			continue
		}
		s.acquit(i)
		if s.unused() {
			delete(t.suspects, f)
		}
	}
}

// compareTimes orders crashes by their times; those without come last.
func compareTimes(a, b *incident) int {
	if (a.atMs == 0) != (b.atMs == 0) {
		return cmp.Compare(b.atMs, a.atMs)
	}
	return cmp.Or(cmp.Compare(a.atMs, b.atMs), cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Born, b.Born))
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
