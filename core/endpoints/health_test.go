package endpoints

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// shareOfFaulty simulates one request every 20 ms and returns the share of the
// second half that endpoint e0 gets. An attempt at e0 ends with outcome at the
// rate failing, and its first chunk takes longer by slow.
func shareOfFaulty(outcome Outcome, failing float64, slow time.Duration) float64 {
	random := rand.New(rand.NewPCG(3, 3))
	t := tableOf(6)
	now := testStart
	total, faulty := 0, 0
	for i := range 600 {
		now = now.Add(20 * time.Millisecond)
		attempt := t.Choose(Request{Service: "models", PromptTokens: 1_000}, nil, "north", random, now).StartAttempt(Request{Service: "models", PromptTokens: 1_000}, now)
		end, took := Succeeded, 40*time.Millisecond
		if attempt.Endpoint.ID == "e0" {
			took += slow
			if random.Float64() < failing {
				end = outcome
			}
		}
		attempt.FirstChunk(now.Add(took))
		attempt.End(end, now.Add(took))
		if i >= 300 {
			total++
			if attempt.Endpoint.ID == "e0" {
				faulty++
			}
		}
	}
	return float64(faulty) / float64(total)
}

var _ = Describe("passive health", func() {
	for _, c := range []struct {
		name     string
		outcome  Outcome
		failing  float64
		slow     time.Duration
		maxShare float64
	}{
		{"responds with server errors while others do not", ServerError, 0.6, 0, 0.08},
		{"truncates some of its responses", Failed, 0.4, 0, 0.08},
		{"is eight times as slow as others", Succeeded, 0, 300 * time.Millisecond, 0.08},
	} {
		It("sends little to an endpoint that "+c.name, func() {
			Expect(shareOfFaulty(c.outcome, c.failing, c.slow)).To(BeNumerically("<", c.maxShare))
		})
	}

	It("keeps using an endpoint that fails no more than is usual for a service", func() {
		Expect(shareOfFaulty(ServerError, 0.14, 0)).To(BeNumerically(">", 0.1))
	})
})
