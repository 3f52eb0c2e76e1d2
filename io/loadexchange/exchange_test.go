package loadexchange

import (
	"bytes"
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/endpointload"
)

// slack is what a loaded test machine may add to a wait, besides what it adds to a
// sleep.
const slack = 15 * time.Millisecond

var busy = endpointload.Load{Running: 3, PrefillTokens: 32_000, HeldTokens: 48_000}

// longestRefresh returns the longest time that a request waits over a period, without
// what the machine adds to the longest of the sleeps meanwhile.
func longestRefresh(v *testVM, period time.Duration) time.Duration {
	end := time.Now().Add(period)
	overrun := make(chan time.Duration)
	go func() {
		longest := time.Duration(0)
		for time.Now().Before(end) {
			start := time.Now()
			time.Sleep(time.Millisecond)
			longest = max(longest, time.Since(start)-time.Millisecond)
		}
		overrun <- longest
	}()
	longest := time.Duration(0)
	for ; time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		start := time.Now()
		v.exchanger.Refresh(context.Background())
		longest = max(longest, time.Since(start))
	}
	return longest - <-overrun
}

// post sends a message of one VM to another, and returns the status.
func post(from, to *testVM, path string, message []byte) int {
	r, err := http.NewRequest(http.MethodPost, "https://"+from.fleet.address(to)+path, bytes.NewReader(message))
	Expect(err).NotTo(HaveOccurred())
	response, err := from.node.RoundTrip(r)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	return response.StatusCode
}

var _ = Describe("The exchange of load", func() {
	// Guards against each VM choosing by its own sends only.
	It("shows each VM the load of the others, in its own failure domain and in the other", func() {
		f := newTestFleet(10)
		a, b := f.collectors("a"), f.collectors("b")
		a[1].load("e-1", busy)
		b[2].load("e-1", busy)
		for _, v := range []*testVM{a[0], a[2], b[0], b[1]} {
			Eventually(func() endpointload.Load { return v.seen("e-1") }, 5*time.Second, 50*time.Millisecond).Should(Equal(busy.Plus(busy)), v.name)
		}
		Eventually(func() endpointload.Load { return a[1].seen("e-1") }, 5*time.Second, 50*time.Millisecond).Should(Equal(busy), "its own load is not in it")
		a[1].load("e-2", busy)
		Eventually(func() endpointload.Load { return a[2].seen("e-1") }, 2*time.Second, 50*time.Millisecond).Should(Equal(busy), "the load that has ended is gone")
	})

	// Guards against requests that wait for a collector which is stuck.
	It("costs no request more than 20 ms when the collector doesn't answer, and turns to the next one", func() {
		f := newTestFleet(10)
		list := f.collectors("a")
		v := list[3]
		f.ready(v)
		list[0].mute.Store(true)
		Expect(longestRefresh(v, time.Second)).To(BeNumerically("<", lateAfter+slack))
		Expect(v.asked()).NotTo(Equal(list[0].name), "it is left out")
		sequence := int64(0)
		Eventually(func() endpointload.Load {
			sequence++
			list[1].exchanger.collecting.apply(endpointload.Report{VM: "other", Domain: "a", Sequence: sequence, Loads: map[string]endpointload.Load{"e-3": busy}}, time.Now())
			return v.seen("e-3")
		}, 5*time.Second, 50*time.Millisecond).Should(Equal(busy), "by way of the second collector")
		list[0].mute.Store(false)
		Eventually(func() string { return v.asked() }, 6*time.Second, 50*time.Millisecond).Should(Equal(list[0].name), "it is used again")
	})

	// Guards against a failure domain without a collector after a VM was lost.
	It("replaces a collector that dies, and one that shuts down", func() {
		f := newTestFleet(10)
		list := f.collectors("a")
		v := list[3]
		f.ready(v)
		list[0].stop()
		list[0].node.Close()
		list[4].load("e-3", busy)
		Eventually(func() endpointload.Load { return v.seen("e-3") }, 5*time.Second, 50*time.Millisecond).Should(Equal(busy))
		Expect(v.asked()).To(Equal(list[1].name))
		list[1].exchanger.Leave()
		Eventually(v.asked, 5*time.Second, 50*time.Millisecond).Should(Equal(list[2].name))
	})

	// Guards against VMs of one domain that don't see each other because some of them have
	// left the first collector out.
	It("shows the load of VMs that use different collectors", func() {
		f := newTestFleet(10)
		list := f.collectors("a")
		f.ready(list[3])
		f.ready(list[4])
		list[3].leaveOut(list[0], 5*time.Second)
		list[3].load("e-1", busy)
		list[4].load("e-2", busy)
		Eventually(func() endpointload.Load { return list[4].seen("e-1") }, 4*time.Second, 50*time.Millisecond).Should(Equal(busy))
		Eventually(func() endpointload.Load { return list[3].seen("e-2") }, 4*time.Second, 50*time.Millisecond).Should(Equal(busy))
	})

	// Guards against load that stays on the others' books when a VM ends.
	It("reports no load once when the VM shuts down", func() {
		f := newTestFleet(10)
		list := f.collectors("a")
		list[1].load("e-1", busy)
		f.ready(list[1])
		Eventually(func() endpointload.Load { return list[0].seen("e-1") }, time.Second).Should(Equal(busy))
		list[1].exchanger.Close()
		Expect(list[0].exchanger.collecting.summaryFor("", time.Now()).Entries).To(BeEmpty())
		before := list[0].requests.Load()
		list[1].exchanger.Refresh(context.Background())
		list[1].exchanger.PromptSent(100_000)
		Consistently(list[0].requests.Load, 600*time.Millisecond).Should(BeNumerically("<=", before+5), "of the others")
	})

	// Guards against traffic in fleets that are too small to need it.
	It("sends nothing with eight VMs, or without engines", func() {
		plain := newIdleFleet(10)
		plain.engines = false
		plain.start()
		for _, f := range []*testFleet{newTestFleet(8), plain} {
			for _, v := range f.vms {
				v.load("e-1", busy)
				v.exchanger.PromptSent(100_000)
				Expect(longestRefresh(v, 50*time.Millisecond)).To(BeNumerically("<", slack))
			}
			time.Sleep(2 * tickPeriod)
			for _, v := range f.vms {
				Expect(v.requests.Load()).To(BeZero())
				Expect(v.exchanger.Bytes()).To(BeZero())
				Expect(v.at.IsZero()).To(BeTrue())
			}
		}
	})

	// Guards against a view that a suspended VM takes for a new one when it wakes.
	It("does not use what it knew before it was suspended", func() {
		f := newTestFleet(10)
		list := f.collectors("a")
		v := list[3]
		list[1].load("e-1", busy)
		Eventually(func() endpointload.Load { return v.seen("e-1") }, 5*time.Second, 50*time.Millisecond).Should(Equal(busy))
		v.exchanger.mu.Lock()
		v.exchanger.view.boot -= time.Minute // as if the other clock had stood still for a minute
		v.exchanger.mu.Unlock()
		v.exchanger.dropIfSuspended()
		v.mu.Lock()
		defer v.mu.Unlock()
		Expect(v.others.Entries).To(BeEmpty())
	})
})

var _ = Describe("A collector", func() {
	var f *testFleet
	var list []*testVM
	var start time.Time
	BeforeEach(func() {
		f = newIdleFleet(4)
		list = f.collectors("a")
		start = time.Now()
	})
	report := func(sequence int64, running int) []byte {
		raw, err := encodeReport(endpointload.Report{Domain: "a", Sequence: sequence, Loads: map[string]endpointload.Load{"e-1": {Running: running}}})
		Expect(err).NotTo(HaveOccurred())
		return raw
	}
	// running is as of the start, when no report has expired.
	running := func() int { return list[0].exchanger.collecting.summaryFor("", start).Entries["e-1"].Load.Running }

	// Guards against load that is counted twice or taken back by an old message.
	It("counts each VM's newest report once when messages are lost, repeated or late", func() {
		for _, m := range []struct {
			sequence int64
			running  int
			want     int
		}{{1, 2, 2}, {1, 2, 2}, {4, 5, 5}, {3, 9, 5}, {5, 1, 1}} {
			Expect(post(list[1], list[0], ReportPath, report(m.sequence, m.running))).To(Equal(http.StatusOK))
			Expect(running()).To(Equal(m.want))
		}
	})

	// Guards against forged or broken messages that change what VMs know.
	It("refuses garbage with 400 and keeps what it has", func() {
		Expect(post(list[1], list[0], ReportPath, report(1, 2))).To(Equal(http.StatusOK))
		whole := report(2, 7)
		for _, message := range [][]byte{nil, []byte("garbage"), whole[:len(whole)-1], bytes.Repeat([]byte{0xff}, 1000), make([]byte, maxMessageBytes+1)} {
			for _, path := range []string{ReportPath, SumPath} {
				Expect(post(list[1], list[0], path, message)).To(Equal(http.StatusBadRequest))
			}
		}
		Expect(running()).To(Equal(2))
		Expect(post(list[1], list[0], ReportPath, whole)).To(Equal(http.StatusOK), "the whole message is taken")
		Expect(running()).To(Equal(7))
	})
})
