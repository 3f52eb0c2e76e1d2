package soak

import (
	"strings"
	"time"

	"hawthornspar/platform/standin"
)

// Bounds of the invariants, as the users' specification sets them.
const (
	// settleTime is how long a VM must have been undisturbed before the time
	// bounds apply to it.
	settleTime = 3 * time.Second
	// maxDrainDelay is the time after which an endpoint that registered as
	// draining gets no new requests.
	maxDrainDelay = 2 * time.Second
	// maxApplyDelay is the time after which a new configuration is in force.
	maxApplyDelay = 2 * time.Second
	// rollbackTolerance is how long a VM may still apply an older configuration
	// after a response that showed the newer one.
	rollbackTolerance = 250 * time.Millisecond
	// maxCancelDelay is the time after a caller disconnected within which the run
	// of its request must end.
	maxCancelDelay = 500 * time.Millisecond
	// maxUncanceledShare is the share of the runs for disconnected callers that may
	// end later than that.
	maxUncanceledShare = 0.25
	// minServedShare is the share of a target's requests that must be served after
	// the recovery deadline.
	minServedShare = 0.25
	// gracePeriod is the time from SIGTERM until a process is killed.
	gracePeriod = 8 * time.Second
	// In any retryWindow, at most retryExtra retries are allowed, plus retryRatio
	// for each request.
	retryRatio  = 0.2
	retryExtra  = 56
	retryWindow = 10 * time.Second
)

// check returns the violations of one invariant.
type check func(*index) []Violation

// checks has a check for every invariant.
var checks = []check{
	duplicateRuns, duplicateOrders, falseRefusals, wrongResponses, corruptStreams, unrequestedRuns, overspending, runsAfterDrain,
	staleConfigurations, configurationRollbacks, uncanceledRuns, shutdownLosses, excessRetries, crashes, unservedTargets,
	excessCrashes, ignoredNotices,
}

// Check verifies all invariants and returns the violations found.
func Check(h *History) []Violation {
	x := newIndex(h)
	var all []Violation
	for _, c := range checks {
		all = append(all, c(x)...)
	}
	return all
}

// index is a History with its requests and runs by request id.
type index struct {
	*History
	requests map[string]*Request
	runs     map[string][]standin.Run
}

func newIndex(h *History) *index {
	x := &index{History: h, requests: map[string]*Request{}, runs: map[string][]standin.Run{}}
	for i := range h.Requests {
		x.requests[h.Requests[i].ID] = &h.Requests[i]
	}
	for _, r := range h.Runs {
		x.runs[r.ID] = append(x.runs[r.ID], r)
	}
	return x
}

// repeatable reports whether a request to the target may run more than once. A
// resumed stream runs at each of its endpoints.
func repeatable(target string) bool {
	return !strings.HasPrefix(target, standin.OrderPrefix) && !strings.HasPrefix(target, standin.StreamPrefix)
}

// streaming reports whether the target responds with a stream.
func streaming(target string) bool {
	return strings.HasPrefix(target, standin.StreamPrefix) || strings.HasPrefix(target, standin.ResumePrefix)
}

// duplicateRuns finds requests that ran more than once though their target is
// not repeatable.
func duplicateRuns(x *index) (found []Violation) {
	for id, runs := range x.runs {
		if len(runs) > 1 && !repeatable(runs[0].Target) {
			found = append(found, newViolation("at most once", "%s ran %d times", id, len(runs)))
		}
	}
	return found
}

// duplicateOrders finds orders that ran more than once over all attempts of their callers.
func duplicateOrders(x *index) (found []Violation) {
	runs := map[string]int{}
	for _, q := range x.Requests {
		runs[q.Order] += len(x.runs[q.ID])
	}
	delete(runs, "")
	for order, n := range runs {
		if n > 1 {
			found = append(found, newViolation("one run an order", "%s ran %d times", order, n))
		}
	}
	return found
}

// promised reports whether the status states that the request has not run.
func (q *Request) promised() bool {
	return q.Status == 429 || q.Status == 503 || q.Status == 408 || q.Status == 421
}

// unread reports whether the caller of a request that may run only once may send it again:
// after a promise, or after a reset, the sign of a connection closed with the request unread.
func (q *Request) unread() bool { return q.Order != "" && (q.promised() || q.Reset) }

// falseRefusals finds requests that ran though the VM's own response has a
// status which states that they did not.
func falseRefusals(x *index) (found []Violation) {
	for _, q := range x.Requests {
		if q.promised() && len(x.runs[q.ID]) > 0 {
			found = append(found, newViolation("true refusal", "%s got %d from %s and ran", q.ID, q.Status, q.VM))
		}
	}
	return found
}

// wrongResponses finds requests that got another request's response, one from an
// endpoint that did not run them, or a truncated one that looks complete.
func wrongResponses(x *index) (found []Violation) {
	for _, q := range x.Requests {
		if q.Status != 200 {
			continue
		}
		if q.ResponseID != q.ID || !ranAt(x.runs[q.ID], q.Seal) {
			found = append(found, newViolation("own answer", "%s got the response to %s, sealed by %s", q.ID, q.ResponseID, q.Seal))
			continue
		}
		if q.Complete && !streaming(q.Target) && q.ResponseBody != standin.ResponseBody(q.Seal, q.ID) {
			found = append(found, newViolation("whole answer", "%s got %q", q.ID, q.ResponseBody))
		}
	}
	return found
}

// ranAt reports whether one of the runs was at the endpoint.
func ranAt(runs []standin.Run, endpoint string) bool {
	for _, r := range runs {
		if r.Endpoint == endpoint {
			return true
		}
	}
	return false
}

// completeStream returns the complete response to a streaming request.
func completeStream(id string) string {
	text := ""
	for i := range standin.StreamEvents {
		text += standin.StreamEvent(id, i+1)
	}
	return text
}

// withoutComments returns the events of a stream without those that are only a comment,
// which an endpoint may send at any time and which are no part of the response.
func withoutComments(stream string) string {
	var kept strings.Builder
	for event := range strings.SplitAfterSeq(stream, "\n\n") {
		if !strings.HasPrefix(event, ":") {
			kept.WriteString(event)
		}
	}
	return kept.String()
}

// corruptStreams finds streams that are not a prefix of the complete stream, and
// truncated ones that look complete.
func corruptStreams(x *index) (found []Violation) {
	for _, q := range x.Requests {
		if q.Status != 200 || !streaming(q.Target) {
			continue
		}
		complete, events := completeStream(q.ID), withoutComments(q.ResponseBody)
		if q.Complete && events != complete || !strings.HasPrefix(complete, events) {
			found = append(found, newViolation("stream", "%s got %q", q.ID, q.ResponseBody))
		}
	}
	return found
}

// unrequestedRuns finds runs that no caller requested, or that have another
// target, body or account than the caller's request. An endpoint must not get
// the caller's API key.
func unrequestedRuns(x *index) (found []Violation) {
	for _, r := range x.Runs {
		q := x.requests[r.ID]
		switch {
		case q == nil:
			found = append(found, newViolation("asked for", "%s ran without a request", r.ID))
		case r.Target != q.Target || r.Body != q.Body:
			found = append(found, newViolation("asked for", "%s ran as %s %q", r.ID, r.Target, r.Body))
		case r.Account != q.Account || r.APIKey != "":
			found = append(found, newViolation("account", "%s ran for %q, key %q", r.ID, r.Account, r.APIKey))
		}
	}
	return found
}

// overspending finds accounts whose callers got more tokens than prepaid. A
// stream with at least one event costs its prompt tokens once, and the tokens of
// its events.
func overspending(x *index) (found []Violation) {
	spent := map[string]int64{}
	for _, q := range x.Requests {
		if events := int64(strings.Count(q.ResponseBody, "\n\n")); q.Status == 200 && streaming(q.Target) && events > 0 {
			spent[q.Account] += q.PromptTokens + min(events*standin.TokensPerEvent, q.MaxOutputTokens)
		}
	}
	last := x.ConfigChanges[len(x.ConfigChanges)-1].Document
	for _, a := range last.Accounts {
		if spent[a.Name] > a.Prepaid {
			found = append(found, newViolation("prepaid", "%s got %d of %d", a.Name, spent[a.Name], a.Prepaid))
		}
	}
	return found
}

// crashes finds daemons that crashed or had a data race.
func crashes(x *index) (found []Violation) {
	for _, c := range x.Crashes {
		found = append(found, newViolation("running", "%s crashed or had a data race", c.VM))
	}
	return found
}

// unservedTargets finds targets with too few served requests after the recovery
// deadline.
func unservedTargets(x *index) (found []Violation) {
	sent, served := map[string]int{}, map[string]int{}
	for _, q := range x.Requests {
		if q.Sent.Before(x.RecoveryDeadline) || !q.Disconnected.IsZero() || streaming(q.Target) || strings.HasPrefix(q.Target, "/v") {
			continue
		}
		sent[q.Target]++
		if q.Status == 200 && q.Complete {
			served[q.Target]++
		}
	}
	for target, n := range sent {
		if float64(served[target]) < minServedShare*float64(n) {
			found = append(found, newViolation("recovery", "%s: %d of %d served", target, served[target], n))
		}
	}
	return found
}
