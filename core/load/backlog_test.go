package load

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Backlog", func() {
	for _, t := range []struct {
		name     string
		capacity float64
		prompts  int // of 50 kB, sent at once
		elapsed  time.Duration
		delay    time.Duration
	}{
		{"an idle link", 1_250_000, 0, 0, 0},
		{"many prompts at once on a small link", 1_250_000, 85, 0, 3400 * time.Millisecond},
		{"a part of them has left", 1_250_000, 85, time.Second, 2400 * time.Millisecond},
		{"all of them have left", 1_250_000, 85, 5 * time.Second, 0},
		{"the same prompts on a large link", 25_000_000, 85, 0, 170 * time.Millisecond},
		{"a link without a known capacity", 0, 85, 0, 0},
	} {
		It(t.name, func() {
			b := Backlog{Capacity: t.capacity}
			now := time.Unix(1_000, 0)
			for range t.prompts {
				b.Add(50_000, now)
			}
			Expect(b.Delay(now.Add(t.elapsed))).To(BeNumerically("~", t.delay, time.Millisecond))
		})
	}
})
