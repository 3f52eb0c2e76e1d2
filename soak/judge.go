package soak

import (
	"strings"
	"time"

	"hawthornspar/platform/standin"
)

// Bounds of the promises, as the users' pages set them.
const (
	// stable is how long a VM must have been undisturbed for a bound in time.
	stable = 3 * time.Second
	// drainBound is when a leaving endpoint gets no more work.
	drainBound = 2 * time.Second
	// applyBound is when a configuration is in force.
	applyBound = 2 * time.Second
	// rollbackSlack is how long an older configuration may still be seen after
	// the newer one at the same VM.
	rollbackSlack = 250 * time.Millisecond
	// leaveBound is when the run of a caller that left has ended.
	leaveBound = 500 * time.Millisecond
	// leaveShare is the part of such runs that may go on.
	leaveShare = 0.25
	// servedShare is the part of requests that is served after the last fault.
	servedShare = 0.25
	// grace is the time from SIGTERM until a process is killed.
	grace = 8 * time.Second
	// retryRatio and retryExtra bound the sends beyond the first of each request
	// in any retryWindow.
	retryRatio  = 0.2
	retryExtra  = 56
	retryWindow = 10 * time.Second
)

// check finds where one promise did not hold.
type check func(*index) []Violation

// checks are all promises that a run is judged by.
var checks = []check{
	ranTwice, refusedFalsely, mixedUp, outOfOrder, unasked, overspent, drainedLate,
	configuredLate, wentBack, workedOn, cutByStop, retriedTooOften, endedItself, unserved,
}

// Judge returns the promises that did not hold.
func Judge(h *History) []Violation {
	x := newIndex(h)
	var all []Violation
	for _, c := range checks {
		all = append(all, c(x)...)
	}
	return all
}

// index finds attempts and runs by id.
type index struct {
	*History
	attempts map[string]*Attempt
	runs     map[string][]standin.Run
}

func newIndex(h *History) *index {
	x := &index{History: h, attempts: map[string]*Attempt{}, runs: map[string][]standin.Run{}}
	for i := range h.Attempts {
		x.attempts[h.Attempts[i].ID] = &h.Attempts[i]
	}
	for _, r := range h.Runs {
		x.runs[r.ID] = append(x.runs[r.ID], r)
	}
	return x
}

func repeatable(target string) bool {
	return !strings.HasPrefix(target, standin.OrderPrefix) && !strings.HasPrefix(target, standin.StreamPrefix)
}

func streams(target string) bool {
	return strings.HasPrefix(target, standin.StreamPrefix) || strings.HasPrefix(target, standin.ResumePrefix)
}

func ranTwice(x *index) (found []Violation) {
	for id, runs := range x.runs {
		if len(runs) > 1 && !repeatable(runs[0].Target) {
			found = append(found, violation("at most once", "%s ran %d times", id, len(runs)))
		}
	}
	return found
}

func refusedFalsely(x *index) (found []Violation) {
	for _, a := range x.Attempts {
		promised := a.Status == 429 || a.Status == 503 || a.Status == 408 || a.Status == 421
		if promised && a.Seal == "" && len(x.runs[a.ID]) > 0 {
			found = append(found, violation("true refusal", "%s got %d from %s and ran", a.ID, a.Status, a.VM))
		}
	}
	return found
}

// mixedUp finds answers that are not the request's own whole one.
func mixedUp(x *index) (found []Violation) {
	for _, a := range x.Attempts {
		if a.Status != 200 {
			continue
		}
		if a.AnswerID != a.ID || !ranAt(x.runs[a.ID], a.Seal) {
			found = append(found, violation("own answer", "%s got that of %s, signed by %s", a.ID, a.AnswerID, a.Seal))
			continue
		}
		if a.Whole && !streams(a.Target) && a.Text != standin.Body(a.Seal, a.ID) {
			found = append(found, violation("whole answer", "%s got %q", a.ID, a.Text))
		}
	}
	return found
}

func ranAt(runs []standin.Run, endpoint string) bool {
	for _, r := range runs {
		if r.Endpoint == endpoint {
			return true
		}
	}
	return false
}

// wholeStream is the whole stream that answers a request.
func wholeStream(id string) string {
	text := ""
	for i := range standin.Events {
		text += standin.Event(id, i+1)
	}
	return text
}

func outOfOrder(x *index) (found []Violation) {
	for _, a := range x.Attempts {
		if a.Status != 200 || !streams(a.Target) {
			continue
		}
		whole := wholeStream(a.ID)
		if a.Whole && a.Text != whole || !strings.HasPrefix(whole, a.Text) {
			found = append(found, violation("stream", "%s got %q", a.ID, a.Text))
		}
	}
	return found
}

// unasked finds runs that differ from what a caller sent.
func unasked(x *index) (found []Violation) {
	for _, r := range x.Runs {
		a := x.attempts[r.ID]
		switch {
		case a == nil:
			found = append(found, violation("asked for", "%s was sent by nobody", r.ID))
		case r.Target != a.Target || r.Body != a.Body:
			found = append(found, violation("asked for", "%s ran as %s %q", r.ID, r.Target, r.Body))
		case r.Account != a.Account || r.Key != "":
			found = append(found, violation("account", "%s ran for %q, key %q", r.ID, r.Account, r.Key))
		}
	}
	return found
}

// overspent sums what callers got: the prompt once, and the events.
func overspent(x *index) (found []Violation) {
	spent := map[string]int64{}
	for _, a := range x.Attempts {
		if events := int64(strings.Count(a.Text, "\n\n")); a.Status == 200 && streams(a.Target) && events > 0 {
			spent[a.Account] += a.Prompt + min(events*standin.Stride, a.Output)
		}
	}
	last := x.Changes[len(x.Changes)-1].Document
	for _, c := range last.Accounts {
		if spent[c.Name] > c.Prepaid {
			found = append(found, violation("prepaid", "%s got %d of %d", c.Name, spent[c.Name], c.Prepaid))
		}
	}
	return found
}

func drainedLate(x *index) (found []Violation) {
	for _, d := range x.Departures {
		until := d.At.Add(drainBound)
		for _, r := range x.Runs {
			a := x.attempts[r.ID]
			if a != nil && r.Endpoint == d.Endpoint && r.At.After(until) && x.calm(a.VM, Span{d.At, r.At}) {
				found = append(found, violation("drain", "%s of %s ran at %s %s after it said that it leaves", r.ID, a.VM, d.Endpoint, r.At.Sub(d.At)))
			}
		}
	}
	return found
}

// allows tells whether a configuration has the route of a target.
func allows(d standin.Document, target string) bool {
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

// configuredLate finds answers that no configuration in force gives.
func configuredLate(x *index) (found []Violation) {
	for _, a := range x.Attempts {
		old, now := x.inForce(a)
		if old || a.Status == 0 {
			continue
		}
		if !x.calm(a.VM, Span{a.Sent.Add(-applyBound), a.Ended}) {
			continue
		}
		if now == (a.Status == 404) {
			found = append(found, violation("configuration", "%s at %s: %s got %d", a.ID, a.VM, a.Target, a.Status))
		}
	}
	return found
}

// inForce tells whether the newest configuration allows an attempt's target,
// and whether an older one that may still be in force says otherwise.
func (x *index) inForce(a Attempt) (old, now bool) {
	verdicts := map[bool]bool{}
	for i, c := range x.Changes {
		if c.At.After(a.Ended) {
			break
		}
		replaced := i+1 < len(x.Changes) && x.Changes[i+1].At.Add(applyBound).Before(a.Sent)
		if !replaced {
			now = allows(c.Document, a.Target)
			verdicts[now] = true
		}
	}
	return len(verdicts) != 1, now
}

// wentBack finds a VM that refused a new route after it had served it, in one
// incarnation.
func wentBack(x *index) (found []Violation) {
	served := map[string]time.Time{} // by VM and target
	for _, a := range x.Attempts {
		name := a.VM + " " + a.Target
		if at, ok := served[name]; ok && a.Status == 404 && x.lasting(a.Target) && a.Sent.After(at.Add(rollbackSlack)) && !overlaps(x.Disturbed[a.VM], Span{at, a.Ended}) {
			found = append(found, violation("configuration", "%s at %s: %s was served before", a.ID, a.VM, a.Target))
		}
		if a.Status == 200 && served[name].IsZero() && strings.HasPrefix(a.Target, "/v") {
			served[name] = a.Ended
		}
	}
	return found
}

// lasting tells whether the last configuration still has a target's route.
func (x *index) lasting(target string) bool {
	return allows(x.Changes[len(x.Changes)-1].Document, target)
}

// workedOn finds endpoints at work long after the callers have left.
func workedOn(x *index) (found []Violation) {
	counted, late := 0, 0
	for _, a := range x.Attempts {
		if a.Left.IsZero() || !repeatable(a.Target) && !streams(a.Target) || !x.calm(a.VM, Span{a.Sent, a.Left.Add(leaveBound)}) {
			continue
		}
		for _, r := range x.runs[a.ID] {
			counted++
			if r.Ended.IsZero() || r.Ended.Sub(a.Left) > leaveBound {
				late++
			}
		}
	}
	if late > 3 && float64(late) > leaveShare*float64(counted) {
		found = append(found, violation("cancel", "%d of %d runs went on after their callers had left", late, counted))
	}
	return found
}

// cutByStop finds requests that a planned stop cut off.
func cutByStop(x *index) (found []Violation) {
	for _, s := range x.Stops {
		planned := Span{s.At, s.At.Add(grace)}
		for _, a := range x.Attempts {
			ran := len(x.runs[a.ID]) > 0
			inside := a.VM == s.VM && a.Sent.Before(planned.To) && a.Ended.After(planned.From)
			broken := a.Left.IsZero() && (a.Status == 0 || !a.Whole)
			if inside && broken && ran && !x.troubled(a, s) {
				found = append(found, violation("planned stop", "%s at %s was cut off", a.ID, a.VM))
			}
		}
	}
	return found
}

// troubled tells whether anything but a stop disturbed a request.
func (x *index) troubled(a Attempt, s Stop) bool {
	span := Span{a.Sent.Add(-stable), a.Ended}
	for _, d := range x.Disturbed[a.VM] {
		if !d.From.Equal(s.At) && overlaps([]Span{d}, span) {
			return true
		}
	}
	return overlaps(x.Store, span) || overlaps(x.Endpoints, span)
}

// retriedTooOften counts the sends beyond the first of each request in windows.
func retriedTooOften(x *index) (found []Violation) {
	start := x.Attempts[0].Sent
	for from := start; from.Before(x.Over); from = from.Add(time.Second) {
		requests, repeats := 0, 0
		window := Span{from, from.Add(retryWindow)}
		for _, a := range x.Attempts {
			if within(a.Sent, window) {
				requests++
			}
		}
		for _, runs := range x.runs {
			for i, r := range runs {
				if i > 0 && within(r.At, window) {
					repeats++
				}
			}
		}
		if float64(repeats) > retryRatio*float64(requests)+retryExtra {
			return []Violation{violation("retry budget", "%d repeats for %d requests", repeats, requests)}
		}
	}
	return found
}

func within(t time.Time, s Span) bool { return !t.Before(s.From) && t.Before(s.To) }

func endedItself(x *index) (found []Violation) {
	for _, e := range x.Ends {
		found = append(found, violation("running", "%s ended by itself", e.VM))
	}
	return found
}

// unserved finds whole kinds of requests that are not served after the faults.
func unserved(x *index) (found []Violation) {
	asked, served := map[string]int{}, map[string]int{}
	for _, a := range x.Attempts {
		if a.Sent.Before(x.Calm) || !a.Left.IsZero() || streams(a.Target) || strings.HasPrefix(a.Target, "/v") {
			continue
		}
		asked[a.Target]++
		if a.Status == 200 && a.Whole {
			served[a.Target]++
		}
	}
	for target, n := range asked {
		if float64(served[target]) < servedShare*float64(n) {
			found = append(found, violation("recovery", "%s: %d of %d served", target, served[target], n))
		}
	}
	return found
}
