// Package coldstart bounds the requests that a fleet sends to an endpoint while it is
// cold. A few owner VMs share the bound without messages: each of them may send a fixed
// number of requests in any second, and all other VMs send none.
package coldstart

import "time"

const (
	// maxOwners is the number of VMs that may send to one cold endpoint. With three,
	// requests still reach it when two of them are lost.
	maxOwners = 3
	// memberSets is the number of disjoint sets of owners for which the bound holds. There
	// are two of them while VMs disagree about all members.
	memberSets = 2
	// MaxColdTime bounds every cold time, as registrations and responses may state absurd
	// ones.
	MaxColdTime = 10 * time.Minute
)

// Tolerance is what the endpoints of a service tolerate while they are cold.
type Tolerance struct {
	Start     time.Duration // how long an endpoint is cold after its start
	PerSecond float64       // requests per second that a cold endpoint tolerates; 0 if endpoints are never cold
}

// Margin is what an endpoint tolerates above its stated rate.
type Margin struct {
	Overrun float64 // factor; 0 counts as 1
	Slack   float64 // additional requests per second
}

// Limit bounds the requests to one cold endpoint. The zero value allows none.
type Limit struct {
	Owners   int // VMs that may send to the endpoint
	PerOwner int // requests of each owner in any second
}

// LimitFor returns the limit that keeps both sets of owners together within the bound, as
// far as whole requests allow it: each owner may send at least one.
func LimitFor(t Tolerance, m Margin) Limit {
	overrun := m.Overrun
	if overrun == 0 {
		overrun = 1
	}
	bound := min(max(t.PerSecond*overrun+m.Slack, 0), maxBound)
	owners := min(max(int(bound/memberSets), 1), maxOwners)
	return Limit{Owners: owners, PerOwner: max(int(bound/float64(memberSets*owners)), 1)}
}

// maxBound is more requests per second than any endpoint runs.
const maxBound = 1_000_000

// Clip returns a cold time between 0 and MaxColdTime.
func Clip(d time.Duration) time.Duration { return min(max(d, 0), MaxColdTime) }
