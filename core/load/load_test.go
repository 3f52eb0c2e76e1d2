package load

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "load")
}

// phase is a period of constant traffic.
type phase struct {
	bytesPerSecond int64
	duration       time.Duration
}

var _ = Describe("Meter", func() {
	for _, t := range []struct {
		name     string
		capacity float64
		phases   []phase
		busy     bool
		closes   bool
	}{
		{"one VM of many gets half of a failure domain's clients", 1_250_000, []phase{{900_000, 5 * time.Second}}, true, true},
		{"persistent connections stay open until the load balancer reacts", 1_250_000, []phase{{900_000, 2 * time.Second}}, true, false},
		{"the traffic has just dropped", 1_250_000, []phase{{900_000, 4 * time.Second}, {100_000, 500 * time.Millisecond}}, true, true},
		{"a burst of a quarter of a second", 1_250_000, []phase{{100_000, 5 * time.Second}, {1_000_000, 250 * time.Millisecond}}, false, false},
		{"a pause right after heavy traffic", 1_250_000, []phase{{900_000, 3 * time.Second}, {0, time.Second}}, true, true},
		{"the traffic dropped a while ago", 1_250_000, []phase{{900_000, 3 * time.Second}, {100_000, 6 * time.Second}}, false, false},
		{"a large VM under the same traffic", 25_000_000, []phase{{900_000, 5 * time.Second}}, false, false},
		{"a link without a known capacity", 0, []phase{{900_000, 5 * time.Second}}, false, false},
	} {
		It(t.name, func() {
			m := Meter{Capacity: t.capacity}
			now := time.Unix(1_000, 0)
			m.Observe(0, now)
			const step = 250 * time.Millisecond
			for _, p := range t.phases {
				for range p.duration / step {
					now = now.Add(step)
					m.Observe(int64(float64(p.bytesPerSecond)*step.Seconds()), now)
				}
			}
			Expect(m.Busy()).To(Equal(t.busy))
			Expect(m.ClosesConnections(now)).To(Equal(t.closes))
		})
	}
})

var _ = Describe("Congestion", func() {
	for _, t := range []struct {
		name             string
		timedOut, opened int
		elapsed          time.Duration
		congested        bool
	}{
		{"no connections", 0, 0, 0, false},
		{"a few unreachable endpoints among many", 5, 40, 0, false},
		{"one unreachable endpoint on a VM with little traffic", 2, 0, 0, false},
		{"many prompts at once on a small link", 12, 3, 0, true},
		{"after the window of one second", 12, 3, 1100 * time.Millisecond, false},
	} {
		It(t.name, func() {
			var c Congestion
			now := time.Unix(1_000, 0)
			for range t.timedOut {
				c.RecordAttempt(true, now)
			}
			for range t.opened {
				c.RecordAttempt(false, now)
			}
			Expect(c.Congested(now.Add(t.elapsed))).To(Equal(t.congested))
		})
	}
})
