package soak

import (
	"slices"
	"strconv"
	"time"

	"hawthornspar/platform/standin"
)

const (
	// noticeTime is how long after a notice requests of the same VM may still be on
	// their way to an endpoint that wants none for a time.
	noticeTime = 500 * time.Millisecond
	// maxPausedArrivals is how many requests of one VM may reach such an endpoint.
	maxPausedArrivals = 2
)

func sortByStart(runs []standin.Run) {
	slices.SortFunc(runs, func(a, b standin.Run) int { return a.Started.Compare(b.Started) })
}

// heard is what one incarnation of an endpoint has said to one VM.
type heard struct {
	leaving     time.Time // when it first said that it is leaving
	paused      time.Time // when it first said that it wants no requests
	pausedUntil time.Time
	arrivals    int // during the pause, later than noticeTime
}

// ignoredNotices finds requests that VMs sent to endpoints which had told them that they
// were leaving, or wanted none for a time. A restart or pause of the VM excuses it.
func ignoredNotices(x *index) (found []Violation) {
	type pair struct{ vm, endpoint string }
	known := map[pair]*heard{}
	for _, a := range x.Arrivals {
		q := x.requests[a.ID]
		if q == nil {
			continue
		}
		key := pair{q.VM, a.Endpoint}
		if known[key] == nil {
			known[key] = &heard{}
		}
		found = append(found, known[key].observe(x, q.VM, a)...)
	}
	return found
}

// observe applies one arrival and returns the violation that it completes.
func (n *heard) observe(x *index, vm string, a standin.Arrival) (found []Violation) {
	if !n.leaving.IsZero() && a.At.Sub(n.leaving) > maxDrainDelay && !overlaps(x.VMFaults[vm], Interval{n.leaving, a.At}) {
		found = append(found, newViolation("notice", "%s of %s reached %s, which had said %s before that it is leaving", a.ID, vm, a.Endpoint, a.At.Sub(n.leaving)))
	}
	if a.At.Before(n.pausedUntil) && a.At.Sub(n.paused) > noticeTime && !overlaps(x.VMFaults[vm], Interval{n.paused, a.At}) {
		n.arrivals++
		if n.arrivals == maxPausedArrivals+1 {
			found = append(found, newViolation("notice", "%s of %s reached %s, which wanted no requests", a.ID, vm, a.Endpoint))
		}
	}
	if a.Notices.Leaving && n.leaving.IsZero() {
		n.leaving = a.At
	}
	if seconds, err := strconv.ParseFloat(a.Notices.RetryAfter, 64); err == nil && a.At.After(n.pausedUntil) {
		n.paused, n.pausedUntil, n.arrivals = a.At, a.At.Add(time.Duration(seconds*float64(time.Second))), 0
	}
	return found
}
