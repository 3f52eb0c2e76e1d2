package escrow

import (
	"encoding/json"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// moveFixture is a holder with nearly all tokens of an account, and a mover whose
// request waits for some of them.
type moveFixture struct {
	store         *store
	now           time.Time
	holder, mover *Budgets
}

// prepaidForMoves is the budget of the fixture's account in tokens.
const prepaidForMoves = 100_000

func newMoveFixture() *moveFixture {
	f := &moveFixture{store: &store{nowMs: 1_000_000, totals: map[string]VersionedTotal{}, allocations: map[string]VersionedAllocations{}}, now: time.Unix(1_000, 0)}
	f.holder = f.start("holder", "holder-1")
	f.holder.AddWaiting("acme", prepaidForMoves)
	f.write(f.holder)
	f.holder.RemoveWaiting("acme", prepaidForMoves)
	f.holder.AddWaiting("acme", 1) // so that it returns nothing to the store
	f.wait(time.Millisecond)
	f.write(f.holder) // with a small burst
	f.holder.RemoveWaiting("acme", 1)
	f.mover = f.start("mover", "mover-1")
	return f
}

// start starts an incarnation of a VM. Its predecessor has ended.
func (f *moveFixture) start(name, incarnation string) *Budgets {
	b := New(name, incarnation, name+":1", Policy{ReportInterval: time.Millisecond})
	b.SetHomes(8, true)
	b.Configure("acme", prepaidForMoves, true)
	f.read(b)
	own := f.store.snapshot().Allocations[name]
	b.TakeOver(own.VMAllocations, own.Version, f.store.nowMs)
	return b
}

func (f *moveFixture) wait(d time.Duration) {
	f.now = f.now.Add(d)
	f.store.nowMs += d.Milliseconds()
}

func (f *moveFixture) read(b *Budgets) {
	b.SetStoreClock(f.store.nowMs, f.now)
	b.SetSnapshot(f.store.snapshot())
}

// write sends one transaction of a VM and its response.
func (f *moveFixture) write(b *Budgets) {
	f.respond(b, b.Plan(f.now))
}

func (f *moveFixture) respond(b *Budgets, t *Transaction) {
	out := f.store.apply(b.vm, t)
	if out.Applied {
		b.Applied(t, out.Version)
		return
	}
	Expect(b.Conflict(t, out.Current)).To(BeTrue(), "no other incarnation has taken over")
}

// move lets the mover move tokens for a request of the given size.
func (f *moveFixture) move(tokens int64) {
	f.read(f.mover)
	need := f.mover.Balance("acme", f.now).Granted - f.mover.Balance("acme", f.now).Committed + tokens
	f.mover.AddWaiting("acme", need)
	defer f.mover.RemoveWaiting("acme", need)
	before := f.store.moves
	f.write(f.mover)
	Expect(f.store.moves).To(Equal(before + 1))
}

// inRow returns an allocation in the store.
func (f *moveFixture) inRow(vm string) Allocation {
	return f.store.allocations[vm].VMAllocations.Accounts["acme"]
}

var _ = Describe("Tokens that are moved from the row of another VM", func() {
	for _, c := range []struct {
		name string
		play func(f *moveFixture)
	}{
		{"before the holder's next write", func(f *moveFixture) { f.move(5_000) }},
		{"twice before the holder's next write", func(f *moveFixture) { f.move(5_000); f.move(4_000) }},
		{"after a transaction of the holder was applied without a response", func(f *moveFixture) {
			f.wait(time.Second)
			f.holder.AddWaiting("acme", 1)
			f.store.apply("holder", f.holder.Plan(f.now))
			f.holder.RemoveWaiting("acme", 1)
			f.move(5_000)
			f.move(4_000)
		}},
		{"before a transaction of the holder that returns tokens arrives", func(f *moveFixture) {
			f.holder.Close()
			f.holder.Plan(f.now)
			f.move(5_000)
		}},
		{"and lent by the holder meanwhile as far as its offline limit allows", func(f *moveFixture) {
			f.move(5_000)
			f.wait(time.Minute)
			f.holder.HandOver("acme", f.now)
		}},
		{"while the holder borrows", func(f *moveFixture) {
			f.move(5_000)
			loan := f.mover.Lend("acme", 100, 100, f.now)
			Expect(loan).To(Equal(int64(100)))
			f.holder.AddLoan("acme", loan)
		}},
		{"before a holder that is no home VM any more gives back the rest", func(f *moveFixture) {
			f.holder.SetHomes(8, false)
			f.move(5_000)
		}},
		{"by a transaction whose response was lost", func(f *moveFixture) {
			f.read(f.mover)
			f.mover.AddWaiting("acme", 5_000)
			t := f.mover.Plan(f.now)
			Expect(t.Moves).To(HaveLen(1))
			f.store.apply("mover", t)
			f.respond(f.mover, f.mover.Plan(f.now))
		}},
		{"between a successor's reading of the row and its first write", func(f *moveFixture) {
			f.holder = f.start("holder", "holder-2")
			f.move(5_000)
		}},
		{"before a successor reads the row", func(f *moveFixture) {
			f.move(5_000)
			f.holder = f.start("holder", "holder-2")
		}},
	} {
		It("count once: "+c.name, func() {
			f := newMoveFixture()
			c.play(f)
			for range 3 {
				f.wait(time.Second)
				f.write(f.holder)
				f.write(f.mover)
			}
			sum := int64(0)
			for _, b := range []*Budgets{f.holder, f.mover} {
				Expect(b.Balance("acme", f.now).Granted).To(Equal(f.inRow(b.vm).Granted), b.vm)
				Expect(b.Balance("acme", f.now).Committed).To(BeNumerically("<=", f.inRow(b.vm).Granted), b.vm)
				sum += f.inRow(b.vm).Granted
			}
			total := f.store.totals["acme"].Total
			loans := f.inRow("holder").Lent + f.inRow("mover").Lent
			Expect(sum+total.Unaccounted).To(BeNumerically("<=", total.Drawn+loans), "granted is at most what was drawn and lent")
		})
	}

	It("are never spent by a frozen holder that wakes with an old view", func() {
		f := newMoveFixture()
		f.wait(staleRowAge)
		f.move(5_000)
		f.wait(time.Hour)
		loan := f.holder.HandOver("acme", f.now).Returned
		Expect(loan).To(Equal(f.inRow("holder").OfflineLimit))
		Expect(f.inRow("holder").movable()).To(BeZero(), "all movable tokens of a stale row are moved")
		Expect(loan + f.inRow("mover").Granted).To(BeNumerically("<=", prepaidForMoves))
	})

	It("leave a holder that the store does not reach its offline limit and what it borrows", func() {
		f := newMoveFixture()
		f.wait(time.Hour)
		limit := f.inRow("holder").OfflineLimit
		Expect(f.holder.Balance("acme", f.now).Available).To(Equal(limit))
		_, covered := f.holder.AvailableIn("acme", limit, f.now)
		Expect(covered).To(BeTrue())
		_, covered = f.holder.AvailableIn("acme", limit+1, f.now)
		Expect(covered).To(BeFalse(), "only a write makes more available")
		Expect(f.holder.Obtainable("acme", limit+1, f.now)).To(BeTrue())
		f.holder.AddLoan("acme", 500)
		Expect(f.holder.Balance("acme", f.now).Available).To(Equal(limit + 500))
	})

	It("are no more than needed when the row was written recently", func() {
		f := newMoveFixture()
		f.move(5_000)
		Expect(f.inRow("mover").Granted).To(Equal(int64(5_000)))
		f.read(f.mover)
		Expect(f.mover.Balance("acme", f.now).Movable).To(Equal(f.inRow("holder").movable() / recentRowDivisor))
	})

	It("stay where they are while undrawn tokens suffice, or they don't cover one request", func() {
		f := newMoveFixture()
		f.mover.Configure("acme", prepaidForMoves+5_000, true)
		f.mover.AddWaiting("acme", 5_000)
		t := f.mover.Plan(f.now)
		Expect(t.Moves).To(BeEmpty())
		f.respond(f.mover, t)
		f.mover.AddWaiting("acme", prepaidForMoves)
		f.mover.RemoveWaiting("acme", 5_000)
		Expect(f.mover.Plan(f.now).Moves).To(BeEmpty())
	})

	It("come from at most four rows, those not written for long first", func() {
		f := newMoveFixture()
		for i := range 6 {
			row := f.store.allocations["holder"]
			row.VMAllocations.StoreMs -= staleRowAge.Milliseconds() * int64(i%2)
			f.store.allocations[fmt.Sprintf("other%d", i)] = row
		}
		f.read(f.mover)
		f.mover.AddWaiting("acme", 4*prepaidForMoves)
		f.mover.AddWaiting("acme", 1)
		moves := f.mover.Plan(f.now).Moves
		Expect(moves).To(HaveLen(MaxMoves))
		Expect([]string{moves[0].VM, moves[1].VM, moves[2].VM}).To(Equal([]string{"other1", "other3", "other5"}))
	})
})

var _ = Describe("The movable part of a row", func() {
	for _, c := range []struct {
		name, row string
		movable   int64
	}{
		{"is what the VM may not commit before its next write", `{"granted":100,"committed":20,"offline":30}`, 50},
		{"is never negative", `{"granted":40,"committed":20,"offline":30}`, 0},
		{"is empty in a row of a program that does not know the limit", `{"granted":100,"committed":20,"burst":5}`, 0},
	} {
		It(c.name, func() {
			var a Allocation
			Expect(json.Unmarshal([]byte(c.row), &a)).To(Succeed())
			Expect(a.movable()).To(Equal(c.movable))
			if a.movable() > 0 {
				Expect(a.maxCommitted(time.Hour)).To(BeNumerically("<=", a.Granted-a.movable()))
			}
		})
	}
})
