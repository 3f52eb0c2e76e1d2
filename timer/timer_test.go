package timer

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

func TestTimer(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "timer")
}

var _ = ginkgo.Describe("Fake", func() {
	start := time.Unix(100, 0)
	for _, c := range []struct {
		name    string
		advance []time.Duration
		ticks   int // received from a ticker with a period of 20 ms, read once after each advance
	}{
		{"no tick before the period", []time.Duration{19 * time.Millisecond}, 0},
		{"one tick at the period", []time.Duration{20 * time.Millisecond}, 1},
		{"missed ticks are dropped", []time.Duration{time.Second}, 1},
		{"one tick per period", []time.Duration{20 * time.Millisecond, 20 * time.Millisecond, 10 * time.Millisecond}, 2},
	} {
		ginkgo.It(c.name, func() {
			f := NewFake(start)
			ticker := f.NewTicker(20 * time.Millisecond)
			received := 0
			for _, d := range c.advance {
				f.Advance(d)
				select {
				case <-ticker.C:
					received++
				default:
				}
			}
			gomega.Expect(received).To(gomega.Equal(c.ticks))
		})
	}

	ginkgo.It("sends no tick after Stop", func() {
		f := NewFake(start)
		ticker := f.NewTicker(time.Millisecond)
		ticker.Stop()
		f.Advance(time.Second)
		gomega.Expect(ticker.C).NotTo(gomega.Receive())
		gomega.Expect(f.Now()).To(gomega.Equal(start.Add(time.Second)))
	})
})
