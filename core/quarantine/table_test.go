package quarantine

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// testFleet is a store and the tables of the VMs that share it, on virtual time.
type testFleet struct {
	now     time.Time
	rows    map[Key]Crash
	trials  map[Fingerprint]Trial
	version int64
	vms     []*Table
}

func newTestFleet(vms int) *testFleet {
	f := &testFleet{now: time.Unix(1_000, 0), rows: map[Key]Crash{}, trials: map[Fingerprint]Trial{}}
	for i := range vms {
		f.vms = append(f.vms, f.newVM(fmt.Sprintf("vm%d", i)))
	}
	return f
}

// newVM returns the table of a VM that has just read the store.
func (f *testFleet) newVM(name string) *Table {
	t := NewTable(name)
	t.SetStoreClock(f.now.UnixMilli(), f.now)
	t.Replace(f.content())
	return t
}

func (f *testFleet) content() Change {
	var c Change
	for _, crash := range f.rows {
		c.Crashes = append(c.Crashes, crash)
	}
	for _, t := range f.trials {
		c.Trials = append(c.Trials, t)
	}
	return c
}

// sync writes what the VMs have recorded and lets all VMs read it.
func (f *testFleet) sync() {
	var removed []Key
	for _, t := range f.vms {
		pending := t.Pending(maxWrites)
		for _, w := range pending {
			if w.Crash != nil {
				f.rows[w.Crash.Key()] = *w.Crash
				continue
			}
			removed = append(removed, w.Remove)
			delete(f.rows, w.Remove)
			if w.Remove.Endpoint == "" {
				delete(f.trials, w.Remove.Fingerprint)
			}
		}
		t.Written(len(pending))
	}
	change := f.content()
	change.Removed = removed
	for _, t := range f.vms {
		t.Apply(change)
	}
}

// claim claims the trial that is due, as the store does, and reports whether it held.
func (f *testFleet) claim(t *Table, fingerprint Fingerprint) bool {
	next, version := t.NextTrial(fingerprint, f.now)
	if f.trials[fingerprint].Version != version {
		t.SetTrial(f.trials[fingerprint])
		return false
	}
	f.version++
	next.Version = f.version
	f.trials[fingerprint] = next
	t.SetTrial(next)
	return true
}

// runs reports whether a VM would run a request now.
func (f *testFleet) runs(t *Table, fingerprint Fingerprint) bool {
	d := t.Check(fingerprint, f.now)
	return d.Allowed || d.TrialDue && f.claim(t, fingerprint)
}

const lethal = Fingerprint("lethal")

var _ = Describe("A quarantine", func() {
	// Guards against crash after crash by one request that comes again at any VM.
	It("lets a request that crashes each endpoint run at most three times after its third crash, in a day", func() {
		f := newTestFleet(8)
		crashes := 0
		for i := range 100_000 {
			f.now = f.now.Add(860 * time.Millisecond)
			t := f.vms[i%len(f.vms)]
			if f.runs(t, lethal) {
				crashes++
				t.RecordCrash(lethal, fmt.Sprintf("e%d", crashes), int64(i), f.now)
			}
			f.sync()
		}
		Expect(crashes).To(Equal(crashLimit + len(trialDelays)))
		Expect(crashes).To(BeNumerically("<=", 3+3))
	})

	It("lets one VM at a time try a quarantined request", func() {
		f := newTestFleet(3)
		f.vms[0].RecordCrash(lethal, "e1", 1, f.now)
		f.vms[1].RecordCrash(lethal, "e2", 1, f.now)
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
		f.vms[0].RecordCrash("sound", "e1", 1, f.now)
		f.sync()
		Expect(f.vms[1].Check("sound", f.now).Allowed).To(BeTrue())
		f.vms[0].RecordCrash("sound", "e2", 1, f.now)
		f.sync()
		Expect(f.vms[0].Check("sound", f.now).Allowed).To(BeFalse())
		Expect(f.runs(f.vms[1], "sound")).To(BeTrue(), "as a trial")
		Expect(f.vms[1].Clear("sound")).To(BeTrue())
		f.sync()
		for _, t := range f.vms {
			Expect(t.Check("sound", f.now).Allowed).To(BeTrue())
			Expect(t.Empty()).To(BeTrue())
		}
		Expect(f.rows).To(BeEmpty())
		Expect(f.trials).To(BeEmpty())
	})

	It("counts one incarnation of an endpoint once, whichever VMs report it", func() {
		f := newTestFleet(3)
		for _, t := range f.vms {
			t.RecordCrash("sound", "e1", 1, f.now)
		}
		f.sync()
		Expect(f.vms[0].Check("sound", f.now).Allowed).To(BeTrue())
		f.vms[0].RecordCrash("sound", "e1", 2, f.now)
		Expect(f.vms[0].Check("sound", f.now).Allowed).To(BeFalse(), "the endpoint has started anew and crashed again")
	})

	It("gives back a trial in which no endpoint ran the request", func() {
		f := newTestFleet(1)
		t := f.vms[0]
		t.RecordCrash("sound", "e1", 1, f.now)
		t.RecordCrash("sound", "e2", 1, f.now)
		for range 5 {
			Expect(f.runs(t, "sound")).To(BeTrue())
			Expect(t.Check("sound", f.now).TrialDue).To(BeFalse())
			f.version++
			refunded := f.trials["sound"].Refund()
			refunded.Version = f.version
			f.trials["sound"] = refunded
			t.SetTrial(refunded)
		}
	})

	It("outlasts the restart of a VM, and is known to one that joins", func() {
		f := newTestFleet(2)
		f.vms[0].RecordCrash(lethal, "e1", 1, f.now)
		f.vms[1].RecordCrash(lethal, "e2", 1, f.now)
		f.sync()
		Expect(f.claim(f.vms[0], lethal)).To(BeTrue())
		f.vms[1] = f.newVM("vm1")
		Expect(f.runs(f.vms[1], lethal)).To(BeFalse())
		Expect(f.runs(f.newVM("joined"), lethal)).To(BeFalse())
	})

	It("keeps what waits for the store when the store's history was lost", func() {
		f := newTestFleet(1)
		t := f.vms[0]
		t.RecordCrash(lethal, "e1", 1, f.now)
		t.Replace(Change{})
		Expect(t.Empty()).To(BeFalse())
		f.sync()
		Expect(f.rows).To(HaveLen(1))
	})

	It("passes on what is quarantined to a VM that cannot reach the store", func() {
		f := newTestFleet(1)
		t := f.vms[0]
		t.RecordCrash("sound", "e1", 1, f.now)
		t.RecordCrash(lethal, "e1", 1, f.now)
		t.RecordCrash(lethal, "e2", 1, f.now)
		Expect(f.claim(t, lethal)).To(BeTrue())
		crashes, trials := t.Quarantines()
		Expect(crashes).To(HaveLen(2))
		joined := NewTable("joined")
		joined.Apply(Change{Crashes: crashes, Trials: trials})
		Expect(joined.Check(lethal, f.now).Allowed).To(BeFalse())
		Expect(joined.Check("sound", f.now).Allowed).To(BeTrue())
	})

	It("tells callers when to return", func() {
		f := newTestFleet(1)
		t := f.vms[0]
		t.RecordCrash(lethal, "e1", 1, f.now)
		t.RecordCrash(lethal, "e2", 1, f.now)
		Expect(f.claim(t, lethal)).To(BeTrue())
		Expect(t.Check(lethal, f.now).RetryAfter).To(Equal(trialDelays[1]))
		f.now = f.now.Add(trialDelays[1] - time.Millisecond)
		Expect(t.Check(lethal, f.now).RetryAfter).To(Equal(trialRetryAfter))
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
				f.vms[0].RecordCrash(lethal, fmt.Sprintf("e%d", i), 1, f.now)
			}
			f.sync()
			f.now = f.now.Add(c.age)
			for _, t := range f.vms {
				t.Expire(f.now)
			}
			f.sync()
			Expect(f.vms[1].Empty()).To(Equal(c.forgotten))
			Expect(len(f.rows) == 0).To(Equal(c.forgotten), "the reporter removes the rows")
		})
	}

	It("removes rows that a VM which is gone has left", func() {
		f := newTestFleet(2)
		f.vms[0].RecordCrash(lethal, "e1", 1, f.now)
		f.sync()
		f.now = f.now.Add(2*suspectRetention + time.Second)
		joined := f.newVM("joined")
		joined.Expire(f.now)
		f.vms = []*Table{joined}
		f.sync()
		Expect(f.rows).To(BeEmpty())
	})

	It("remembers a bounded number of fingerprints, the quarantined and the newest", func() {
		f := newTestFleet(1)
		t := f.vms[0]
		t.RecordCrash(lethal, "e1", 1, f.now)
		t.RecordCrash(lethal, "e2", 1, f.now)
		for i := range maxSuspects + 100 {
			f.now = f.now.Add(time.Millisecond)
			t.RecordCrash(Fingerprint(fmt.Sprint(i)), "e1", 1, f.now)
		}
		Expect(t.suspects).To(HaveLen(maxSuspects))
		Expect(t.suspects).To(HaveKey(Fingerprint(fmt.Sprint(maxSuspects + 99))))
		Expect(t.suspects).To(HaveKey(lethal))
		Expect(len(t.writes)).To(BeNumerically("<=", maxWrites))
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
			t.RecordLostResponse(lethal, "e1", 1, f.now)
			confirmed := t.ConfirmCrash("e1", c.born, f.now.Add(c.after))
			Expect(len(confirmed) == 1).To(Equal(c.confirmed))
			Expect(t.Empty()).To(Equal(!c.confirmed))
		})
	}
})
