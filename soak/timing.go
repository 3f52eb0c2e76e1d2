package soak

import (
	"strings"
	"time"

	"hawthornspar/platform/standin"
)

// runsAfterDrain finds requests that undisturbed VMs sent to an endpoint more
// than maxDrainDelay after it registered as draining.
func runsAfterDrain(x *index) (found []Violation) {
	for _, d := range x.Drains {
		deadline := d.At.Add(maxDrainDelay)
		for _, r := range x.Runs {
			q := x.requests[r.ID]
			if q != nil && r.Endpoint == d.Endpoint && r.Started.After(deadline) && x.undisturbed(q.VM, Interval{d.At, r.Started}) {
				found = append(found, newViolation("drain", "%s of %s ran at %s %s after it began to drain", r.ID, q.VM, d.Endpoint, r.Started.Sub(d.At)))
			}
		}
	}
	return found
}

// hasRoute reports whether a configuration has the route of a target.
func hasRoute(d standin.Document, target string) bool {
	if !strings.HasPrefix(target, "/v") {
		return true
	}
	for _, v := range d.Markers {
		if strings.HasPrefix(target, standin.MarkerPrefix(v)) {
			return true
		}
	}
	return false
}

// staleConfigurations finds responses of undisturbed VMs that contradict every
// configuration which may have been in force.
func staleConfigurations(x *index) (found []Violation) {
	for _, q := range x.Requests {
		ambiguous, routed := x.expectedRoute(q)
		if ambiguous || q.Status == 0 {
			continue
		}
		if !x.undisturbed(q.VM, Interval{q.Sent.Add(-maxApplyDelay), q.Ended}) {
			continue
		}
		if routed == (q.Status == 404) {
			found = append(found, newViolation("configuration", "%s at %s: %s got %d", q.ID, q.VM, q.Target, q.Status))
		}
	}
	return found
}

// expectedRoute reports whether the configurations that may have been in force
// during a request disagree on its target's route, and whether the newest of
// them has the route.
func (x *index) expectedRoute(q Request) (ambiguous, routed bool) {
	expected := map[bool]bool{}
	for i, c := range x.ConfigChanges {
		if c.At.After(q.Ended) {
			break
		}
		replaced := i+1 < len(x.ConfigChanges) && x.ConfigChanges[i+1].At.Add(maxApplyDelay).Before(q.Sent)
		if !replaced {
			routed = hasRoute(c.Document, q.Target)
			expected[routed] = true
		}
	}
	return len(expected) != 1, routed
}

// configurationRollbacks finds VMs that responded 404 for a marker route after the
// same incarnation of the VM had served the route.
func configurationRollbacks(x *index) (found []Violation) {
	served := map[string]time.Time{} // by VM and target
	for _, q := range x.Requests {
		key := q.VM + " " + q.Target
		if at, ok := served[key]; ok && q.Status == 404 && x.inLastDocument(q.Target) && q.Sent.After(at.Add(rollbackTolerance)) && !overlaps(x.VMFaults[q.VM], Interval{at, q.Ended}) {
			found = append(found, newViolation("configuration", "%s at %s: %s was served before", q.ID, q.VM, q.Target))
		}
		if q.Status == 200 && served[key].IsZero() && strings.HasPrefix(q.Target, "/v") {
			served[key] = q.Ended
		}
	}
	return found
}

// inLastDocument reports whether the last configuration has a target's route, so
// that the route was never removed.
func (x *index) inLastDocument(target string) bool {
	return hasRoute(x.ConfigChanges[len(x.ConfigChanges)-1].Document, target)
}

// uncanceledRuns returns a violation if too many runs went on for more than
// maxCancelDelay after their callers had disconnected.
func uncanceledRuns(x *index) (found []Violation) {
	counted, late := 0, 0
	for _, q := range x.Requests {
		if q.Disconnected.IsZero() || !repeatable(q.Target) && !streaming(q.Target) || !x.undisturbed(q.VM, Interval{q.Sent, q.Disconnected.Add(maxCancelDelay)}) {
			continue
		}
		for _, r := range x.runs[q.ID] {
			counted++
			if r.Ended.IsZero() || r.Ended.Sub(q.Disconnected) > maxCancelDelay {
				late++
			}
		}
	}
	if late > 3 && float64(late) > maxUncanceledShare*float64(counted) {
		found = append(found, newViolation("cancel", "%d of %d runs went on after their callers had disconnected", late, counted))
	}
	return found
}

// shutdownLosses finds requests that ran but whose response was truncated or
// lost by a graceful shutdown of their VM.
func shutdownLosses(x *index) (found []Violation) {
	for _, s := range x.Shutdowns {
		grace := Interval{s.At, s.At.Add(gracePeriod)}
		for _, q := range x.Requests {
			ran := len(x.runs[q.ID]) > 0
			during := q.VM == s.VM && q.Sent.Before(grace.To) && q.Ended.After(grace.From)
			truncated := q.Disconnected.IsZero() && (q.Status == 0 || !q.Complete)
			if during && truncated && ran && !x.otherFault(q, s) {
				found = append(found, newViolation("planned stop", "%s at %s got no complete response", q.ID, q.VM))
			}
		}
	}
	return found
}

// otherFault reports whether anything but the shutdown s disturbed a request.
func (x *index) otherFault(q Request, s Shutdown) bool {
	interval := Interval{q.Sent.Add(-settleTime), q.Ended}
	for _, f := range x.VMFaults[q.VM] {
		if !f.From.Equal(s.At) && overlaps([]Interval{f}, interval) {
			return true
		}
	}
	return overlaps(x.StoreFaults, interval) || overlaps(x.EndpointFaults, interval)
}

// excessRetries finds the first retryWindow that has too many retries. Every run
// of a request but its first counts as a retry.
func excessRetries(x *index) (found []Violation) {
	start := x.Requests[0].Sent
	for from := start; from.Before(x.Ended); from = from.Add(time.Second) {
		requests, retries := 0, 0
		window := Interval{from, from.Add(retryWindow)}
		for _, q := range x.Requests {
			if within(q.Sent, window) {
				requests++
			}
		}
		for _, runs := range x.runs {
			for i, r := range runs {
				if i > 0 && within(r.Started, window) {
					retries++
				}
			}
		}
		if float64(retries) > retryRatio*float64(requests)+retryExtra {
			return []Violation{newViolation("retry budget", "%d retries for %d requests", retries, requests)}
		}
	}
	return found
}

// within reports whether t lies in an interval, whose end is excluded.
func within(t time.Time, i Interval) bool { return !t.Before(i.From) && t.Before(i.To) }
