package escrow

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/revision"
)

// Size of the property test: one run for each seed.
const (
	propertySeeds = 10_000
	stepsPerSeed  = 220
	simulatedVMs  = 4
)

// store simulates the platform's store: rows with versions, a clock, and
// transactions that are applied late.
type store struct {
	version     revision.Version
	nowMs       int64
	totals      map[string]VersionedTotal
	allocations map[string]VersionedAllocations
	delayed     []delayedTransaction
	moves       int // rows from which tokens were moved
	marks       map[revision.Era]VersionedMark
	over        map[revision.Era]bool   // eras that are over by a row
	registered  map[string]registration // by VM
}

// delayedTransaction is a transaction that has not reached the store yet.
type delayedTransaction struct {
	vm string
	t  *Transaction
}

// apply applies a transaction if its conditions hold.
func (s *store) apply(vm string, t *Transaction) Outcome {
	out := Outcome{StoreMs: s.nowMs}
	conditionsHold := s.allocations[vm].Version == t.Version
	for _, c := range t.Totals {
		conditionsHold = conditionsHold && s.totals[c.Account].Version == c.Version
	}
	for _, m := range t.Moves {
		conditionsHold = conditionsHold && s.allocations[m.VM].Version == m.Version
	}
	if !conditionsHold || !s.marksAllow(t) {
		out.Current = s.rowsOf(vm, t)
		return out
	}
	s.version.Number++
	s.allocations[vm] = VersionedAllocations{VMAllocations: copyOf(t.VMAllocations), Version: s.version}
	for _, c := range t.Totals {
		s.totals[c.Account] = VersionedTotal{Total: c.Total, Version: s.version}
	}
	for _, m := range t.Moves {
		s.allocations[m.VM] = VersionedAllocations{VMAllocations: copyOf(m.VMAllocations), Version: s.version}
		if len(m.Tokens) > 0 {
			s.moves++
		}
	}
	s.applyMark(t)
	out.Applied, out.Version = true, s.version
	return out
}

// rowsOf returns the rows to which a transaction's conditions refer.
func (s *store) rowsOf(vm string, t *Transaction) Snapshot {
	c := s.emptySnapshot()
	names := []string{vm}
	for _, m := range t.Moves {
		names = append(names, m.VM)
	}
	for _, name := range names {
		if row, ok := s.allocations[name]; ok {
			c.Allocations[name] = VersionedAllocations{VMAllocations: copyOf(row.VMAllocations), Version: row.Version}
		}
	}
	for _, total := range t.Totals {
		if row, ok := s.totals[total.Account]; ok {
			c.Totals[total.Account] = row
		}
	}
	return c
}

// copyOf returns a deep copy, made through the encoding of the row.
func copyOf(allocations VMAllocations) VMAllocations {
	raw, err := json.Marshal(allocations)
	Expect(err).NotTo(HaveOccurred())
	var c VMAllocations
	Expect(json.Unmarshal(raw, &c)).To(Succeed())
	return c
}

func (s *store) snapshot() Snapshot {
	c := s.emptySnapshot()
	for k, v := range s.totals {
		c.Totals[k] = v
	}
	for k, v := range s.allocations {
		c.Allocations[k] = VersionedAllocations{VMAllocations: copyOf(v.VMAllocations), Version: v.Version}
	}
	return c
}

// vm simulates one VM with its running requests. Its own clock stands still
// while it is frozen.
type vm struct {
	name    string
	budgets *Budgets
	running []*Reservation
	now     time.Time
	started time.Time
	frozen  bool
}

// fleet simulates all VMs and the store in the run of one seed.
type fleet struct {
	random           *rand.Rand
	store            *store
	vms              []*vm
	prepaid          map[string]int64
	used             map[string]int64 // by completed requests, and by those of crashed VMs in full
	starts           int
	storeUnreachable bool
	stepBacks        *stepBacks // nil for a store that states no era
}

func newFleet(seed uint64) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 7)),
		store:  &store{totals: map[string]VersionedTotal{}, allocations: map[string]VersionedAllocations{}},
		used:   map[string]int64{},
	}
	f.prepaid = map[string]int64{"large": 5_000 + f.random.Int64N(60_000), "small": 500 + f.random.Int64N(8_000)}
	for i := range simulatedVMs {
		f.vms = append(f.vms, &vm{name: fmt.Sprintf("vm%d", i), now: time.Unix(1_000, 0)})
		f.start(f.vms[i])
	}
	return f
}

// start begins a new incarnation of a VM. The requests that ran on the previous
// one count as having used their whole reservations.
func (f *fleet) start(v *vm) {
	for _, r := range v.running {
		if r.account != nil {
			f.used[f.accountOf(v, r)] += r.tokens
		}
	}
	f.starts++
	isHome := v.budgets == nil || v.budgets.IsHome()
	v.running, v.frozen = nil, false
	v.started = v.now
	v.budgets = New(v.name, fmt.Sprintf("%s-%d", v.name, f.starts), "10.0.0.1:1", Policy{ReportInterval: 500 * time.Millisecond})
	v.budgets.SetHomes(simulatedVMs-1, isHome)
	for name, p := range f.prepaid {
		v.budgets.Configure(name, p, true)
	}
}

// replace ends a VM for good and starts one with a new name, so that
// nobody takes over the old row.
func (f *fleet) replace(v *vm) {
	v.name = fmt.Sprintf("vm%d-%d", f.starts, simulatedVMs)
	f.start(v)
}

// abandon adds a VM with a new name while the fleet is small, as when a cut-off or
// frozen VM, which may come back, is taken for lost.
func (f *fleet) abandon() {
	if len(f.vms) >= simulatedVMs+2 {
		return
	}
	v := &vm{name: fmt.Sprintf("vm%d-%d", f.starts, simulatedVMs), now: time.Unix(1_000, 0)}
	f.vms = append(f.vms, v)
	f.start(v)
}

// accountOf returns the name of a reservation's account.
func (f *fleet) accountOf(v *vm, r *Reservation) string {
	for name := range f.prepaid {
		if v.budgets.accounts[name] == r.account {
			return name
		}
	}
	return ""
}

// randomAccount returns the name of a random account.
func (f *fleet) randomAccount() string {
	if f.random.IntN(3) == 0 {
		return "small"
	}
	return "large"
}

// step does one random operation and lets some time elapse.
func (f *fleet) step() {
	v := f.vms[f.random.IntN(len(f.vms))]
	switch f.random.IntN(47) {
	case 43, 44, 45, 46:
		f.waitFor(v)
	case 41:
		f.replace(v)
	case 42:
		f.abandon()
	case 0:
		f.storeUnreachable = !f.storeUnreachable
	case 1:
		f.start(v)
	case 2:
		if f.random.IntN(4) == 0 { // all VMs lose power
			for _, o := range f.vms {
				f.start(o)
			}
		}
	case 3:
		v.frozen = !v.frozen
	case 4:
		f.topUp()
	case 5:
		f.applyDelayed()
	case 6, 7:
		f.lend(v)
	case 36, 37:
		f.lendAsHome(v)
	case 38, 39:
		f.repay(v)
	case 40:
		v.budgets.SetHomes(simulatedVMs-1, f.random.IntN(3) > 0)
	case 8, 9, 10, 11, 12, 13, 14, 15, 16:
		f.request(v)
	case 17, 18, 19, 20, 21:
		f.finish(v)
	default:
		f.exchange(v)
	}
	f.advance(time.Duration(f.random.IntN(400)) * time.Millisecond)
}

// advance advances the clocks of the store and of all VMs that are not frozen.
func (f *fleet) advance(d time.Duration) {
	f.store.nowMs += d.Milliseconds()
	for _, v := range f.vms {
		if !v.frozen {
			v.now = v.now.Add(d)
		}
	}
}

// topUp raises the budget of a random account.
func (f *fleet) topUp() {
	name := f.randomAccount()
	f.prepaid[name] += f.random.Int64N(5_000)
	for _, v := range f.vms {
		if f.random.IntN(2) == 0 { // the other VMs learn of it with a later top-up, or never
			v.budgets.Configure(name, f.prepaid[name], true)
		}
	}
}

// applyDelayed applies the delayed transactions whose conditions still hold.
func (f *fleet) applyDelayed() {
	for _, l := range f.store.delayed {
		f.store.apply(l.vm, l.t)
	}
	f.store.delayed = nil
}

// lend lends tokens of another VM to v, as home VMs do among themselves.
func (f *fleet) lend(v *vm) {
	o := f.vms[f.random.IntN(len(f.vms))]
	if o == v || o.frozen || v.frozen {
		return
	}
	name := f.randomAccount()
	loan := o.budgets.Lend(name, f.random.Int64N(2_000), f.random.Int64N(6_000), o.now)
	if f.random.IntN(5) > 0 { // else the response is lost
		v.budgets.AddLoan(name, loan)
	}
}

// lendAsHome lends tokens of another VM to v as a home VM does for its
// borrowers. The lender may be any VM, as a borrower may not know the current
// home VMs.
func (f *fleet) lendAsHome(v *vm) {
	o := f.vms[f.random.IntN(len(f.vms))]
	if o == v || o.frozen || v.frozen {
		return
	}
	name := f.randomAccount()
	need := f.random.Int64N(2_000)
	loan := o.budgets.LendAsHome(name, need, need+f.random.Int64N(2_000), o.now)
	if f.random.IntN(5) > 0 { // else the response is lost
		v.budgets.AddLoan(name, loan)
	}
}

// repay repays or hands over tokens of v to another VM.
func (f *fleet) repay(v *vm) {
	o := f.vms[f.random.IntN(len(f.vms))]
	if o == v || o.frozen || v.frozen {
		return
	}
	name := f.randomAccount()
	r := v.budgets.Repay(name, v.now)
	if f.random.IntN(4) == 0 {
		r = v.budgets.HandOver(name, v.now)
	}
	if f.random.IntN(5) > 0 { // else the repayment is lost
		o.budgets.AddRepayment(name, r)
	}
}

// request reserves tokens for a request. When that fails, the request waits
// forever or gives up at once.
func (f *fleet) request(v *vm) {
	if v.frozen {
		return
	}
	name, tokens := f.randomAccount(), 1+f.random.Int64N(2_000)
	if r, ok := v.budgets.Reserve(name, tokens, v.now); ok {
		v.running = append(v.running, r)
		return
	}
	v.budgets.AddWaiting(name, tokens)
	if f.random.IntN(2) == 0 {
		v.budgets.RemoveWaiting(name, tokens)
	}
}

// waitFor makes a VM wait for a random number of tokens while it exchanges
// transactions with the store, so that it moves tokens.
func (f *fleet) waitFor(v *vm) {
	name, tokens := f.randomAccount(), 1+f.random.Int64N(20_000)
	v.budgets.AddWaiting(name, tokens)
	f.exchange(v)
	f.exchange(v)
	v.budgets.RemoveWaiting(name, tokens)
}

// finish completes the oldest request of a VM with at least three quarters of
// its reservation used.
func (f *fleet) finish(v *vm) {
	if v.frozen || len(v.running) == 0 {
		return
	}
	r := v.running[0]
	v.running = v.running[1:]
	name := f.accountOf(v, r)
	used := r.tokens - f.random.Int64N(r.tokens/4+1)
	f.used[name] += used
	v.budgets.Settle(r, used)
}

// exchange reads the store if necessary and sends it the next transaction. The
// request or the response may be lost or delayed.
func (f *fleet) exchange(v *vm) {
	if f.storeUnreachable || v.frozen || f.stepBacks != nil && !f.register(v) {
		return
	}
	if !v.budgets.Ready() || v.budgets.HasUnreadTotals() || f.random.IntN(6) == 0 {
		snapshot := f.store.snapshot()
		v.budgets.SetStoreClock(f.store.nowMs, v.now)
		own := snapshot.Allocations[v.name]
		v.budgets.SetSnapshot(snapshot)
		if !v.budgets.Ready() {
			v.budgets.TakeOver(own.VMAllocations, own.Version, f.store.nowMs-v.now.Sub(v.started).Milliseconds())
		}
	}
	if !v.budgets.Due(v.now) {
		return
	}
	t := v.budgets.Plan(v.now)
	sent := *t
	switch f.random.IntN(8) {
	case 0: // the request is lost
		return
	case 1: // applied, the response is lost
		f.store.apply(v.name, &sent)
		return
	case 2: // applied later, if its conditions still hold
		f.store.delayed = append(f.store.delayed, delayedTransaction{vm: v.name, t: &sent})
		return
	}
	out := f.store.apply(v.name, &sent)
	v.budgets.SetStoreClock(out.StoreMs, v.now)
	if out.Applied {
		v.budgets.Applied(t, out.Version)
		return
	}
	Expect(v.budgets.Conflict(t, out.Current)).To(BeTrue(), "no other incarnation has taken over")
}

// spendAll lets all VMs spend what they may without another write, however long
// that takes.
func (f *fleet) spendAll() {
	for _, v := range f.vms {
		v.frozen = false
	}
	f.advance(time.Hour)
	for _, v := range f.vms {
		for _, name := range []string{"large", "small"} {
			if r, ok := v.budgets.Reserve(name, max(v.budgets.Balance(name, v.now).Available, 0), v.now); ok {
				v.running = append(v.running, r)
			}
		}
	}
}

// overspent describes an account whose requests used, or may use, more than its
// budget; empty when there is none.
func (f *fleet) overspent() string {
	for name, prepaid := range f.prepaid {
		used := f.used[name]
		for _, v := range f.vms {
			for _, r := range v.running {
				if v.budgets.accounts[name] == r.account {
					used += r.tokens
				}
			}
		}
		if used > prepaid {
			return fmt.Sprintf("%s: used %d of %d", name, used, prepaid)
		}
	}
	return ""
}

// falselyExhausted describes an account that a VM reports as exhausted although
// its requests have used less than the budget; empty when there is none.
func (f *fleet) falselyExhausted() string {
	for name, prepaid := range f.prepaid {
		left := prepaid - f.used[name]
		for _, v := range f.vms {
			if v.budgets.accounts[name].prepaid == prepaid && left > 0 && v.budgets.Exhausted(name, left) && !f.hasRunning(name) {
				return fmt.Sprintf("%s at %s: %d are left of %d", name, v.name, left, prepaid)
			}
		}
	}
	return ""
}

// hasRunning reports whether any VM runs requests of an account.
func (f *fleet) hasRunning(name string) bool {
	for _, v := range f.vms {
		for _, r := range v.running {
			if v.budgets.accounts[name] == r.account {
				return true
			}
		}
	}
	return false
}

// check fails if an account is overspent, or falsely exhausted, after a step.
func (f *fleet) check(seed uint64, step int) {
	if problem := f.overspent(); problem != "" {
		Fail(fmt.Sprintf("seed %d, step %d: %s", seed, step, problem))
	}
	if problem := f.falselyExhausted(); problem != "" {
		Fail(fmt.Sprintf("seed %d, step %d: falsely exhausted: %s", seed, step, problem))
	}
}

// checkEnd fails if an account is overspent once all VMs have spent what they may.
func (f *fleet) checkEnd(seed uint64) {
	f.spendAll()
	if problem := f.overspent(); problem != "" {
		Fail(fmt.Sprintf("seed %d, all spend what they may: %s", seed, problem))
	}
}

var _ = Describe("Budgets", func() {
	moves := 0
	AfterEach(func() { AddReportEntry("rows moved from", moves) })

	It("never spends more than the prepaid budget, despite crashes, power loss, freezes, lost and delayed responses, loans, top-ups, and VMs replaced under new names", func() {
		for seed := range uint64(propertySeeds) {
			f := newFleet(seed)
			for step := range stepsPerSeed {
				f.step()
				f.check(seed, step)
			}
			f.checkEnd(seed)
			moves += f.store.moves
		}
	})
})
