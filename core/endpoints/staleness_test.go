package endpoints

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Knowledge", func() {
	const notice = 3 * time.Second
	at := func(d time.Duration) time.Time { return testStart.Add(d) }
	confirmed := func(d time.Duration) Knowledge {
		k := Knowledge{}
		k.Registry.Check(at(d))
		k.Evacuations.Check(at(d))
		return k
	}
	for _, c := range []struct {
		name        string
		age         time.Duration // since the last confirmation
		act         func(*Knowledge)
		asks, stale bool
	}{
		{"the store has just responded", 0, func(*Knowledge) {}, false, false},
		{"the store is a little late", 1600 * time.Millisecond, func(*Knowledge) {}, true, false},
		// Guards against requests of a VM that was suspended to endpoints that are gone.
		{"the VM was suspended, and nobody was asked since", 9 * time.Second, func(k *Knowledge) { k.Store.Record(at(-8*time.Second), false); k.VMs.Record(at(-8*time.Second), false) }, true, true},
		{"the store responds, but not with the registry", 3 * time.Second, func(k *Knowledge) { k.Store.Record(at(-time.Second), true); k.VMs.Record(at(-time.Second), false) }, true, true},
		{"the store fails, and no VM was asked yet", 3 * time.Second, func(k *Knowledge) { k.Store.Record(at(-time.Second), false) }, true, true},
		// Guards against a fleet that stops in an outage of the store.
		{"neither the store nor another VM responds", 3 * time.Second, func(k *Knowledge) { k.Store.Record(at(-time.Second), false); k.VMs.Record(at(-time.Second), false) }, true, false},
		{"there is no other VM", 9 * time.Second, func(k *Knowledge) { k.Store.Record(at(-time.Second), false); k.VMs.RecordAbsent() }, true, false},
	} {
		It("decides whether a VM asks another and whether it may send: "+c.name, func() {
			k := confirmed(-c.age)
			c.act(&k)
			Expect(k.NeedsAnswer(testStart)).To(Equal(c.asks))
			Expect(k.Stale(notice, testStart)).To(Equal(c.stale))
			Expect(k.Stale(0, testStart)).To(BeFalse(), "it is unknown how long endpoints serve")
		})
	}

	// Guards against DRAIN: requests that are sent within the shortest notice of the users'
	// sites, and reach their endpoint after it.
	It("is stale before endpoints with the shortest notice may be gone", func() {
		const shortest = 2 * time.Second
		k := confirmed(-shortest + 100*time.Millisecond)
		k.Store.Record(testStart, true)
		Expect(k.Stale(shortest, testStart)).To(BeTrue())
	})

	It("is stale by the evacuations alone", func() {
		k := confirmed(-9 * time.Second)
		k.Registry.Check(testStart)
		Expect(k.Stale(notice, testStart)).To(BeTrue())
	})
})
