package quarantine

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// moment is when a deadly part crashes its endpoint, after the first event of a response
// of the given length.
type moment struct {
	name string
	of   func(length time.Duration) time.Duration
}

func after5ms(time.Duration) time.Duration   { return 5 * time.Millisecond }
func after20ms(time.Duration) time.Duration  { return 20 * time.Millisecond }
func after150ms(time.Duration) time.Duration { return 150 * time.Millisecond }

var moments = []moment{
	{"before the first event", func(time.Duration) time.Duration { return -dayTick }},
	{"5 ms after the first event", after5ms},
	{"20 ms after it", after20ms},
	{"150 ms after it", after150ms},
	{"in the middle", func(length time.Duration) time.Duration { return length / 2 }},
	{"at the last event", func(length time.Duration) time.Duration { return length }},
}

var _ = Describe("A pass", func() {
	const crashMs = 10_000
	caught := Progress{Bytes: 100, Ms: 150}
	for _, c := range []struct {
		name    string
		pass    Pass
		refutes bool
	}{
		{"that ended further on", Pass{crashMs + 500, Progress{200, 400}, true}, true},
		{"that ended before it came as far", Pass{crashMs + 500, Progress{99, 400}, true}, false},
		{"that has only come as far", Pass{crashMs + 500, Progress{101, 160}, false}, false},
		{"that has come well further", Pass{crashMs + 500, Progress{201, 350}, false}, true},
		{"that has come further in time, not in bytes", Pass{crashMs + 500, Progress{150, 400}, false}, false},
		{"that had passed the progress before the crash", Pass{crashMs + 100, Progress{1000, 300}, true}, false},
		{"that ended before the crash", Pass{crashMs - 1, Progress{1000, 100}, true}, false},
	} {
		// Guards against parts that are cleared by runs which have only come as far as those
		// that crashed.
		It("refutes a crash only by a run that has passed its progress: "+c.name, func() {
			Expect(c.pass.refutes(crashMs, caught)).To(Equal(c.refutes))
		})
	}
})

var _ = Describe("A part that crashes endpoints at some moment of the response", func() {
	sizes := []fleetSize{{3, 3, 3}, {3, 8, 3}, {8, 18, 2}}
	const begin, end, length = 4 * time.Second, 26 * time.Second, 30 * time.Second
	const perSecond = 2
	// luckyCrashes is as for other parts, with one crash for two requests: five crashes, those
	// by requests within dayWindow after the fifth, and three more.
	const luckyCrashes = 5 + perSecond/2*int(dayWindow/time.Second) + 3
	newLoadedDay := func(seed int64, size fleetSize, m moment) *day {
		d := newDay(seed, size.vms, size.endpoints)
		d.perSecond = 10 * float64(size.endpoints) // 16 to 24 at each endpoint
		d.accounts, d.documents = 2, 20
		d.moment = m.of
		d.deadly = func(at time.Duration) []Feature {
			if at < begin || at > end || !d.every(perSecond) {
				return nil
			}
			return []Feature{deadly}
		}
		return d
	}
	for _, size := range sizes {
		for _, m := range moments {
			// Guards against parts that are taken for sound because responses with them had
			// begun, and against the refusal of the sound requests that ran beside them.
			It(fmt.Sprintf("is found, and sound requests are served: %s, %d VMs, %d endpoints", m.name, size.vms, size.endpoints), func() {
				for seed := range size.seeds {
					d := newLoadedDay(seed, size, m)
					d.play(length)
					Expect(d.lateSends(deadly)).To(BeNumerically("<=", 3), "seed %d, %d crashes", seed, len(d.crashedAt[deadly]))
					d.expectSoundServedLate(seed)
				}
			})
		}
		// Guards against a part that is cleared by one lucky run, again and again.
		It(fmt.Sprintf("is found if one run in two is sound: %d VMs, %d endpoints", size.vms, size.endpoints), func() {
			for seed := range size.seeds {
				d := newLoadedDay(seed, size, moments[2])
				d.lucky = 0.5
				d.play(length)
				Expect(len(d.crashedAt[deadly])).To(BeNumerically("<=", luckyCrashes), "seed %d", seed)
				d.expectSoundServedLate(seed)
			}
		})
	}

	It("is followed when it is mended", func() {
		f := newTestFleet(2)
		for i := range 5 {
			f.crash(f.vms[i%2], fmt.Sprintf("e%d", i), 1, deadly)
		}
		f.settle()
		Expect(f.allowed(deadly)).To(BeZero())
		f.advance(trialDelays[1])
		for range 2*refutationsPerCrash + 1 {
			Expect(f.runs(f.vms[0], deadly)).To(BeTrue(), "as a trial")
			f.advance(soundTrialDelay)
			f.sound(f.vms[0], "trial", deadly)
			f.sync()
		}
		f.settle()
		Expect(f.allowed(deadly)).To(Equal(2))
	})
})

// expectSoundServedLate expects that from twice dayWindow after the fifth crash on at least
// half of the sound requests are served.
func (d *day) expectSoundServedLate(seed int64) {
	crashes := d.crashedAt[deadly]
	Expect(crashes).NotTo(BeEmpty(), "seed %d", seed)
	from := crashes[min(len(crashes), 5)-1] + 2*dayWindow
	refused, sent := countLater(d.refused, from), countLater(d.sound, from)
	Expect(refused).To(BeNumerically("<=", sent/2), "seed %d: sound requests refused of %d", seed, sent)
}
