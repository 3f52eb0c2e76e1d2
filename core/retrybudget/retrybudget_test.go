package retrybudget

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Budget", func() {
	limit := Limit{Ratio: 0.2, Extra: 56, Window: 10 * time.Second}

	for _, c := range []struct {
		name     string
		vms      int
		requests int // received by each VM
	}{
		{"a burst of failures without much traffic", 8, 3},
		{"the same burst at all VMs", 8, 200},
		{"many small VMs", 83, 10},
	} {
		It("keeps retries within the fleet's limit with "+c.name, func() {
			now := time.Unix(1_000, 0)
			taken := 0
			for range c.vms {
				b := New(limit)
				for range c.requests {
					b.CountRequest("models", now)
				}
				for b.TakeRetry("models", c.vms, now) {
					taken++
				}
			}
			allowed := limit.Ratio*float64(c.vms*c.requests) + limit.Extra
			Expect(float64(taken)).To(BeNumerically("<=", allowed))
		})
	}

	It("discards counts older than the window, also after a long idle time", func() {
		b := New(limit)
		now := time.Unix(1_000, 0)
		for b.TakeRetry("models", 1, now) {
		}
		Expect(b.TakeRetry("models", 1, now.Add(5*time.Second))).To(BeFalse())
		Expect(b.TakeRetry("models", 1, now.Add(12*time.Second))).To(BeTrue())
		Expect(b.TakeRetry("models", 1, now.Add(time.Hour))).To(BeTrue())
	})
})
