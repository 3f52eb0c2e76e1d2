package endpoints

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var start = time.Unix(1_000, 0)

func fleet(n int) *Table {
	t := NewTable()
	for i := range n {
		t.Put(Registration{ID: fmt.Sprintf("e%d", i), Service: "models", Address: fmt.Sprintf("10.0.0.%d:80", i), Domain: "north", Slots: 8})
	}
	return t
}

func work(prefix string) Work {
	return Work{Service: "models", Prompt: 12_000, Parts: []Part{{ID: prefix, Tokens: 5_000}, {ID: "own", Tokens: 7_000}}}
}

var _ = Describe("Choose", func() {
	random := rand.New(rand.NewPCG(1, 1))
	choose := func(t *Table, w Work, now time.Time) *Endpoint { return t.Choose(w, nil, "north", random, now) }

	It("sends one prefix from VMs that do not see each other to one endpoint", func() {
		seen := map[string]bool{}
		for range 8 {
			seen[choose(fleet(9), work("hot"), start).ID] = true
		}
		Expect(seen).To(HaveLen(1))
	})

	It("spills a hot prefix to other endpoints before its home is swamped", func() {
		t := fleet(9)
		for range 60 {
			choose(t, work("hot"), start).Begin(work("hot"), start)
		}
		used := 0
		for _, id := range t.IDs() {
			if t.Get(id).running > 0 {
				used++
			}
		}
		Expect(used).To(BeNumerically(">", 4))
	})

	It("passes over endpoints that failed, but never over more than half", func() {
		t := fleet(4)
		for _, id := range []string{"e0", "e1", "e2"} {
			t.Get(id).Begin(work("a"), start).End(Failed, start)
		}
		Expect(t.eligible("models", nil, start)).To(HaveLen(4))
		t.Get("e2").avoidUntil = time.Time{}
		Expect(t.eligible("models", nil, start)).To(HaveLen(2))
		Expect(t.eligible("models", nil, start.Add(time.Second))).To(HaveLen(4))
	})

	for _, c := range []struct {
		name string
		do   func(*Table)
		want int // endpoints that take new work
	}{
		{"draining", func(t *Table) {
			t.Put(Registration{ID: "e0", Service: "models", Address: "10.0.0.0:80", Draining: true})
		}, 1},
		{"expired", func(t *Table) { t.Expire("e0", start) }, 1},
		{"expired while the store was away, still in its grace", func(t *Table) { t.Expire("e0", start.Add(time.Second)) }, 2},
		{"another instance at the address", func(t *Table) { t.Get("e0").Begin(work("a"), start).End(Misdirected, start) }, 1},
		{"registered again after it", func(t *Table) {
			t.Get("e0").Begin(work("a"), start).End(Misdirected, start)
			t.Put(t.Get("e0").Registration)
		}, 2},
	} {
		It("counts an endpoint that is "+c.name, func() {
			t := fleet(2)
			c.do(t)
			Expect(t.Count("models", start)).To(Equal(c.want))
		})
	}

	It("forgets all that was known of an endpoint that is born again", func() {
		t := fleet(1)
		t.Get("e0").Begin(work("a"), start)
		r := t.Get("e0").Registration
		r.Born = 5
		Expect(t.Put(r)).To(Equal(Reborn))
		Expect(t.Get("e0").running).To(BeZero())
	})

	It("tells other VMs of endpoints whose registration lapsed and may come back", func() {
		t := fleet(3)
		t.Expire("e0", start.Add(time.Second))
		t.Expire("e1", start)
		Expect(t.Registrations(start)).To(HaveLen(2))
	})

	It("drops endpoints that are gone for good", func() {
		t := fleet(2)
		t.Expire("e1", start.Add(time.Second))
		Expect(t.Sweep(start)).To(BeEmpty())
		Expect(t.Sweep(start.Add(time.Second))).To(ConsistOf("e1"))
	})
})
