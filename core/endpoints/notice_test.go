package endpoints

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("What an endpoint says of itself", func() {
	random := rand.New(rand.NewPCG(1, 1))
	chosen := func(t *Table, now time.Time) map[string]int {
		counts := map[string]int{}
		for range 100 {
			if e := t.Choose(Request{Service: "models"}, nil, "north", random, now); e != nil {
				counts[e.ID]++
			}
		}
		return counts
	}
	registration := func(t *Table, id string) Registration { return t.Get(id).Registration }

	// Guards against requests to an endpoint that has said it is leaving.
	It("keeps requests from an endpoint that is leaving, whatever the registry says", func() {
		t := tableOf(2)
		Expect(t.Get("e0").RecordLeaving(testStart)).To(BeTrue())
		Expect(t.Get("e0").RecordLeaving(testStart)).To(BeFalse())
		t.Put(registration(t, "e0"))
		t.Expire("e0", testStart.Add(time.Second))
		t.Put(registration(t, "e0"))
		Expect(chosen(t, testStart.Add(time.Hour))).To(Equal(map[string]int{"e1": 100}))
		Expect(t.Accepts(t.Get("e0"), testStart)).To(BeFalse())
	})

	// Guards against DRAIN: a registration that vanishes and returns makes a VM forget what the
	// endpoint itself has said.
	for _, when := range []string{"before", "after"} {
		It("outlasts a registration that vanishes and returns, said "+when+" it vanished", func() {
			t := tableOf(2)
			r := registration(t, "e0")
			r.Born = 7
			t.Register(r, testStart)
			e := t.Get("e0")
			if when == "before" {
				t.RecordLeaving(e, testStart)
			}
			t.Expire("e0", testStart)
			Expect(t.DropExpired(testStart)).To(ConsistOf("e0"))
			if when == "after" {
				t.RecordLeaving(e, testStart)
			}
			t.Register(r, testStart)
			Expect(chosen(t, testStart)).To(Equal(map[string]int{"e1": 100}))
			r.Born++
			t.Register(r, testStart)
			Expect(chosen(t, testStart)).To(HaveKey("e0"))
		})
	}

	// Guards against crashes that count for nothing because the endpoint is paused.
	It("distinguishes an endpoint that has left from one that wants nothing for a time", func() {
		t := tableOf(2)
		t.Get("e0").RecordPause(time.Minute, testStart)
		t.Get("e1").RecordLeaving(testStart)
		Expect(t.Accepts(t.Get("e0"), testStart)).To(BeFalse())
		Expect(t.HasLeft(t.Get("e0"), testStart)).To(BeFalse())
		Expect(t.HasLeft(t.Get("e1"), testStart)).To(BeTrue())
	})

	It("ends with the incarnation", func() {
		t := tableOf(1)
		t.Get("e0").RecordLeaving(testStart)
		t.Get("e0").RecordPause(time.Minute, testStart)
		r := registration(t, "e0")
		r.Born++
		Expect(t.Put(r)).To(Equal(Restarted))
		Expect(chosen(t, testStart)).To(HaveKey("e0"))
	})

	It("leaves a service without endpoints when all of them are leaving", func() {
		t := tableOf(2)
		t.Get("e0").RecordLeaving(testStart)
		t.Get("e1").RecordLeaving(testStart)
		Expect(chosen(t, testStart)).To(BeEmpty())
		Expect(t.PauseEnd("models", testStart)).To(BeZero())
	})

	// Guards against requests to an endpoint that wants none of this VM for a time.
	It("keeps requests from an endpoint for as long as it says", func() {
		t := tableOf(2)
		e := t.Get("e0")
		Expect(e.RecordPause(4*time.Second, testStart)).To(BeTrue())
		Expect(e.RecordPause(time.Second, testStart.Add(time.Second))).To(BeFalse(), "an earlier end")
		Expect(chosen(t, testStart.Add(3990*time.Millisecond))).To(Equal(map[string]int{"e1": 100}))
		Expect(chosen(t, testStart.Add(4*time.Second+returnTime))["e0"]).To(BeNumerically(">", 20))
	})

	It("lets requests return gradually after a pause", func() {
		t := tableOf(2)
		t.Get("e0").RecordPause(4*time.Second, testStart)
		end := testStart.Add(4 * time.Second)
		for range 20 {
			t.Get("e1").StartAttempt(Request{Service: "models"}, end)
		}
		Expect(chosen(t, end)["e0"]).To(BeZero(), "the other endpoint is busier, but not by as much")
		Expect(chosen(t, end.Add(returnTime))["e0"]).To(Equal(100))
	})

	It("tells when the first endpoint of a service wants requests again", func() {
		t := tableOf(3)
		t.Get("e0").RecordPause(4*time.Second, testStart)
		t.Get("e1").RecordPause(2*time.Second, testStart)
		Expect(t.PauseEnd("models", testStart)).To(BeZero(), "e2 accepts requests")
		t.Get("e2").RecordLeaving(testStart)
		Expect(t.PauseEnd("models", testStart.Add(time.Second))).To(Equal(time.Second))
		t.Get("e1").RecordLeaving(testStart)
		Expect(t.PauseEnd("models", testStart.Add(time.Second))).To(Equal(3 * time.Second))
	})

	It("bounds a pause that is too long to be meant", func() {
		t := tableOf(1)
		t.Get("e0").RecordPause(1000*time.Hour, testStart)
		Expect(t.PauseEnd("models", testStart)).To(Equal(maxPause))
	})

	It("is counted with the attempt that it turned elsewhere", func() {
		t := tableOf(4)
		t.Get("e0").RecordLeaving(testStart)
		t.Get("e1").RecordPause(time.Second, testStart)
		t.Get("e2").RecordPause(time.Second, testStart)
		Expect(t.StartAttempt(Request{Service: "models"}, nil, "north", random, testStart).Notices).To(Equal(Notices{Leaving: 1, Paused: 2}))
	})

	It("is no failure", func() {
		t := tableOf(1)
		a := t.StartAttempt(Request{Service: "models"}, nil, "north", random, testStart)
		a.Endpoint.RecordPause(time.Second, testStart)
		a.End(Rejected, testStart)
		Expect(a.Endpoint.failureRate.value).To(BeZero())
		Expect(a.Endpoint.consecutiveFailures).To(BeZero())
	})
})
