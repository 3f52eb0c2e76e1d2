package endpoints

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("model", func() {
	for _, t := range []struct {
		name        string
		baseMs      float64
		tokensPerMs float64
	}{
		{"of slow engines", 40, 50.7},
		{"of fast engines", 31, 112},
		{"of very fast engines", 10, 600},
	} {
		It("learns the prefill rate and the base time "+t.name, func() {
			random := rand.New(rand.NewPCG(1, 1))
			m := newModel()
			for range 600 {
				tokens := 12_000 * random.Float64()
				noise := 20 * random.Float64() // queues, batches
				m.observe(tokens, t.baseMs+tokens/t.tokensPerMs+noise)
			}
			Expect(m.tokensPerMs()).To(BeNumerically("~", t.tokensPerMs, 0.2*t.tokensPerMs))
			Expect(m.baseMs()).To(BeNumerically("~", t.baseMs+10, 10))
		})
	}

	It("learns the response time of a plain service", func() {
		m := newModel()
		for range 600 {
			m.observe(0, 60)
		}
		Expect(m.runningRequestMs(6)).To(BeNumerically("~", 10, 2))
		Expect(m.runningRequestMs(64)).To(BeNumerically("<", 1.5))
	})

	It("holds usable figures before the first response", func() {
		m := newModel()
		Expect(m.tokensPerMs()).To(BeNumerically("~", assumedTokensPerMs, 1))
		Expect(m.baseMs()).To(BeNumerically("~", assumedFirstChunkMs, 1))
	})
})

// An order service has few slots and requests that occupy them for long. A VM
// spreads its own requests over the endpoints of all failure domains before it
// queues them at the one in its own.
var _ = Describe("A burst of calls to a plain service with few slots", func() {
	It("is spread over the endpoints of other failure domains", func() {
		random := rand.New(rand.NewPCG(2, 2))
		t := NewTable()
		for _, r := range []Registration{
			{ID: "near", Service: "orders", Address: "10.0.0.1:80", Domain: "north", Slots: 6},
			{ID: "far1", Service: "orders", Address: "10.0.0.2:80", Domain: "south", Slots: 6},
			{ID: "far2", Service: "orders", Address: "10.0.0.3:80", Domain: "west", Slots: 6},
		} {
			t.Put(r)
		}
		r := Request{Service: "orders"}
		now := testStart
		for range 300 { // one call at a time, of 60 ms each
			a := t.Choose(r, nil, "north", random, now).StartAttempt(r, now)
			now = now.Add(60 * time.Millisecond)
			a.FirstChunk(now)
			a.End(Succeeded, now)
		}
		running := map[string]int{}
		for range 12 {
			e := t.Choose(r, nil, "north", random, now)
			e.StartAttempt(r, now)
			running[e.ID]++
		}
		for id, n := range running {
			Expect(n).To(BeNumerically("<=", 5), id)
		}
	})
})
