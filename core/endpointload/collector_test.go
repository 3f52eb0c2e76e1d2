package endpointload

import (
	"math"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/home"
)

var testStart = time.Unix(1_000, 0)

func after(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }

func tokens(n int64) Load { return Load{Running: 1, PrefillTokens: n, HeldTokens: n} }

// report is a report of one load at endpoint e.
func report(vm string, sequence, n int64) Report {
	return Report{VM: vm, Domain: "north", Sequence: sequence, Loads: map[string]Load{"e": tokens(n)}}
}

var _ = ginkgo.Describe("Collector", func() {
	// Guards against loads that are counted twice, kept too long, or sent back to
	// the VM that reported them.
	for _, t := range []struct {
		name string
		act  func(*Collector)
		atMs int
		want Load // what others than VM a have at e
	}{
		{"leaves out the asking VM's own load", func(c *Collector) { c.Apply(report("a", 1, 5), after(0)) }, 0, Load{}},
		{"adds up the other VMs", func(c *Collector) {
			c.Apply(report("a", 1, 5), after(0))
			c.Apply(report("b", 1, 7), after(0))
			c.Apply(report("c", 1, 9), after(0))
		}, 0, Load{2, 16, 16}},
		{"keeps the latest report only", func(c *Collector) {
			c.Apply(report("b", 1, 7), after(0))
			c.Apply(report("b", 2, 8), after(0))
		}, 0, tokens(8)},
		{"ignores late and repeated reports", func(c *Collector) {
			c.Apply(report("b", 2, 8), after(0))
			c.Apply(report("b", 1, 7), after(900))
			c.Apply(report("b", 2, 9), after(900))
		}, 1201, Load{}},
		{"keeps a report for 1.2 s", func(c *Collector) { c.Apply(report("b", 1, 7), after(0)) }, 1200, tokens(7)},
		{"takes a restarted VM's reports once the old ones have expired", func(c *Collector) {
			c.Apply(report("b", 900, 7), after(0))
			c.Apply(report("b", 1, 8), after(1300))
		}, 1300, tokens(8)},
		{"ignores reports of other domains", func(c *Collector) {
			c.Apply(Report{VM: "b", Domain: "south", Sequence: 1, Loads: map[string]Load{"e": tokens(7)}}, after(0))
		}, 0, Load{}},
		{"adds the sums of other domains", func(c *Collector) {
			c.Apply(report("b", 1, 7), after(0))
			c.ApplyDomain(DomainSum{Domain: "south", Sequence: 1, Loads: map[string]Load{"e": tokens(20)}}, after(0))
			c.ApplyDomain(DomainSum{Domain: "west", Sequence: 1, Loads: map[string]Load{"e": tokens(30)}}, after(0))
		}, 0, Load{3, 57, 57}},
		{"ignores late sums, and those of its own domain", func(c *Collector) {
			c.ApplyDomain(DomainSum{Domain: "south", Sequence: 2, Loads: map[string]Load{"e": tokens(20)}}, after(0))
			c.ApplyDomain(DomainSum{Domain: "south", Sequence: 1, Loads: map[string]Load{"e": tokens(30)}}, after(0))
			c.ApplyDomain(DomainSum{Domain: "north", Sequence: 1, Loads: map[string]Load{"e": tokens(40)}}, after(0))
		}, 0, tokens(20)},
		{"forgets a domain whose collector is silent", func(c *Collector) {
			c.ApplyDomain(DomainSum{Domain: "south", Sequence: 1, Loads: map[string]Load{"e": tokens(20)}}, after(0))
		}, 1201, Load{}},
		{"clips negative and absurd numbers", func(c *Collector) {
			c.Apply(Report{VM: "b", Domain: "north", Sequence: 1, Loads: map[string]Load{"e": {-4, -9, math.MaxInt64}}}, after(0))
			c.Apply(Report{VM: "c", Domain: "north", Sequence: 1, Loads: map[string]Load{"e": {math.MaxInt, 3, math.MinInt64}}}, after(0))
		}, 0, Load{maxRunning, 3, maxTokens}},
	} {
		ginkgo.It(t.name, func() {
			c := NewCollector("north")
			t.act(c)
			Expect(c.SummaryFor("a", after(t.atMs)).Entries["e"].Load).To(Equal(t.want))
		})
	}

	// Guards against memory that grows with what others send.
	ginkgo.It("is bounded in memory", func() {
		c := NewCollector("north")
		for i := range maxVMs + maxVMs/4 {
			name := string(rune('a'+i%26)) + time.Duration(i).String()
			c.Apply(Report{VM: name, Domain: "north", Sequence: 1, Loads: manyLoads(i), Observations: []Observation{{name + "a", 1, 1}, {name + "b", 1, 1}}}, after(0))
			c.ApplyDomain(DomainSum{Domain: "south", VM: name, Sequence: 1}, after(0))
		}
		Expect(len(c.reports)).To(BeNumerically("<=", maxVMs))
		Expect(c.entries).To(BeNumerically("<=", maxEntries))
		Expect(len(c.speeds)).To(BeNumerically("<=", maxEndpoints))
		Expect(len(c.sums)).To(BeNumerically("<=", maxSums))
		c.expire(after(1300))
		Expect(c.entries).To(BeZero())
		Expect(c.total).To(BeEmpty())
	})
})

// manyLoads returns loads at 30 endpoints of their own.
func manyLoads(n int) map[string]Load {
	loads := map[string]Load{}
	for i := range 30 {
		loads[time.Duration(30*n+i).String()] = tokens(1)
	}
	return loads
}

var _ = ginkgo.Describe("Speed", func() {
	observe := func(c *Collector, count int, actualMs float64) {
		for i := range count {
			c.Apply(Report{VM: "b", Domain: "north", Sequence: c.reports["b"].sequence + 1, Observations: []Observation{{"e", 100, actualMs}}}, after(i))
		}
	}
	speedAt := func(c *Collector) float64 { return c.SummaryFor("a", after(1000)).Entries["e"].Speed }

	// Guards against speeds that rest on too little, or follow an outlier.
	for _, t := range []struct {
		name string
		act  func(*Collector)
		want float64
	}{
		{"is that of a slow endpoint", func(c *Collector) { observe(c, 30, 143) }, 0.7},
		{"is that of a fast endpoint", func(c *Collector) { observe(c, 30, 59) }, 1.7},
		{"is not stated for a usual endpoint", func(c *Collector) { observe(c, 30, 93) }, 0},
		{"is not stated after few observations", func(c *Collector) { observe(c, 7, 50) }, 0},
		{"hardly follows an outlier", func(c *Collector) {
			observe(c, 30, 50)
			observe(c, 1, 100_000)
		}, 2},
		{"is at least a quarter", func(c *Collector) { observe(c, 60, 1e9) }, 0.25},
		{"is at most 4", func(c *Collector) { observe(c, 60, 1e-9) }, 4},
		{"ignores impossible observations", func(c *Collector) {
			observe(c, 30, 50)
			observe(c, 30, math.NaN())
			observe(c, 30, math.Inf(1))
			observe(c, 30, -5)
		}, 2},
	} {
		ginkgo.It(t.name, func() {
			c := NewCollector("north")
			t.act(c)
			Expect(speedAt(c)).To(BeNumerically("~", t.want, 0.06*t.want))
		})
	}

	ginkgo.It("rests on the observations of all domains", func() {
		north, south := NewCollector("north"), NewCollector("south")
		observe(north, 5, 50)
		south.Apply(Report{VM: "s", Domain: "south", Sequence: 1, Observations: []Observation{{"e", 100, 50}, {"e", 100, 50}, {"e", 100, 50}}}, after(0))
		Expect(speedAt(north)).To(BeZero())
		north.ApplyDomain(south.DomainSum(after(900)), after(900))
		Expect(speedAt(north)).To(BeNumerically("~", 2, 0.1))
	})

	ginkgo.It("ignores samples that are no numbers", func() {
		c := NewCollector("north")
		c.ApplyDomain(DomainSum{Domain: "south", Sequence: 1, Speeds: map[string]SpeedSample{"e": {math.NaN(), 20}, "f": {2, math.NaN()}, "g": {-3, 20}}}, after(900))
		Expect(c.SummaryFor("a", after(1000)).Entries).To(BeEmpty())
	})
})

var _ = ginkgo.Describe("CollectorsOf", func() {
	vms := []home.VM{
		{Name: "small", Domain: "north", LinkBytesPerSecond: 1},
		{Name: "large1", Domain: "north", LinkBytesPerSecond: 9},
		{Name: "unknown", Domain: "north"},
		{Name: "large2", Domain: "north", LinkBytesPerSecond: 9},
		{Name: "elsewhere", Domain: "south", LinkBytesPerSecond: 9},
	}

	// Guards against VMs that disagree about the collector.
	ginkgo.It("starts with the largest links, whatever the order of the VMs", func() {
		list := CollectorsOf("north", vms)
		Expect(list).To(HaveLen(3))
		Expect(list[2].Name).To(Equal("small"))
		reversed := []home.VM{vms[4], vms[3], vms[2], vms[1], vms[0]}
		Expect(CollectorsOf("north", reversed)).To(Equal(list))
	})

	ginkgo.It("is empty for an unknown domain", func() { Expect(CollectorsOf("", append(vms, home.VM{LinkBytesPerSecond: 9}))).To(BeEmpty()) })
})
