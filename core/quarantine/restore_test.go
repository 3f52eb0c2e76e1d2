package quarantine

import (
	"fmt"
	"maps"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// copied is the content of the store at one moment.
type copied struct {
	crashes map[Key]Crash
	sounds  map[Key]Sound
	trials  map[Feature]Trial
}

func (f *testFleet) copy() copied {
	return copied{maps.Clone(f.crashes), maps.Clone(f.sounds), maps.Clone(f.trials)}
}

// stepBack lets the store come back from a copy, and all VMs read it.
func (f *testFleet) stepBack(c copied) {
	f.crashes, f.sounds, f.trials = maps.Clone(c.crashes), maps.Clone(c.sounds), map[Feature]Trial{}
	f.version.Era++
	f.version.Number /= 2 // given out again
	for feature, trial := range c.trials {
		trial.Version.Era = f.version.Era
		f.trials[feature] = trial
	}
	for _, t := range f.vms {
		t.Read(f.content(), f.version.Era, f.now)
	}
}

var _ = Describe("The crashes that VMs know, when the store comes back from a copy", func() {
	const lethal = Feature("request:lethal")
	var f *testFleet
	var empty copied
	BeforeEach(func() {
		f = newTestFleet(3)
		for _, t := range f.vms {
			t.Read(f.content(), 0, f.now)
		}
		empty = f.copy()
		for i, t := range f.vms {
			f.crash(t, fmt.Sprintf("e%d", i), 1, lethal)
		}
		f.settle()
		Expect(f.claim(f.vms[0], lethal)).To(BeTrue())
		f.sync()
	})
	newcomerRuns := func() bool { return f.runs(f.newVM("joined"), lethal) }
	// restoreTrials claims the lost trials again that are due.
	restoreTrials := func() {
		for _, t := range f.vms {
			due, _ := t.LostTrials(f.now)
			for _, trial := range due {
				if f.trials[lethal].Version == trial.Version {
					f.version.Number++
					trial.Version = f.version
					f.trials[lethal] = trial
				}
				t.SetTrial(f.trials[lethal])
			}
		}
	}

	// Guards against BUDGET: crashes that are forgotten, so that the request crashes as many
	// endpoints again (review/13).
	It("still quarantine the request", func() {
		f.stepBack(empty)
		for _, t := range f.vms {
			Expect(t.Check([]Feature{lethal}, f.now).Allowed).To(BeFalse())
		}
	})

	It("are written again, for VMs that start later", func() {
		f.stepBack(empty)
		Expect(f.newVM("joined").Check([]Feature{lethal}, f.now).Allowed).To(BeTrue(), "the copy lacks them")
		f.advance(ownRestoreSpread)
		f.sync()
		restoreTrials()
		Expect(f.crashes).To(HaveLen(3))
		Expect(f.trials[lethal].Count).To(Equal(1))
		Expect(newcomerRuns()).To(BeFalse(), "the first trial is over")
	})

	It("are written again by another VM for one that has ended", func() {
		f.vms = f.vms[:2]
		f.stepBack(empty)
		f.advance(ownRestoreSpread)
		f.sync()
		Expect(f.crashes).To(HaveLen(2))
		f.advance(othersRestoreDelay + othersRestoreSpread)
		f.sync()
		Expect(f.crashes).To(HaveLen(3))
	})

	It("are written again by their own VMs only, if these live", func() {
		f.stepBack(empty)
		f.writes = 0
		f.advance(ownRestoreSpread)
		f.sync()
		f.advance(othersRestoreDelay + othersRestoreSpread)
		f.sync()
		Expect(f.writes).To(Equal(3))
	})

	// Guards against trials that are had again after each step back.
	It("keep the count of the trials, and let the next one be claimed by the new version", func() {
		f.stepBack(empty)
		Expect(f.runs(f.vms[1], lethal)).To(BeFalse(), "the first trial is over")
		f.advance(trialDelays[1] + unknownOutcome)
		Expect(f.runs(f.vms[1], lethal)).To(BeTrue())
		Expect(f.trials[lethal].Count).To(Equal(2))
		Expect(f.trials[lethal].Version.Era).To(Equal(f.version.Era))
	})

	It("count once, whatever the number of step backs", func() {
		for range 3 {
			f.stepBack(empty)
			f.advance(100 * time.Millisecond)
		}
		f.advance(ownRestoreSpread)
		f.sync()
		Expect(f.crashes).To(HaveLen(3))
	})

	It("stay lifted if an operator has lifted the quarantine", func() {
		f.advance(time.Second)
		var change Change
		lift := Lift(lethal, f.now.UnixMilli())
		f.write(Write{Sound: &lift}, &change)
		for _, t := range f.vms {
			t.Apply(change, f.now)
		}
		Expect(f.vms[0].Check([]Feature{lethal}, f.now).Allowed).To(BeTrue())
		f.stepBack(empty)
		f.advance(ownRestoreSpread)
		f.sync()
		Expect(f.vms[0].Check([]Feature{lethal}, f.now).Allowed).To(BeTrue())
		Expect(newcomerRuns()).To(BeTrue())
	})
})
