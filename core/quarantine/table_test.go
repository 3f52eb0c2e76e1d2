package quarantine

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	lethal = Feature("request:lethal")
	sound  = Feature("request:sound")
)

var _ = Describe("A quarantine of a whole request", func() {
	// Guards against crash after crash by one request that comes again at any VM.
	It("lets a request that crashes each endpoint run at most three times after its third crash, in a day", func() {
		f := newTestFleet(8)
		crashes := 0
		for i := range 100_000 {
			f.advance(860 * time.Millisecond)
			t := f.vms[i%len(f.vms)]
			if f.runs(t, lethal) {
				crashes++
				f.crash(t, fmt.Sprintf("e%d", crashes), int64(i), lethal)
			}
			f.sync()
		}
		Expect(crashes).To(Equal(crashLimit + len(trialDelays)))
		Expect(crashes).To(BeNumerically("<=", 3+3))
	})

	It("lets one VM at a time try a quarantined request", func() {
		f := newTestFleet(3)
		f.crash(f.vms[0], "e1", 1, lethal)
		f.crash(f.vms[1], "e2", 1, lethal)
		f.sync()
		running := 0
		for _, t := range f.vms {
			if f.runs(t, lethal) {
				running++
			}
		}
		Expect(running).To(Equal(1))
	})

	It("allows a request after one crash, and again after a run to its end on any VM", func() {
		f := newTestFleet(2)
		f.crash(f.vms[0], "e1", 1, sound)
		f.sync()
		Expect(f.vms[1].Check([]Feature{sound}, f.now).Allowed).To(BeTrue())
		f.crash(f.vms[0], "e2", 1, sound)
		f.sync()
		Expect(f.vms[0].Check([]Feature{sound}, f.now).Allowed).To(BeFalse())
		Expect(f.runs(f.vms[1], sound)).To(BeTrue(), "as a trial")
		f.advance(time.Second)
		Expect(f.sound(f.vms[1], "id", sound)).To(BeTrue())
		f.sync()
		for _, t := range f.vms {
			Expect(t.Check([]Feature{sound}, f.now).Allowed).To(BeTrue())
		}
		for range 3 {
			f.advance(suspectRetention + time.Second)
			for _, t := range f.vms {
				t.Expire(f.now)
			}
			f.sync()
		}
		Expect(f.vms[0].Empty()).To(BeTrue())
		Expect(f.vms[1].Empty()).To(BeTrue())
		Expect(f.rows()).To(BeZero())
	})

	It("counts one incarnation of an endpoint once, whichever VMs report it", func() {
		f := newTestFleet(3)
		for _, t := range f.vms {
			f.crash(t, "e1", 1, sound)
		}
		f.sync()
		Expect(f.vms[0].Check([]Feature{sound}, f.now).Allowed).To(BeTrue())
		f.crash(f.vms[0], "e1", 2, sound)
		Expect(f.vms[0].Check([]Feature{sound}, f.now).Allowed).To(BeFalse(), "the endpoint has started anew and crashed again")
	})

	// Guards against crashes that are not counted because the registration of an endpoint
	// which has started anew comes late.
	It("counts crashes that lie too far apart for one incarnation", func() {
		f := newTestFleet(3)
		f.crash(f.vms[0], "e1", 1, lethal)
		f.sync()
		f.advance(shortestRestart - time.Millisecond)
		f.crash(f.vms[1], "e1", 1, lethal)
		f.sync()
		Expect(f.vms[2].Check([]Feature{lethal}, f.now).Allowed).To(BeTrue(), "a late report of the same crash")
		f.advance(shortestRestart)
		f.crash(f.vms[1], "e1", 1, lethal)
		f.crash(f.vms[2], "e1", 1, lethal)
		f.sync()
		Expect(f.vms[0].Check([]Feature{lethal}, f.now).Allowed).To(BeFalse())
		Expect(f.vms[0].incidents).To(HaveLen(2))
	})

	It("gives back a trial in which no endpoint ran the request", func() {
		f := newTestFleet(1)
		t := f.vms[0]
		f.crash(t, "e1", 1, sound)
		f.crash(t, "e2", 1, sound)
		for range 5 {
			Expect(f.runs(t, sound)).To(BeTrue())
			Expect(t.Check([]Feature{sound}, f.now).TrialDue).To(BeFalse())
			f.version.Number++
			refunded := f.trials[sound].Refund()
			refunded.Version = f.version
			f.trials[sound] = refunded
			t.SetTrial(refunded)
		}
	})

	It("outlasts the restart of a VM, and is known to one that joins", func() {
		f := newTestFleet(2)
		f.crash(f.vms[0], "e1", 1, lethal)
		f.crash(f.vms[1], "e2", 1, lethal)
		f.sync()
		Expect(f.claim(f.vms[0], lethal)).To(BeTrue())
		f.vms[1] = f.newVM("vm1")
		Expect(f.runs(f.vms[1], lethal)).To(BeFalse())
		Expect(f.runs(f.newVM("joined"), lethal)).To(BeFalse())
	})

	It("keeps what waits for the store when the store's history was lost", func() {
		f := newTestFleet(1)
		t := f.vms[0]
		f.crash(t, "e1", 1, lethal)
		t.Replace(Change{}, f.now)
		Expect(t.Empty()).To(BeFalse())
		f.sync()
		Expect(f.rows()).To(Equal(1))
	})

	It("passes on what is quarantined to a VM that cannot reach the store", func() {
		f := newTestFleet(1)
		t := f.vms[0]
		f.crash(t, "e1", 1, sound, lethal)
		f.crash(t, "e2", 1, lethal)
		Expect(f.claim(t, lethal)).To(BeTrue())
		joined := NewTable("joined")
		joined.Apply(t.Quarantines(f.now), f.now)
		Expect(joined.Check([]Feature{lethal}, f.now).Allowed).To(BeFalse())
		Expect(joined.Check([]Feature{sound}, f.now).Allowed).To(BeTrue())
		Expect(joined.suspects).NotTo(HaveKey(sound))
	})

	It("tells callers when to return", func() {
		f := newTestFleet(1)
		t := f.vms[0]
		f.crash(t, "e1", 1, lethal)
		f.crash(t, "e2", 1, lethal)
		Expect(f.claim(t, lethal)).To(BeTrue())
		Expect(t.Check([]Feature{lethal}, f.now).RetryAfter).To(Equal(unknownOutcome), "a trial runs")
		f.advance(time.Millisecond)
		f.crash(t, "e3", 1, lethal)
		f.advance(-time.Millisecond)
		Expect(t.Check([]Feature{lethal}, f.now).RetryAfter).To(Equal(trialDelays[1]))
		f.advance(trialDelays[1] - time.Millisecond)
		Expect(t.Check([]Feature{lethal}, f.now).RetryAfter).To(Equal(trialRetryAfter))
	})

	for _, c := range []struct {
		name      string
		endpoints int
		age       time.Duration
		forgotten bool
	}{
		{"a suspect soon", 1, suspectRetention + time.Second, true},
		{"a suspect not sooner", 1, suspectRetention - time.Second, false},
		{"a quarantine not as soon", 2, suspectRetention + time.Second, false},
		{"a quarantine in the end", 2, quarantineRetention + time.Second, true},
	} {
		It("forgets "+c.name, func() {
			f := newTestFleet(2)
			for i := range c.endpoints {
				f.crash(f.vms[0], fmt.Sprintf("e%d", i), 1, lethal)
			}
			f.sync()
			f.advance(c.age)
			for _, t := range f.vms {
				t.Expire(f.now)
			}
			f.sync()
			Expect(f.vms[1].Empty()).To(Equal(c.forgotten))
			Expect(f.rows() == 0).To(Equal(c.forgotten), "the reporter removes the rows")
		})
	}

	It("removes rows that a VM which is gone has left", func() {
		f := newTestFleet(2)
		f.crash(f.vms[0], "e1", 1, lethal)
		f.sync()
		f.advance(2*suspectRetention + time.Second)
		joined := f.newVM("joined")
		joined.Expire(f.now)
		f.vms = []*Table{joined}
		f.sync()
		Expect(f.rows()).To(BeZero())
	})

	It("remembers a bounded number of crashes and features, the quarantined and the newest", func() {
		f := newTestFleet(1)
		t := f.vms[0]
		f.crash(t, "e1", 1, lethal)
		f.crash(t, "e2", 1, lethal)
		Expect(t.Check([]Feature{lethal}, f.now).Allowed).To(BeFalse())
		newest := 20 * maxIncidents
		for i := range newest + 1 {
			f.advance(time.Millisecond)
			f.crash(t, "e", int64(i), Feature(fmt.Sprint(i)), Feature(fmt.Sprint(-i)))
		}
		Expect(len(t.incidents)).To(BeNumerically("<=", maxIncidents))
		Expect(len(t.suspects)).To(BeNumerically("<=", maxSuspects+2))
		Expect(t.suspects).To(HaveKey(Feature(fmt.Sprint(newest))))
		Expect(t.Check([]Feature{lethal}, f.now).Allowed).To(BeFalse())
		Expect(len(t.writes.order)).To(BeNumerically("<=", maxWrites))
		Expect(t.writes.pending).To(HaveLen(len(t.writes.order)))
	})

	for _, c := range []struct {
		name      string
		born      int64
		after     time.Duration
		confirmed bool
	}{
		{"that has started again", 2, time.Second, true},
		{"that was removed from the registry", 0, 4 * time.Second, true},
		{"that still runs", 1, time.Second, false},
		{"that left long after", 0, lostResponseWindow + time.Second, false},
	} {
		It("blames a lost response on the crash of an endpoint "+c.name+": "+fmt.Sprint(c.confirmed), func() {
			f := newTestFleet(1)
			t := f.vms[0]
			lostAt := f.now
			t.RecordLostResponse(Run{Features: []Feature{lethal}}, Incarnation{"e1", 1}, lostAt)
			confirmed := t.ConfirmCrash("e1", c.born, f.now.Add(c.after))
			Expect(len(confirmed) == 1).To(Equal(c.confirmed))
			Expect(t.Empty()).To(Equal(!c.confirmed))
			if c.confirmed {
				Expect(t.incidents[Incarnation{"e1", 1}].atMs).To(Equal(lostAt.UnixMilli()), "the crash is as old as the loss")
			}
		})
	}
})
