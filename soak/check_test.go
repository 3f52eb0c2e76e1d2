package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/platform/standin"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

var epoch = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// validHistory returns a history that violates no invariant.
func validHistory() *History {
	h := &History{VMFaults: map[string][]Interval{}, RecoveryDeadline: at(30), Ended: at(40)}
	h.ConfigChanges = []ConfigChange{
		{At: at(0), Document: standin.Document{Version: 3, Markers: []int64{3}, Accounts: []standin.Account{{Name: "acme", Prepaid: 1_000}}}},
		{At: at(10), Document: standin.Document{Version: 6, Markers: []int64{3, 6}, Accounts: []standin.Account{{Name: "acme", Prepaid: 1_000}}}},
	}
	h.Drains = []Drain{{Endpoint: "a1", At: at(15)}}
	h.Shutdowns = []Shutdown{{VM: "vm1", At: at(20)}}
	addServed(h, "order", standin.OrderPrefix, 5, "a1")
	addServed(h, "look", standin.LookPrefix, 6, "a1")
	addServed(h, "stream", standin.StreamPrefix, 7, "m1")
	addServed(h, "probe", standin.MarkerPrefix(6), 14, "a2")
	addServed(h, "late", standin.LookPrefix, 18, "a2")
	addServed(h, "stopping", standin.OrderPrefix, 20.1, "a2")
	addServed(h, "last", standin.LookPrefix, 31, "a2")
	return h
}

// addServed adds a request with the correct response, and its run.
func addServed(h *History, id, target string, sent float64, endpoint string) {
	q := Request{ID: id, VM: "vm1", Target: target, Account: "acme", Sent: at(sent), Ended: at(sent + 0.1), Status: 200, ResponseID: id, Seal: endpoint, Complete: true}
	q.ResponseBody = standin.ResponseBody(endpoint, id)
	if streaming(target) {
		q.PromptTokens, q.MaxOutputTokens, q.ResponseBody = 100, 25, completeStream(id)
	}
	h.Requests = append(h.Requests, q)
	h.Runs = append(h.Runs, standin.Run{ID: id, Target: target, Endpoint: endpoint, Started: at(sent + 0.05), Ended: at(sent + 0.1), Account: "acme"})
}

// addLethal adds a request that crashed the endpoint that ran it.
func addLethal(h *History, id string, sent float64) {
	addServed(h, id, standin.OrderPrefix, sent, "a2")
	q := request(h, id)
	q.Body, q.Status, q.Complete, q.Seal = lethalBody+"1", 502, true, ""
	h.Runs[len(h.Runs)-1].Body = q.Body
}

// addLethalPart adds a request with a part of a prompt that crashed the endpoint.
func addLethalPart(h *History, id string, sent float64) {
	addServed(h, id, standin.StreamPrefix, sent, "m1")
	q := request(h, id)
	q.Status, q.Complete, q.Seal = 502, true, ""
	h.Runs[len(h.Runs)-1].Header = http.Header{"X-Prefix-Hash": {"first:10," + lethalParts[0] + ":10,own-" + id + ":10"}}
}

func request(h *History, id string) *Request { return newIndex(h).requests[id] }

// dropRuns removes the runs of a request.
func dropRuns(h *History, id string) {
	var kept []standin.Run
	for _, r := range h.Runs {
		if r.ID != id {
			kept = append(kept, r)
		}
	}
	h.Runs = kept
}

var _ = Describe("Check", func() {
	It("finds nothing in a valid history", func() { Expect(Check(validHistory())).To(BeEmpty()) })

	for _, t := range []struct {
		name, invariant string
		corrupt         func(*History)
	}{
		{"an order that ran twice", "at most once", func(h *History) { h.Runs = append(h.Runs, h.Runs[0]) }},
		{"an order that ran once for each of two attempts", "one run an order", func(h *History) {
			addServed(h, "order.1", standin.OrderPrefix, 5.2, "a2")
			request(h, "order").Order, request(h, "order.1").Order = "order", "order"
		}},
		{"a refusal of a request that ran", "true refusal", func(h *History) { q := request(h, "order"); q.Status, q.Seal = 503, "" }},
		{"the response to another request", "own answer", func(h *History) { request(h, "look").ResponseID = "order" }},
		{"a response of an endpoint that did not run the request", "own answer", func(h *History) { dropRuns(h, "look") }},
		{"a truncated response that looks complete", "whole answer", func(h *History) { request(h, "look").ResponseBody = "answer" }},
		{"a truncated stream that looks complete", "stream", func(h *History) { request(h, "stream").ResponseBody = standin.StreamEvent("stream", 1) }},
		{"a stream that lacks an event", "stream", func(h *History) {
			q := request(h, "stream")
			q.ResponseBody, q.Complete = standin.StreamEvent("stream", 2), false
		}},
		{"a stream that has text besides its events", "stream", func(h *History) {
			q := request(h, "stream")
			q.ResponseBody, q.Complete = standin.StreamEvent("stream", 1)+"the engine failed\n\n", false
		}},
		{"a stream that has comments in place of its last events and looks complete", "stream", func(h *History) {
			request(h, "stream").ResponseBody = standin.StreamEvent("stream", 1) + ": still here\n\n"
		}},
		{"a run without a request", "asked for", func(h *History) { h.Runs[0].ID = "smuggled" }},
		{"a changed body", "asked for", func(h *History) { h.Runs[1].Body = "other" }},
		{"an API key passed on to an endpoint", "account", func(h *History) { h.Runs[1].APIKey = "k" }},
		{"an exceeded budget", "prepaid", func(h *History) { request(h, "stream").PromptTokens = 2_000 }},
		{"a new request to a draining endpoint", "drain", func(h *History) { h.Runs[4].Endpoint, request(h, "late").Seal = "a1", "a1" }},
		{"a new route that is not served", "configuration", func(h *History) { q := request(h, "probe"); q.Status = 404; dropRuns(h, "probe") }},
		{"a route that is refused after it was served", "configuration", func(h *History) {
			addServed(h, "again", standin.MarkerPrefix(6), 16, "a2")
			request(h, "again").Status = 404
			dropRuns(h, "again")
		}},
		{"runs that go on after their callers disconnected", "cancel", func(h *History) {
			for _, id := range []string{"l1", "l2", "l3", "l4"} {
				addServed(h, id, standin.LookPrefix, 12, "a2")
				q := request(h, id)
				q.Disconnected, q.Status = q.Ended, 0
				h.Runs[len(h.Runs)-1].Ended = at(14)
			}
		}},
		{"a response lost by a graceful shutdown", "planned stop", func(h *History) { q := request(h, "stopping"); q.Status, q.Complete = 0, false }},
		{"too many retries", "retry budget", func(h *History) {
			for range 60 {
				h.Runs = append(h.Runs, h.Runs[1])
			}
		}},
		{"a crashed process", "running", func(h *History) { h.Crashes = []VMCrash{{VM: "vm1"}} }},
		{"nothing served after the recovery deadline", "recovery", func(h *History) { q := request(h, "last"); q.Status = 503; dropRuns(h, "last"); q.Seal = "" }},
		{"a request that is sent on after its third crash", "crashes", func(h *History) {
			for i := range 7 {
				addLethal(h, fmt.Sprintf("l%d", i), 1+float64(i)*4)
			}
		}},
		{"a part of prompts that is sent on after its fifth crash", "crashes", func(h *History) {
			for i := range 9 {
				addLethalPart(h, fmt.Sprintf("p%d", i), 1+float64(i)*4)
			}
		}},
		{"a request to an endpoint that had said it is leaving", "notice", func(h *History) {
			h.Arrivals = []standin.Arrival{{ID: "look", At: at(6), Endpoint: "a1", Notices: standin.Notices{Leaving: true}}, {ID: "late", At: at(18), Endpoint: "a1"}}
		}},
		{"requests to an endpoint that wanted none", "notice", func(h *History) {
			for i, notice := range []string{"4", "", "", ""} {
				h.Arrivals = append(h.Arrivals, standin.Arrival{ID: "look", At: at(6 + float64(i)), Endpoint: "a1", Notices: standin.Notices{RetryAfter: notice}})
			}
		}},
	} {
		It("finds "+t.name, func() {
			h := validHistory()
			t.corrupt(h)
			found := Check(h)
			Expect(found).NotTo(BeEmpty())
			invariants := []string{}
			for _, v := range found {
				invariants = append(invariants, v.Invariant)
			}
			Expect(invariants).To(ContainElement(t.invariant))
		})
	}

	for _, t := range []struct {
		name   string
		change func(*History)
	}{
		{"a request to a draining endpoint from a VM without a link to the store", func(h *History) {
			q := request(h, "late")
			h.Runs[4].Endpoint, q.Seal, q.ResponseBody = "a1", "a1", standin.ResponseBody("a1", "late")
			h.VMFaults["vm1"] = []Interval{{at(14), at(16)}}
		}},
		{"an old route right after a change", func(h *History) {
			request(h, "probe").Sent = at(11)
			request(h, "probe").Status = 404
			dropRuns(h, "probe")
		}},
		{"a response lost in a shutdown while an endpoint was down", func(h *History) {
			q := request(h, "stopping")
			q.Status, q.Complete = 0, false
			h.EndpointFaults = []Interval{{at(19), at(21)}}
		}},
		{"comments between the events of a stream", func(h *History) {
			request(h, "stream").ResponseBody = ": still here\n\n" + completeStream("stream") + ": still here\n\n"
		}},
		{"three more sends after the third crash", func(h *History) {
			for i := range 6 {
				addLethal(h, fmt.Sprintf("l%d", i), 1+float64(i)*4)
			}
		}},
		{"three more sends after the fifth crash by a part of prompts", func(h *History) {
			for i := range 8 {
				addLethalPart(h, fmt.Sprintf("p%d", i), 1+float64(i)*4)
			}
		}},
		{"a request to an endpoint that said it is leaving, after a restart of the VM", func(h *History) {
			h.Arrivals = []standin.Arrival{{ID: "look", At: at(6), Endpoint: "a1", Notices: standin.Notices{Leaving: true}}, {ID: "late", At: at(18), Endpoint: "a1"}}
			h.VMFaults["vm1"] = []Interval{{at(9), at(10)}}
		}},
		{"two requests to an endpoint that wanted none", func(h *History) {
			for i, notice := range []string{"4", "", "", "", ""} {
				h.Arrivals = append(h.Arrivals, standin.Arrival{ID: "look", At: at(6 + float64(i)*1.5), Endpoint: "a1", Notices: standin.Notices{RetryAfter: notice}})
			}
		}},
	} {
		It("allows "+t.name, func() {
			h := validHistory()
			t.change(h)
			Expect(Check(h)).To(BeEmpty())
		})
	}
})

var _ = Describe("Schedule", func() {
	It("is the same for the same seed", func() {
		Expect(Schedule(7, time.Minute, 20)).To(Equal(Schedule(7, time.Minute, 20)))
		Expect(Schedule(7, time.Minute, 20)).NotTo(Equal(Schedule(8, time.Minute, 20)))
	})
})
