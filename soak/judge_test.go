package soak

import (
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

var begun = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return begun.Add(time.Duration(seconds * float64(time.Second)))
}

// sound returns a history in which every promise held.
func sound() *History {
	h := &History{Disturbed: map[string][]Span{}, Calm: at(30), Over: at(40)}
	h.Changes = []Change{
		{At: at(0), Document: standin.Document{Version: 3, Markers: []int64{3}, Accounts: []standin.Account{{Name: "acme", Prepaid: 1_000}}}},
		{At: at(10), Document: standin.Document{Version: 6, Markers: []int64{3, 6}, Accounts: []standin.Account{{Name: "acme", Prepaid: 1_000}}}},
	}
	h.Departures = []Departure{{Endpoint: "a1", At: at(15)}}
	h.Stops = []Stop{{VM: "vm1", At: at(20)}}
	add(h, "order", standin.OrderPrefix, 5, "a1")
	add(h, "look", standin.LookPrefix, 6, "a1")
	add(h, "stream", standin.StreamPrefix, 7, "m1")
	add(h, "probe", standin.MarkerPrefix(6), 14, "a2")
	add(h, "late", standin.LookPrefix, 18, "a2")
	add(h, "stopping", standin.OrderPrefix, 20.1, "a2")
	add(h, "last", standin.LookPrefix, 31, "a2")
	return h
}

// add adds a request that was answered as it should be.
func add(h *History, id, target string, sent float64, endpoint string) {
	a := Attempt{ID: id, VM: "vm1", Target: target, Account: "acme", Sent: at(sent), Ended: at(sent + 0.1), Status: 200, AnswerID: id, Seal: endpoint, Whole: true}
	a.Text = standin.Body(endpoint, id)
	if streams(target) {
		a.Prompt, a.Output, a.Text = 100, 25, wholeStream(id)
	}
	h.Attempts = append(h.Attempts, a)
	h.Runs = append(h.Runs, standin.Run{ID: id, Target: target, Endpoint: endpoint, At: at(sent + 0.05), Ended: at(sent + 0.1), Account: "acme"})
}

func attempt(h *History, id string) *Attempt { return newIndex(h).attempts[id] }

func drop(h *History, id string) {
	var kept []standin.Run
	for _, r := range h.Runs {
		if r.ID != id {
			kept = append(kept, r)
		}
	}
	h.Runs = kept
}

var _ = Describe("Judge", func() {
	It("finds nothing in a sound history", func() { Expect(Judge(sound())).To(BeEmpty()) })

	for _, t := range []struct {
		name, promise string
		harm          func(*History)
	}{
		{"an order that ran twice", "at most once", func(h *History) { h.Runs = append(h.Runs, h.Runs[0]) }},
		{"a refusal of what ran", "true refusal", func(h *History) { a := attempt(h, "order"); a.Status, a.Seal = 503, "" }},
		{"another request's answer", "own answer", func(h *History) { attempt(h, "look").AnswerID = "order" }},
		{"an answer of an endpoint that did not run it", "own answer", func(h *History) { drop(h, "look") }},
		{"half of an answer that looks whole", "whole answer", func(h *History) { attempt(h, "look").Text = "answer" }},
		{"a stream that ends early as complete", "stream", func(h *History) { attempt(h, "stream").Text = standin.Event("stream", 1) }},
		{"a stream with a piece missing", "stream", func(h *History) { a := attempt(h, "stream"); a.Text, a.Whole = standin.Event("stream", 2), false }},
		{"a run that nobody sent", "asked for", func(h *History) { h.Runs[0].ID = "smuggled" }},
		{"a changed body", "asked for", func(h *History) { h.Runs[1].Body = "other" }},
		{"a key that was passed on", "account", func(h *History) { h.Runs[1].Key = "k" }},
		{"a budget that was exceeded", "prepaid", func(h *History) { attempt(h, "stream").Prompt = 2_000 }},
		{"work for an endpoint that left", "drain", func(h *History) { h.Runs[4].Endpoint, attempt(h, "late").Seal = "a1", "a1" }},
		{"a new route that is not served", "configuration", func(h *History) { a := attempt(h, "probe"); a.Status = 404; drop(h, "probe") }},
		{"a route that is refused after it was served", "configuration", func(h *History) {
			add(h, "again", standin.MarkerPrefix(6), 16, "a2")
			attempt(h, "again").Status = 404
			drop(h, "again")
		}},
		{"runs that go on after their callers have left", "cancel", func(h *History) {
			for _, id := range []string{"l1", "l2", "l3", "l4"} {
				add(h, id, standin.LookPrefix, 12, "a2")
				a := attempt(h, id)
				a.Left, a.Status = a.Ended, 0
				h.Runs[len(h.Runs)-1].Ended = at(14)
			}
		}},
		{"a request that a planned stop cut off", "planned stop", func(h *History) { a := attempt(h, "stopping"); a.Status, a.Whole = 0, false }},
		{"too many repeats", "retry budget", func(h *History) {
			for range 60 {
				h.Runs = append(h.Runs, h.Runs[1])
			}
		}},
		{"a process that ended", "running", func(h *History) { h.Ends = []End{{VM: "vm1"}} }},
		{"nothing served after the faults", "recovery", func(h *History) { a := attempt(h, "last"); a.Status = 503; drop(h, "last"); a.Seal = "" }},
	} {
		It("finds "+t.name, func() {
			h := sound()
			t.harm(h)
			found := Judge(h)
			Expect(found).NotTo(BeEmpty())
			promises := []string{}
			for _, v := range found {
				promises = append(promises, v.Promise)
			}
			Expect(promises).To(ContainElement(t.promise))
		})
	}

	for _, t := range []struct {
		name  string
		allow func(*History)
	}{
		{"work for a leaving endpoint from a VM that was cut off", func(h *History) {
			a := attempt(h, "late")
			h.Runs[4].Endpoint, a.Seal, a.Text = "a1", "a1", standin.Body("a1", "late")
			h.Disturbed["vm1"] = []Span{{at(14), at(16)}}
		}},
		{"an old route right after a change", func(h *History) {
			attempt(h, "probe").Sent = at(11)
			attempt(h, "probe").Status = 404
			drop(h, "probe")
		}},
		{"a stop beside a dead endpoint", func(h *History) {
			a := attempt(h, "stopping")
			a.Status, a.Whole = 0, false
			h.Endpoints = []Span{{at(19), at(21)}}
		}},
	} {
		It("allows "+t.name, func() {
			h := sound()
			t.allow(h)
			Expect(Judge(h)).To(BeEmpty())
		})
	}
})

var _ = Describe("Schedule", func() {
	It("is the same for the same seed", func() {
		Expect(Schedule(7, time.Minute, 20)).To(Equal(Schedule(7, time.Minute, 20)))
		Expect(Schedule(7, time.Minute, 20)).NotTo(Equal(Schedule(8, time.Minute, 20)))
	})
})
