package ledger

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/budget"
	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

func newWorld() *world.World {
	w := &world.World{Now: time.Unix(100, 0), Policy: world.DefaultPolicy(), TableReachable: true}
	w.Self = entity.VM{Name: "r1", Incarnation: "r1.1"}
	return w
}

// lastTransact returns the newest transaction in the outbox, if there is one.
func lastTransact(w *world.World) (outbox.Transact, bool) {
	for i := len(w.Outbox) - 1; i >= 0; i-- {
		if t, ok := w.Outbox[i].(outbox.Transact); ok {
			return t, true
		}
	}
	return outbox.Transact{}, false
}

var _ = Describe("Writer", func() {
	var w *world.World
	var f *Flusher
	var t *Writer
	var g *entity.Grant

	BeforeEach(func() {
		w = newWorld()
		f = NewFlusher(NewCopier())
		t = NewWriter(f)
		t.row, t.version = entity.VMRow{Name: "r1", Incarnation: "r1.1", Sequence: 4}, 10
		g = budget.GrantOf(w, "a/main")
		budget.UpdateRow(w, g, entity.Row{Version: 7, Document: entity.BudgetRow{Prepaid: 1000}})
		g.WantDraw, g.Urgent = 300, true
		t.Tick(w)
	})

	It("counts a draw once when the budget row is read before the response arrives", func() {
		transact, ok := lastTransact(w)
		Expect(ok).To(BeTrue())
		// A read that overtakes the response already sees the committed draw.
		budget.UpdateRow(w, g, entity.Row{Version: 11, Document: entity.BudgetRow{Prepaid: 1000, Drawn: 300, Holders: []string{"r1.1"}}})
		t.Handle(w, inbox.TransactDone{ID: transact.ID, Outcome: inbox.TransactCommitted, Version: 11})
		Expect(g.BudgetRow.Drawn).To(Equal(int64(300)))
		Expect(g.Free()).To(Equal(int64(300)))
	})

	It("resends the same transaction after a lost response, and takes its own row as proof of the commit", func() {
		first, _ := lastTransact(w)
		t.Handle(w, inbox.TransactDone{ID: first.ID, Outcome: inbox.TransactUnknown})
		w.Now = w.Now.Add(time.Second)
		w.Outbox = nil
		t.Tick(w)
		second, ok := lastTransact(w)
		Expect(ok).To(BeTrue())
		Expect(second.Puts).To(Equal(first.Puts))
		own := entity.VMRow{Name: "r1", Incarnation: "r1.1", Sequence: 5}
		t.Handle(w, inbox.TransactDone{ID: second.ID, Outcome: inbox.TransactConflicted, Current: []entity.Row{{Key: "vm/r1", Version: 11, Document: own}}})
		Expect(g.Drawn).To(Equal(int64(300)))
		Expect(w.Fenced).To(BeFalse())
	})

	It("is fenced when another incarnation owns its row", func() {
		first, _ := lastTransact(w)
		other := entity.VMRow{Name: "r1", Incarnation: "r1.2"}
		t.Handle(w, inbox.TransactDone{ID: first.ID, Outcome: inbox.TransactConflicted, Current: []entity.Row{{Key: "vm/r1", Version: 12, Document: other}}})
		Expect(w.Fenced).To(BeTrue())
		Expect(g.Drawn).To(BeZero())
	})

	It("draws no more than another VM has left in the budget", func() {
		first, _ := lastTransact(w)
		row := entity.Row{Key: "budget/a/main", Version: 8, Document: entity.BudgetRow{Prepaid: 1000, Drawn: 900}}
		t.Handle(w, inbox.TransactDone{ID: first.ID, Outcome: inbox.TransactConflicted, Current: []entity.Row{row}})
		t.Tick(w)
		second, _ := lastTransact(w)
		t.Handle(w, inbox.TransactDone{ID: second.ID, Outcome: inbox.TransactCommitted, Version: 13})
		Expect(g.Drawn).To(Equal(int64(100)))
	})
})

var _ = Describe("Copier", func() {
	It("counts a peer once, however often its acknowledgement arrives", func() {
		w := newWorld()
		c := NewCopier()
		for _, name := range []string{"r2", "r3"} {
			w.Peers.Put(name, &entity.Peer{VM: entity.VM{Name: name, Domain: name}, LastMessageAt: w.Now})
		}
		r := &entity.Request{Charge: entity.Charge{Sequence: 1, Tokens: 5}}
		c.Copy(w, r)
		Expect(r.CopiesPending).To(Equal(2))
		ack := inbox.PeerMessage{From: entity.VM{Name: "r2"}, Message: entity.CopyAck{Sequences: []int64{1}}}
		c.Handle(w, ack)
		c.Handle(w, ack)
		Expect(r.CopiesPending).To(Equal(1))
	})

	It("refuses further copies of an origin that is being recovered", func() {
		w := newWorld()
		c := NewCopier()
		from := entity.VM{Name: "r2", Incarnation: "r2.1"}
		c.Freeze("r2.1")
		c.Handle(w, inbox.PeerMessage{From: from, Message: entity.CopyCharges{Charges: []entity.Charge{{Sequence: 1}}}})
		Expect(c.Stored()).To(BeZero())
		Expect(w.Outbox).To(Equal([]outbox.Command{outbox.SendMessage{To: from, Message: entity.CopyAck{Refused: true}}}))
	})
})
