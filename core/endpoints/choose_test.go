package endpoints

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var testStart = time.Unix(1_000, 0)

func tableOf(n int) *Table {
	t := NewTable()
	for i := range n {
		t.Put(Registration{ID: fmt.Sprintf("e%d", i), Service: "models", Address: fmt.Sprintf("10.0.0.%d:80", i), Domain: "north", Slots: 8})
	}
	return t
}

func requestWithPrefix(prefix string) Request {
	return Request{Service: "models", PromptTokens: 12_000, PrefixBlocks: []PrefixBlock{{ID: prefix, Tokens: 5_000}, {ID: "own", Tokens: 7_000}}}
}

var _ = Describe("Choose", func() {
	random := rand.New(rand.NewPCG(1, 1))
	choose := func(t *Table, r Request, now time.Time) *Endpoint { return t.Choose(r, nil, "north", random, now) }

	It("sends one prefix to one endpoint from VMs that do not see each other's requests", func() {
		seen := map[string]bool{}
		for range 8 {
			seen[choose(tableOf(9), requestWithPrefix("hot"), testStart).ID] = true
		}
		Expect(seen).To(HaveLen(1))
	})

	It("spreads a hot prefix over other endpoints before its preferred endpoint is overloaded", func() {
		t := tableOf(9)
		for range 60 {
			choose(t, requestWithPrefix("hot"), testStart).StartAttempt(requestWithPrefix("hot"), testStart)
		}
		used := 0
		for _, id := range t.IDs() {
			if t.Get(id).running > 0 {
				used++
			}
		}
		Expect(used).To(BeNumerically(">", 4))
	})

	It("leaves out endpoints that failed, but never more than half", func() {
		t := tableOf(4)
		for _, id := range []string{"e0", "e1", "e2"} {
			t.Get(id).StartAttempt(requestWithPrefix("a"), testStart).End(Failed, testStart)
		}
		Expect(t.eligible("models", nil, testStart)).To(HaveLen(4))
		t.Get("e2").avoidUntil = time.Time{}
		Expect(t.eligible("models", nil, testStart)).To(HaveLen(2))
		Expect(t.eligible("models", nil, testStart.Add(time.Second))).To(HaveLen(4))
	})

	for _, c := range []struct {
		name string
		act  func(*Table)
		want int // endpoints that accept new requests
	}{
		{"draining", func(t *Table) {
			t.Put(Registration{ID: "e0", Service: "models", Address: "10.0.0.0:80", Draining: true})
		}, 1},
		{"expired", func(t *Table) { t.Expire("e0", testStart) }, 1},
		{"expired while the store was unreachable, and still in its grace period", func(t *Table) { t.Expire("e0", testStart.Add(time.Second)) }, 2},
		{"replaced at its address by another endpoint", func(t *Table) {
			t.Get("e0").StartAttempt(requestWithPrefix("a"), testStart).End(Misdirected, testStart)
		}, 1},
		{"registered again after a misdirected attempt", func(t *Table) {
			t.Get("e0").StartAttempt(requestWithPrefix("a"), testStart).End(Misdirected, testStart)
			t.Put(t.Get("e0").Registration)
		}, 2},
	} {
		It("counts an endpoint that is "+c.name, func() {
			t := tableOf(2)
			c.act(t)
			Expect(t.Count("models", testStart)).To(Equal(c.want))
		})
	}

	It("discards what was known of an endpoint that restarted", func() {
		t := tableOf(1)
		t.Get("e0").StartAttempt(requestWithPrefix("a"), testStart)
		r := t.Get("e0").Registration
		r.Born = 5
		Expect(t.Put(r)).To(Equal(Restarted))
		Expect(t.Get("e0").running).To(BeZero())
	})

	It("lists registrations for other VMs, with the rest of a grace period", func() {
		t := tableOf(3)
		t.Expire("e0", testStart.Add(time.Second))
		t.Expire("e1", testStart)
		list, expiring := t.Registrations(testStart)
		Expect(list).To(HaveLen(2))
		Expect(expiring).To(Equal(map[string]time.Duration{"e0": time.Second}))
	})

	It("drops expired endpoints", func() {
		t := tableOf(2)
		t.Expire("e1", testStart.Add(time.Second))
		Expect(t.DropExpired(testStart)).To(BeEmpty())
		Expect(t.DropExpired(testStart.Add(time.Second))).To(ConsistOf("e1"))
	})
})

var _ = Describe("Accepts", func() {
	for _, t := range []struct {
		name string
		act  func(*Table, Registration)
		want bool
	}{
		{"nothing has changed", func(*Table, Registration) {}, true},
		{"it began to drain", func(t *Table, r Registration) { r.Draining = true; t.Put(r) }, false},
		{"it is gone", func(t *Table, r Registration) { t.Drop(r.ID) }, false},
		{"it was started again", func(t *Table, r Registration) { r.Born = 7; t.Put(r) }, false},
	} {
		It("decides whether a request may still be sent to an endpoint chosen earlier: "+t.name, func() {
			table := tableOf(2)
			chosen := table.Get("e0")
			t.act(table, chosen.Registration)
			Expect(table.Accepts(chosen, testStart)).To(Equal(t.want))
		})
	}
})
