package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Retry-After", func() {
	It("brings clients that were refused together back spread over time", func() {
		Expect(spreadRetryAfter(time.Second, 0)).To(Equal(750 * time.Millisecond))
		Expect(spreadRetryAfter(time.Second, 0.5)).To(Equal(time.Second))
		Expect(spreadRetryAfter(time.Second, 0.999)).To(BeNumerically("<", 1250*time.Millisecond))
	})

	now := time.Unix(1_000, 0)
	for _, t := range []struct {
		name string
		at   time.Time
		want time.Duration
	}{
		{"unknown", time.Time{}, budgetShort.retryAfter},
		{"very soon", now.Add(time.Millisecond), minBudgetRetryAfter},
		{"in a while", now.Add(2 * time.Second), 2 * time.Second},
	} {
		It("says when budget is there: "+t.name, func() {
			Expect(shortUntil(t.at, now).retryAfter).To(Equal(t.want))
			Expect(shortUntil(t.at, now).reason).To(Equal(budgetShort.reason))
		})
	}
})
