package quarantine

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Parts of prompts in the tests.
const (
	deadly = Feature("part:deadly")
	fatal  = Feature("part:fatal")
	common = Feature("part:common")
	letter = Feature("part:letter")
)

// manyParts is more than the parts of a prompt that fit into the headers of a request.
const manyParts = 1300

// allowed returns the number of VMs that allow requests with the given features.
func (f *testFleet) allowed(features ...Feature) int {
	n := 0
	for _, t := range f.vms {
		if t.Check(features, f.now).Allowed {
			n++
		}
	}
	return n
}

var _ = Describe("A quarantine of a part of prompts", func() {
	// Guards against crash after crash by requests that share nothing but a part.
	It("follows two crashes that two VMs have seen, whatever else the requests hold", func() {
		f := newTestFleet(3)
		f.crash(f.vms[0], "e1", 1, "request:1", common, deadly)
		f.crash(f.vms[1], "e2", 1, "request:2", deadly, "part:other")
		f.sync()
		Expect(f.allowed(deadly)).To(Equal(3), "before other VMs had the time to clear it")
		f.settle()
		Expect(f.allowed(deadly)).To(Equal(0))
		Expect(f.allowed(common)).To(Equal(3))
		Expect(f.allowed("part:other")).To(Equal(3))
	})

	// Guards against the refusal of all requests of an account, whose prompts begin alike.
	It("spares the common first part, which others have begun to answer since", func() {
		f := newTestFleet(8)
		for i := range 4 {
			f.crash(f.vms[i], fmt.Sprintf("e%d", i), 1, Feature(fmt.Sprintf("request:%d", i)), common, deadly)
			f.advance(20 * time.Millisecond)
			f.sound(f.vms[7], "id", common)
		}
		f.settle()
		Expect(f.allowed(common)).To(Equal(8))
		Expect(f.allowed(common, deadly)).To(Equal(0))
	})

	It("spares what a VM knew to be sound before it learned of the crashes", func() {
		f := newTestFleet(2)
		f.crash(f.vms[0], "e1", 1, common, deadly)
		f.crash(f.vms[0], "e2", 1, common, deadly)
		f.advance(10 * time.Millisecond)
		f.sound(f.vms[1], "id", common)
		f.settle()
		Expect(f.allowed(common)).To(Equal(2))
		Expect(f.allowed(deadly)).To(Equal(0))
	})

	It("spares sound requests that ran beside two crashes which another part explains", func() {
		f := newTestFleet(1)
		t := f.vms[0]
		f.crash(t, "e1", 1, deadly)
		for i := range 2 {
			f.crash(t, fmt.Sprintf("b%d", i), 1, deadly, letter)
		}
		f.settle()
		Expect(f.allowed(letter)).To(Equal(1))
		Expect(f.allowed(deadly)).To(Equal(0))
	})

	// Guards against the refusal of all requests with a common first part, because at first
	// only deadly ones came.
	It("tries at once what shares some of the parts that only crashed together, until it is known which is to blame", func() {
		for _, before := range []int{2, 3, 5, 20} {
			f := newTestFleet(3)
			for i := range before {
				f.crash(f.vms[i%3], fmt.Sprintf("e%d", i), 1, common, deadly)
			}
			f.settle()
			for i := range 100 {
				if f.runs(f.vms[0], common, deadly) {
					f.advance(10 * time.Millisecond)
					f.crash(f.vms[0], fmt.Sprintf("t%d", i), 1, common, deadly)
				}
				f.settle()
				f.advance(10 * time.Second)
			}
			Expect(f.allowed(common)).To(BeZero())
			Expect(f.runs(f.vms[1], common, letter)).To(BeTrue(), "as a trial")
			Expect(f.runs(f.vms[2], common, letter)).To(BeFalse(), "while another one runs")
			f.advance(10 * time.Millisecond)
			f.sound(f.vms[1], "id", common, letter)
			f.settle()
			Expect(f.allowed(common, letter)).To(Equal(3))
			Expect(f.allowed(deadly)).To(BeZero())
		}
	})

	It("blames the part that crashes an endpoint apart from the other", func() {
		f := newTestFleet(2)
		f.crash(f.vms[0], "e1", 1, common, deadly)
		f.crash(f.vms[1], "e2", 1, common, deadly)
		f.settle()
		Expect(f.runs(f.vms[0], deadly)).To(BeTrue(), "as a trial")
		f.advance(10 * time.Millisecond)
		f.crash(f.vms[0], "t", 1, deadly)
		f.settle()
		Expect(f.allowed(common)).To(Equal(2))
		Expect(f.allowed(deadly)).To(BeZero())
	})

	// Guards against a deadly part that stays in use because a common one, whose long streams
	// were cut off in still more crashes, is blamed in its place.
	It("blames the part whose requests had just begun, rather than one whose requests were caught far on in more crashes", func() {
		f := newTestFleet(2)
		far := Run{Features: []Feature{common}, Reached: Progress{Bytes: 8000, Ms: 7000}}
		for i := range 5 {
			endpoint := fmt.Sprintf("e%d", i)
			f.vms[0].RecordCrash(far, Incarnation{endpoint, 1}, f.now)
			if i < 3 {
				f.crash(f.vms[1], endpoint, 1, common, deadly)
			}
			f.advance(300 * time.Millisecond)
		}
		f.settle()
		f.advance(maxPassingTime)
		Expect(f.allowed(deadly)).To(BeZero())
		Expect(f.allowed(common)).To(Equal(2))
	})

	It("blames the request rather than its parts, if no other request with them has crashed an endpoint", func() {
		f := newTestFleet(1)
		f.crash(f.vms[0], "e1", 1, lethal, letter)
		f.crash(f.vms[0], "e2", 1, lethal, letter)
		f.settle()
		Expect(f.allowed(lethal)).To(BeZero())
		Expect(f.allowed(letter)).To(Equal(1))
	})

	// Guards against a part that stays unknown because each request with it is sent twice,
	// and is blamed itself.
	It("blames the part, if several requests with it were sent twice", func() {
		f := newTestFleet(1)
		for i := range 4 {
			f.crash(f.vms[0], fmt.Sprintf("e%d", i), 1, Feature(fmt.Sprintf("request:%d", i/2)), deadly)
		}
		f.settle()
		Expect(f.allowed(deadly)).To(BeZero())
		Expect(f.allowed("request:1")).To(Equal(1))
	})

	It("finds two parts at once", func() {
		f := newTestFleet(2)
		for i := range 4 {
			f.crash(f.vms[i%2], fmt.Sprintf("e%d", i), 1, common, []Feature{deadly, fatal}[i/2])
			f.advance(10 * time.Millisecond)
			f.sound(f.vms[0], "id", common)
		}
		f.settle()
		Expect(f.allowed(deadly)).To(BeZero())
		Expect(f.allowed(fatal)).To(BeZero())
		Expect(f.allowed(common)).To(Equal(2))
	})

	It("holds a part that was sound before, and ends when it is sound again", func() {
		f := newTestFleet(2)
		f.sound(f.vms[0], "before", letter)
		f.advance(time.Millisecond)
		f.crash(f.vms[0], "e1", 1, letter)
		f.crash(f.vms[1], "e2", 1, letter)
		f.settle()
		Expect(f.allowed(letter)).To(BeZero())
		Expect(f.runs(f.vms[1], letter)).To(BeTrue(), "as a trial")
		f.advance(time.Millisecond)
		f.sound(f.vms[1], "trial", letter)
		Expect(f.vms[1].Check([]Feature{letter}, f.now).Allowed).To(BeTrue())
		f.settle()
		Expect(f.allowed(letter)).To(Equal(2))
		verdicts := f.vms[0].TakeVerdicts(f.now)
		Expect(verdicts).To(HaveLen(2))
		Expect(verdicts[0].Quarantined).To(BeTrue())
		Expect(verdicts[0].Crashes).To(HaveLen(2))
		Expect(verdicts[1].Sound.Request).To(Equal("trial"))
	})

	// Guards against more sends than the rules allow after the fifth crash.
	It("lets requests with the part reach endpoints at most three times after the fifth crash is known", func() {
		for _, atOnce := range []int{2, 3, 5, 20} {
			f := newTestFleet(4)
			for i := range atOnce {
				f.crash(f.vms[i%4], fmt.Sprintf("e%d", i), 1, deadly)
			}
			f.settle()
			crashes, late := atOnce, 0
			for i := range 20_000 {
				f.advance(500 * time.Millisecond)
				t := f.vms[i%4]
				if f.runs(t, Feature(fmt.Sprintf("request:%d", i)), deadly) {
					if crashes >= 5 {
						late++
					}
					f.advance(50 * time.Millisecond)
					f.crash(t, fmt.Sprintf("t%d", crashes), 1, deadly)
					crashes++
				}
				f.sync()
			}
			Expect(late).To(BeNumerically("<=", 3), "%d crashes at once", atOnce)
		}
	})

	// Guards against a quarantine that ends for a moment because a reading of the store's
	// clock was late on its way.
	It("holds when a reading of the store's clock comes late", func() {
		f := newTestFleet(1)
		f.crash(f.vms[0], "e1", 1, deadly)
		f.crash(f.vms[0], "e2", 1, deadly)
		f.settle()
		Expect(f.allowed(deadly)).To(BeZero())
		f.vms[0].SetStoreClock(f.now.Add(-100*time.Millisecond).UnixMilli(), f.now)
		f.crash(f.vms[0], "e3", 1, common)
		Expect(f.allowed(deadly)).To(BeZero())
	})

	It("is lifted by an operator", func() {
		f := newTestFleet(2)
		f.crash(f.vms[0], "e1", 1, deadly)
		f.crash(f.vms[1], "e2", 1, deadly)
		f.settle()
		lift := Lift(deadly, f.now.UnixMilli())
		for _, t := range f.vms {
			t.Apply(Change{Sounds: []Sound{lift}}, f.now)
		}
		Expect(f.allowed(deadly)).To(Equal(2))
	})

	It("costs a bounded report, however many requests ran at the endpoint", func() {
		f := newTestFleet(1)
		t := f.vms[0]
		for i := range 128 {
			f.crash(t, "e1", 1, append(PartFeatures([]string{"common", fmt.Sprint(i)}), Feature(fmt.Sprintf("request:%d", i)))...)
		}
		pending, _ := t.Pending(1000, f.now)
		Expect(pending).To(HaveLen(1))
		Expect(len(pending[0].Crash.Features)).To(Equal(2*128 + 1))
		for i := range 1000 {
			f.crash(t, "e1", 1, Feature(fmt.Sprintf("part:%040d", i)))
		}
		pending, _ = t.Pending(1000, f.now)
		Expect(pending).To(HaveLen(1))
		Expect(pending[0].size()).To(BeNumerically("<=", maxReportBytes))
		Expect(t.Unreported(Incarnation{"e1", 1})).To(Equal(2*128 + 1 + 1000 - len(pending[0].Crash.Features)))
	})

	It("lets few of many VMs testify to a common part", func() {
		f := newTestFleet(295)
		f.crash(f.vms[0], "e1", 1, common, deadly)
		f.crash(f.vms[1], "e2", 1, common, deadly)
		f.sync()
		before := f.writes
		for range 100 {
			f.advance(5 * time.Millisecond)
			for _, t := range f.vms {
				f.sound(t, "id", common)
			}
			f.sync()
		}
		Expect(f.writes - before).To(BeNumerically("<=", 30))
		f.settle()
		Expect(f.allowed(common)).To(Equal(295))
	})
})
