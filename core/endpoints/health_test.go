package endpoints

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// share plays requests, one each 20 ms, and returns the share of the second
// half that endpoint e0 got. outcome says how a send to it ends.
func share(outcome Outcome, failing float64, slow time.Duration) float64 {
	random := rand.New(rand.NewPCG(3, 3))
	t := fleet(6)
	now := start
	sent, bad := 0, 0
	for i := range 600 {
		now = now.Add(20 * time.Millisecond)
		s := t.Choose(Work{Service: "models", Prompt: 1_000}, nil, "north", random, now).Begin(Work{Service: "models", Prompt: 1_000}, now)
		end, took := Answered, 40*time.Millisecond
		if s.Endpoint.ID == "e0" {
			took += slow
			if random.Float64() < failing {
				end = outcome
			}
		}
		s.First(now.Add(took))
		s.End(end, now.Add(took))
		if i >= 300 {
			sent++
			if s.Endpoint.ID == "e0" {
				bad++
			}
		}
	}
	return float64(bad) / float64(sent)
}

var _ = Describe("passive health", func() {
	for _, c := range []struct {
		name    string
		outcome Outcome
		failing float64
		slow    time.Duration
		most    float64
	}{
		{"answers with errors while others do not", FailedAnswer, 0.6, 0, 0.08},
		{"breaks off part of its answers", Failed, 0.4, 0, 0.08},
		{"is eight times as slow", Answered, 0, 300 * time.Millisecond, 0.08},
	} {
		It("sends little to an endpoint that "+c.name, func() {
			Expect(share(c.outcome, c.failing, c.slow)).To(BeNumerically("<", c.most))
		})
	}

	It("keeps using an endpoint whose errors are the service's own", func() {
		Expect(share(FailedAnswer, 0.14, 0)).To(BeNumerically(">", 0.1))
	})
})
