package load

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Processor", func() {
	ms := func(values ...int) []time.Duration {
		var list []time.Duration
		for _, v := range values {
			list = append(list, time.Duration(v)*time.Millisecond)
		}
		return list
	}
	for _, t := range []struct {
		name          string
		waits         []time.Duration
		busy          bool
		refuses       bool
		refusesUrgent bool
	}{
		{"an idle VM", ms(0, 1, 0), false, false, false},
		{"a VM that was suspended", ms(0, 4000, 1), false, false, false},
		{"work waits a little", ms(60, 70), true, false, false},
		{"work waits", ms(120, 150), true, true, false},
		{"work waits for long", ms(300, 400), true, true, true},
		{"the wait is over", ms(300, 400, 2), false, false, false},
		{"the wait becomes shorter", ms(300, 400, 30), true, false, false},
	} {
		It("decides by the waits of the VM's work: "+t.name, func() {
			var p Processor
			for _, l := range t.waits {
				p.Observe(l)
			}
			Expect(p.Busy()).To(Equal(t.busy))
			Expect(p.Refuses(false)).To(Equal(t.refuses))
			Expect(p.Refuses(true)).To(Equal(t.refusesUrgent))
		})
	}
})

// crowdedProcessor simulates a small VM that gets all requests of one large
// account until the balancer hears that it is busy. Its processor serves requests
// in the order of their arrival.
type crowdedProcessor struct {
	now      time.Duration
	free     time.Duration // when the work that has arrived is done
	observed time.Duration
	p        Processor
}

// Simulated costs. A request costs far more than a refusal.
const (
	requestCost  = 2200 * time.Microsecond // 0.42 ms on 0.192 of a core
	refusalCost  = 500 * time.Microsecond
	samplePeriod = 50 * time.Millisecond
)

// serve returns how long requests wait that arrive at a rate for a time, and the
// share of them that is refused.
func (c *crowdedProcessor) serve(perSecond int, duration time.Duration, admission bool) (longest time.Duration, refusedShare float64) {
	total, refused := 0, 0
	for end := c.now + duration; c.now < end; c.now += time.Second / time.Duration(perSecond) {
		for c.observed+samplePeriod <= c.now {
			c.observed += samplePeriod
			c.p.Observe(max(c.free-c.observed, 0))
		}
		wait := max(c.free-c.now, 0)
		c.free = max(c.free, c.now)
		total++
		if admission && c.p.Refuses(false) {
			refused++
			c.free += refusalCost
			continue
		}
		longest = max(longest, wait)
		c.free += requestCost
	}
	return longest, float64(refused) / float64(total)
}

var _ = Describe("A small VM with the requests of one large account", func() {
	const objective = 500 * time.Millisecond

	It("makes requests wait for seconds if it accepts all of them", func() {
		var c crowdedProcessor
		longest, _ := c.serve(1_000, 2500*time.Millisecond, false)
		Expect(longest).To(BeNumerically(">", 2*time.Second))
	})

	It("refuses what it cannot serve in time, and serves the rest in time", func() {
		var c crowdedProcessor
		longest, refused := c.serve(1_000, 2500*time.Millisecond, true)
		Expect(longest).To(BeNumerically("<", objective))
		Expect(refused).To(BeNumerically("<", 0.75), "it serves most of what it can")
	})

	It("refuses nothing that it can serve", func() {
		var c crowdedProcessor
		_, refused := c.serve(400, 10*time.Second, true)
		Expect(refused).To(BeZero())
	})
})
