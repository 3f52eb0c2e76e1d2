package gateway

import (
	"runtime/metrics"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("quantileSince", func() {
	buckets := []float64{0, 0.001, 0.01, 0.1, 1}
	for _, t := range []struct {
		name     string
		counts   []uint64
		previous []uint64
		want     time.Duration
	}{
		{"nothing since the last sample", []uint64{5, 5, 5, 5}, []uint64{5, 5, 5, 5}, 0},
		{"nearly all waits are short", []uint64{95, 0, 0, 5}, nil, 0},
		{"one wait in five is long", []uint64{80, 0, 20, 0}, nil, 10 * time.Millisecond},
		{"long waits were before the last sample", []uint64{100, 0, 20, 0}, []uint64{0, 0, 20, 0}, 0},
		{"all waits are long", []uint64{0, 0, 0, 9}, nil, 100 * time.Millisecond},
	} {
		It("returns the wait of most goroutines: "+t.name, func() {
			h := &metrics.Float64Histogram{Counts: t.counts, Buckets: buckets}
			Expect(quantileSince(h, t.previous, waitQuantile)).To(Equal(t.want))
		})
	}
})
