package endpoints

import "time"

// Freshness is how recently a VM has compared its copy of the registry with
// another source. A VM whose own link is congested gets no responses, and must
// not send requests to endpoints that may have left meanwhile. In an outage of
// the store the other VMs respond instead: then no source knows more. The zero
// value has never been compared.
type Freshness struct{ checkedAt time.Time }

// Check records that a source responded to a request that was sent at the given
// time.
func (f *Freshness) Check(sent time.Time) { f.checkedAt = later(f.checkedAt, sent) }

// Age returns the time since the last comparison.
func (f Freshness) Age(now time.Time) time.Duration { return now.Sub(f.checkedAt) }

// Covers reports whether a request that needs sendDelay to reach its endpoint
// arrives before any endpoint whose leaving the VM has not learnt can be gone.
// notice is how long endpoints go on serving after they have announced that.
func (f Freshness) Covers(sendDelay, notice time.Duration, now time.Time) bool {
	return f.Age(now)+sendDelay < notice
}
