package endpoints

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/endpointload"
)

const usualTokensPerMs, usualBaseMs = 55.0, 30.0

func at(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }

// knownTable returns a table of n endpoints of 8 slots that has learnt its
// service, and knows at the start what others have.
func knownTable(n int, others map[string]endpointload.Entry) *Table {
	t := tableOf(n)
	p := t.profiles["models"]
	for i := range 400 {
		tokens := float64(i%20) * 500
		p.observeFirstChunk(tokens, usualBaseMs+tokens/usualTokensPerMs)
	}
	for range 200 {
		p.observeEnd(time.Second)
	}
	t.SetOthers(endpointload.Summary{Entries: others}, testStart)
	return t
}

// addShortArrivals adds a number of requests with an aim of 400 ms a second.
func addShortArrivals(t *Table, perSecond int) {
	for i := range 20 * perSecond {
		t.profiles["models"].arrivals.add(400*time.Millisecond, testStart.Add(time.Duration(i-20*perSecond)*time.Second/time.Duration(perSecond)))
	}
}

func ahead(tokens int64) endpointload.Entry {
	return endpointload.Entry{Load: endpointload.Load{Running: 1, PrefillTokens: tokens}}
}

func running(n int) endpointload.Entry {
	return endpointload.Entry{Load: endpointload.Load{Running: n}}
}

func holding(tokens int64) endpointload.Entry {
	return endpointload.Entry{Load: endpointload.Load{Running: 1, HeldTokens: tokens}}
}

// shares returns the share of each endpoint in 400 choices.
func shares(t *Table, r Request, now time.Time) map[string]float64 {
	random := rand.New(rand.NewPCG(5, 5))
	counts := map[string]float64{}
	for range 400 {
		counts[t.Choose(r, nil, "north", random, now).ID]++
	}
	for id := range counts {
		counts[id] /= 400
	}
	return counts
}

var _ = Describe("Choice by the load of all VMs", func() {
	long := Request{Service: "models", PromptTokens: 22_000, Target: time.Second}
	short := Request{Service: "models", PromptTokens: 800, Target: 400 * time.Millisecond}
	plain := Request{Service: "models", Target: 400 * time.Millisecond}
	type entries = map[string]endpointload.Entry

	// Guards against long prompts before short ones, and requests to endpoints
	// that others have filled.
	for _, c := range []struct {
		name     string
		others   entries
		r        Request
		min, max float64 // share of e0 among four endpoints
	}{
		{"a long prompt goes behind a backlog that is within its aim", entries{"e0": ahead(13_000)}, long, 1, 1},
		{"a long prompt avoids a backlog beyond its aim", entries{"e0": ahead(50_000)}, long, 0, 0},
		{"a short prompt avoids a backlog", entries{"e0": ahead(13_000)}, short, 0, 0},
		{"idle endpoints get equal shares", nil, short, 0.2, 0.3},
		{"a slow endpoint gets no long prompt while others are idle", entries{"e0": {Speed: 0.5}}, long, 0, 0},
		{"a call avoids an endpoint without a free slot", entries{"e0": running(8), "e1": running(7), "e2": running(7), "e3": running(7)}, plain, 0, 0},
		{"a call goes to the endpoint with fewer calls", entries{"e0": running(3), "e1": running(6), "e2": running(6), "e3": running(6)}, plain, 1, 1},
		{
			"a request avoids an endpoint without room in memory",
			entries{"e0": holding(80_000), "e1": ahead(40_000), "e2": ahead(40_000), "e3": ahead(40_000)},
			Request{Service: "models", PromptTokens: 5_000, HeldTokens: 6_000, MemoryTokens: 100_000},
			0, 0,
		},
		{
			"a request goes to the endpoint with the most room if none has enough",
			entries{"e0": holding(84_000), "e1": holding(90_000), "e2": holding(91_000), "e3": holding(92_000)},
			Request{Service: "models", PromptTokens: 5_000, HeldTokens: 6_000, MemoryTokens: 100_000},
			1, 1,
		},
	} {
		It(c.name, func() {
			t := knownTable(4, c.others)
			addShortArrivals(t, 13)
			Expect(shares(t, c.r, testStart)["e0"]).To(And(BeNumerically(">=", c.min), BeNumerically("<=", c.max)))
		})
	}

	It("gives a slow endpoint less of a burst", func() {
		t := knownTable(3, entries{"e0": {Speed: 0.7}, "e1": {Speed: 0.7}, "e2": {Speed: 1.7}})
		random := rand.New(rand.NewPCG(5, 5))
		for range 12 {
			t.StartAttempt(Request{Service: "models", PromptTokens: 4_000, Target: time.Second}, nil, "north", random, testStart)
		}
		Expect(t.Get("e2").running).To(BeNumerically(">=", t.Get("e0").running+t.Get("e1").running-1))
		Expect(t.Get("e0").running).To(BeNumerically(">", 0))
	})

	It("counts the requests of the whole fleet with shorter aims", func() {
		t := knownTable(4, nil)
		addShortArrivals(t, 1)
		s, p := Estimate{ReadMs: 400}, t.profiles["models"]
		own := p.costToOthers(s, time.Second, 4, t.fleet.share, testStart)
		t.SetFleetShare(0.1)
		Expect(p.costToOthers(s, time.Second, 4, t.fleet.share, testStart)).To(BeNumerically("~", 10*own, 0.01*own))
		Expect(own).To(BeNumerically("~", 0.25*0.4*0.5, 0.01), "a quarter of a request a second, for 0.4 s, delayed by half an aim")
		Expect(p.costToOthers(s, 400*time.Millisecond, 4, 1, testStart)).To(BeZero(), "no shorter aim")
	})

	It("prefers the own failure domain while estimates are close", func() {
		t := knownTable(2, nil)
		far := t.Get("e1").Registration
		far.Domain = "south"
		t.Put(far)
		Expect(shares(t, plain, testStart)["e0"]).To(Equal(1.0))
	})

	It("waits for a slot by the learnt duration of requests", func() {
		t := knownTable(1, entries{"e0": running(11)})
		Expect(t.Get("e0").slotWaitMs(testStart)).To(BeNumerically("~", (11-8*50.0/1000-8+1)*1000/8, 10))
	})
})

var _ = Describe("Knowledge of other VMs' load", func() {
	// Guards against choices by a summary of a collector that has failed.
	It("counts half at 500 ms and is not used from 1 s on", func() {
		t := knownTable(2, map[string]endpointload.Entry{"e0": ahead(1_000_000)})
		e := t.Get("e0")
		read := 550 * usualTokensPerMs
		Expect(e.tokensAhead(at(500))).To(BeNumerically("~", 500_000-read, 0.05*read))
		r := Request{Service: "models", PromptTokens: 800}
		Expect(shares(t, r, at(999))["e0"]).To(BeZero())
		Expect(shares(t, r, at(1000))).To(Equal(shares(tableOf(2), r, at(1000))))
	})

	It("is not replaced by an older summary", func() {
		t := knownTable(2, map[string]endpointload.Entry{"e0": ahead(9_000)})
		t.SetOthers(endpointload.Summary{}, at(-1))
		Expect(t.Get("e0").others.PrefillTokens).To(Equal(int64(9_000)))
	})

	It("ignores impossible numbers and unknown endpoints", func() {
		t := knownTable(2, map[string]endpointload.Entry{"e0": {Load: endpointload.Load{Running: -3, PrefillTokens: -1}, Speed: 1e9}, "gone": ahead(5)})
		Expect(t.Get("e0").others).To(Equal(endpointload.Load{}))
		Expect(t.Get("e0").speed).To(Equal(1.0))
		Expect(t.Get("gone")).To(BeNil())
	})

	// Guards against VMs that all choose what looked idle to all of them: 60
	// endpoints, one of them idle, 88 VMs that send one request each.
	for _, ageMs := range []int{0, 100, 200} {
		It(fmt.Sprintf("bounds how many VMs choose the same endpoint by a summary that is %d ms old", ageMs), func() {
			others := map[string]endpointload.Entry{}
			for _, id := range tableOf(60).IDs() {
				others[id] = ahead(30_000)
			}
			delete(others, "e7")
			random := rand.New(rand.NewPCG(9, 9))
			chosen, most := map[string]int{}, 0
			for range 88 {
				chosen[knownTable(60, others).Choose(Request{Service: "models", PromptTokens: 800, Target: 400 * time.Millisecond}, nil, "north", random, at(ageMs)).ID]++
			}
			for _, n := range chosen {
				most = max(most, n)
			}
			Expect(most).To(BeNumerically("<=", 88/3))
			Expect(len(chosen)).To(BeNumerically(">", 30))
		})
	}

	// Guards against VMs that follow the counts of calls that ended long ago.
	for _, c := range []struct {
		n, slots, ageMs, want float64
	}{
		{6, 6, 0, 6},
		{6, 6, 60, 2.2},
		{12, 6, 30, 9},
		{12, 6, 60, 6},
		{12, 6, 120, 2.2},
		{6, 0, 60, 2.2},
	} {
		It(fmt.Sprintf("expects %v of %v calls of 60 ms at %v slots after %v ms", c.want, c.n, c.slots, c.ageMs), func() {
			Expect(remainingRequests(c.n, c.slots, c.ageMs, 60)).To(BeNumerically("~", c.want, 0.05))
		})
	}

	It("bounds how many VMs send a short call to the same endpoint", func() {
		others := map[string]endpointload.Entry{}
		for _, id := range tableOf(9).IDs() {
			others[id] = running(3)
		}
		delete(others, "e7")
		random := rand.New(rand.NewPCG(9, 9))
		chosen := map[string]int{}
		for range 88 {
			t := knownTable(9, others)
			for range 200 {
				t.profiles["models"].observeEnd(60 * time.Millisecond)
			}
			chosen[t.Choose(Request{Service: "models", Target: 400 * time.Millisecond}, nil, "north", random, at(150)).ID]++
		}
		Expect(chosen["e7"]).To(BeNumerically("<=", 88/3))
	})

	It("adds up what this VM has in flight", func() {
		t := knownTable(2, nil)
		a := t.Get("e0").StartAttempt(Request{Service: "models", PromptTokens: 700, HeldTokens: 900}, testStart)
		Expect(t.OwnLoads()).To(Equal(map[string]endpointload.Load{"e0": {Running: 1, PrefillTokens: 700, HeldTokens: 900}}))
		a.FirstChunk(at(50))
		Expect(t.OwnLoads()["e0"]).To(Equal(endpointload.Load{Running: 1, HeldTokens: 900}))
		a.End(Succeeded, at(90))
		Expect(t.OwnLoads()).To(BeEmpty())
	})

	// Guards against speeds learnt from the wait behind others' prompts.
	It("yields observations of the speed, which are taken once", func() {
		t := knownTable(2, map[string]endpointload.Entry{"e0": ahead(13_750)})
		e := t.Get("e0")
		a := e.StartAttempt(Request{Service: "models", PromptTokens: 5_500}, testStart)
		Expect(a.PredictedMs).To(BeNumerically("~", usualBaseMs+200+100, 5))
		a.FirstChunk(at(630))
		Expect(a.ActualMs).To(Equal(630.0))
		list := t.TakeObservations()
		Expect(list).To(HaveLen(1))
		Expect(list[0].ActualMs / list[0].PredictedMs).To(BeNumerically("~", 2, 0.05))
		Expect(t.TakeObservations()).To(BeEmpty())
		for range 100 {
			a := e.StartAttempt(Request{Service: "models", PromptTokens: 5_500}, testStart)
			a.FirstChunk(at(100))
			a.End(Succeeded, at(100))
		}
		Expect(t.TakeObservations()).To(HaveLen(maxObservations))
	})
})
