// Package evacuation keeps the failure domains whose endpoints get no new requests because
// the operator asks for that, with the store's version of this knowledge.
package evacuation

import (
	"maps"
	"slices"

	"hawthornspar/core/revision"
)

// Change is what a read of the store says about evacuated failure domains.
type Change struct {
	Version  revision.Version // the store's version that the change leads to
	Complete bool             // Started holds all domains that are evacuated
	// Restored is set if the store has just come back from a copy, and may not have again
	// what was written since. A domain that it does not list stays evacuated.
	Restored bool
	Started  []string
	Ended    []string
}

// View is the complete set as one VM knows it. VMs exchange it as JSON.
type View struct {
	Version int64        `json:"version"` // its number
	Era     revision.Era `json:"era,omitempty"`
	Domains []string     `json:"domains"`
}

// Change returns the change that replaces another VM's set by the view.
func (v View) Change() Change {
	return Change{Version: revision.Version{Era: v.Era, Number: v.Version}, Complete: true, Started: v.Domains}
}

// Set is the set of evacuated failure domains. The zero value is unknown and holds none. It
// is not safe for concurrent use.
type Set struct {
	known   bool
	version revision.Version
	domains map[string]bool
	// provisional is set if domains are kept that the store may have lost.
	provisional bool
}

// Apply applies a change unless it is older than what is known, and returns the domains
// whose evacuation has started and ended by it, in order.
func (s *Set) Apply(c Change) (started, ended []string) {
	if s.known && !c.Version.NewerThan(s.version) && !s.confirms(c) {
		return nil, nil
	}
	s.provisional = c.Restored || s.provisional && !c.Complete
	next := map[string]bool{}
	if !c.Complete || c.Restored {
		maps.Copy(next, s.domains)
	}
	for _, d := range c.Started {
		next[d] = true
	}
	for _, d := range c.Ended {
		delete(next, d)
	}
	started, ended = missingIn(next, s.domains), missingIn(s.domains, next)
	s.known, s.version, s.domains = true, c.Version, next
	return started, ended
}

// confirms reports whether a complete read of the version that is known says what of it holds.
func (s *Set) confirms(c Change) bool {
	return s.provisional && c.Complete && !c.Restored && c.Version == s.version
}

// missingIn returns the domains of a that b lacks, in order.
func missingIn(a, b map[string]bool) []string {
	var list []string
	for d := range a {
		if !b[d] {
			list = append(list, d)
		}
	}
	slices.Sort(list)
	return list
}

// View returns the set for other VMs; nil while it is unknown.
func (s *Set) View() *View {
	if !s.known {
		return nil
	}
	return &View{Version: s.version.Number, Era: s.version.Era, Domains: slices.Sorted(maps.Keys(s.domains))}
}

// Version returns the store's version of the set.
func (s *Set) Version() revision.Version { return s.version }

// Count returns the number of evacuated domains.
func (s *Set) Count() int { return len(s.domains) }
