package escrow

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Sizes of the property's runs.
const (
	propertyRuns  = 10_000
	propertySteps = 220
	propertyVMs   = 4
)

// store is the platform's store as the property sees it: rows with versions, a
// clock, and changes that are carried out late.
type store struct {
	version  int64
	nowMs    int64
	totals   map[string]VersionedTotal
	holdings map[string]VersionedHolding
	late     []lateChange
}

type lateChange struct {
	vm string
	t  *Transaction
}

// apply carries out a transaction if its conditions hold.
func (s *store) apply(vm string, t *Transaction) Outcome {
	out := Outcome{StoreMs: s.nowMs}
	fits := s.holdings[vm].Version == t.Version
	for _, c := range t.Totals {
		fits = fits && s.totals[c.Account].Version == c.Version
	}
	if !fits {
		out.Current = s.snapshot()
		return out
	}
	s.version++
	s.holdings[vm] = VersionedHolding{Holding: copyOf(t.Holding), Version: s.version}
	for _, c := range t.Totals {
		s.totals[c.Account] = VersionedTotal{Total: c.Total, Version: s.version}
	}
	out.Applied, out.Version = true, s.version
	return out
}

func copyOf(h Holding) Holding {
	raw, err := json.Marshal(h)
	Expect(err).NotTo(HaveOccurred())
	var c Holding
	Expect(json.Unmarshal(raw, &c)).To(Succeed())
	return c
}

func (s *store) snapshot() Snapshot {
	c := Snapshot{Totals: map[string]VersionedTotal{}, Holdings: map[string]VersionedHolding{}}
	for k, v := range s.totals {
		c.Totals[k] = v
	}
	for k, v := range s.holdings {
		c.Holdings[k] = VersionedHolding{Holding: copyOf(v.Holding), Version: v.Version}
	}
	return c
}

// vm is one VM with its running requests. Its own clock stands still while it
// is frozen.
type vm struct {
	name    string
	book    *Book
	running []*Reservation
	now     time.Time
	started time.Time
	frozen  bool
	fenced  bool
}

// world is one run.
type world struct {
	random  *rand.Rand
	store   *store
	vms     []*vm
	prepaid map[string]int64
	used    map[string]int64 // by ended requests, and by those of dead VMs at their worst
	starts  int
	lost    bool // the store is out of reach
}

func newWorld(seed uint64) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 7)),
		store:  &store{totals: map[string]VersionedTotal{}, holdings: map[string]VersionedHolding{}},
		used:   map[string]int64{},
	}
	w.prepaid = map[string]int64{"large": 5_000 + w.random.Int64N(60_000), "small": 500 + w.random.Int64N(8_000)}
	for i := range propertyVMs {
		w.vms = append(w.vms, &vm{name: fmt.Sprintf("vm%d", i), now: time.Unix(1_000, 0)})
		w.start(w.vms[i])
	}
	return w
}

// start begins a new incarnation; what ran on the old one is lost.
func (w *world) start(v *vm) {
	for _, r := range v.running {
		if r.account != nil {
			w.used[w.nameOf(v, r)] += r.tokens
		}
	}
	w.starts++
	home := v.book == nil || v.book.Home()
	v.running, v.frozen, v.fenced = nil, false, false
	v.started = v.now
	v.book = New(v.name, fmt.Sprintf("%s-%d", v.name, w.starts), "10.0.0.1:1", Policy{Report: 500 * time.Millisecond})
	v.book.SetHomes(propertyVMs-1, home)
	for name, p := range w.prepaid {
		v.book.Configure(name, p, true)
	}
}

func (w *world) nameOf(v *vm, r *Reservation) string {
	for name := range w.prepaid {
		if v.book.accounts[name] == r.account {
			return name
		}
	}
	return ""
}

func (w *world) account() string {
	if w.random.IntN(3) == 0 {
		return "small"
	}
	return "large"
}

// step does one random thing.
func (w *world) step() {
	v := w.vms[w.random.IntN(len(w.vms))]
	switch w.random.IntN(41) {
	case 0:
		w.lost = !w.lost
	case 1:
		w.start(v)
	case 2:
		if w.random.IntN(4) == 0 { // all lose power
			for _, o := range w.vms {
				w.start(o)
			}
		}
	case 3:
		v.frozen = !v.frozen
	case 4:
		w.topUp()
	case 5:
		w.carryOutLate()
	case 6, 7:
		w.lend(v)
	case 36, 37:
		w.supply(v)
	case 38, 39:
		w.repay(v)
	case 40:
		v.book.SetHomes(propertyVMs-1, w.random.IntN(3) > 0)
	case 8, 9, 10, 11, 12, 13, 14, 15, 16:
		w.request(v)
	case 17, 18, 19, 20, 21:
		w.finish(v)
	default:
		w.exchange(v)
	}
	w.pass(time.Duration(w.random.IntN(400)) * time.Millisecond)
}

func (w *world) pass(d time.Duration) {
	w.store.nowMs += d.Milliseconds()
	for _, v := range w.vms {
		if !v.frozen {
			v.now = v.now.Add(d)
		}
	}
}

func (w *world) topUp() {
	name := w.account()
	w.prepaid[name] += w.random.Int64N(5_000)
	for _, v := range w.vms {
		if w.random.IntN(2) == 0 { // others hear of it later, or never
			v.book.Configure(name, w.prepaid[name], true)
		}
	}
}

func (w *world) carryOutLate() {
	for _, l := range w.store.late {
		w.store.apply(l.vm, l.t)
	}
	w.store.late = nil
}

func (w *world) lend(v *vm) {
	o := w.vms[w.random.IntN(len(w.vms))]
	if o == v || o.frozen || v.frozen {
		return
	}
	name := w.account()
	given := o.book.Lend(name, w.random.Int64N(2_000), w.random.Int64N(6_000), o.now)
	if w.random.IntN(5) > 0 { // else the answer is lost
		v.book.Borrowed(name, given)
	}
}

// supply lends from any VM, as those that ask may not know the homes.
func (w *world) supply(v *vm) {
	o := w.vms[w.random.IntN(len(w.vms))]
	if o == v || o.frozen || v.frozen {
		return
	}
	name := w.account()
	need := w.random.Int64N(2_000)
	given := o.book.Supply(name, need, need+w.random.Int64N(2_000), o.now)
	if w.random.IntN(5) > 0 { // else the answer is lost
		v.book.Borrowed(name, given)
	}
}

// repay gives back to any VM.
func (w *world) repay(v *vm) {
	o := w.vms[w.random.IntN(len(w.vms))]
	if o == v || o.frozen || v.frozen {
		return
	}
	name := w.account()
	r := v.book.Repay(name, v.now)
	if w.random.IntN(4) == 0 {
		r = v.book.HandOver(name, v.now)
	}
	if w.random.IntN(5) > 0 { // else it is lost
		o.book.Repaid(name, r)
	}
}

func (w *world) request(v *vm) {
	if v.frozen || v.fenced {
		return
	}
	name, tokens := w.account(), 1+w.random.Int64N(2_000)
	if r, ok := v.book.Reserve(name, tokens, v.now); ok {
		v.running = append(v.running, r)
		return
	}
	v.book.Wait(name, tokens)
	if w.random.IntN(2) == 0 {
		v.book.Leave(name, tokens)
	}
}

func (w *world) finish(v *vm) {
	if v.frozen || len(v.running) == 0 {
		return
	}
	r := v.running[0]
	v.running = v.running[1:]
	name := w.nameOf(v, r)
	used := r.tokens - w.random.Int64N(r.tokens/4+1)
	w.used[name] += used
	v.book.Settle(r, used)
}

// exchange is one round with the store, whose answer may be lost.
func (w *world) exchange(v *vm) {
	if w.lost || v.frozen || v.fenced {
		return
	}
	if !v.book.Ready() || v.book.Unread() || w.random.IntN(6) == 0 {
		snapshot := w.store.snapshot()
		v.book.Clock(w.store.nowMs, v.now)
		own := snapshot.Holdings[v.name]
		v.book.Observe(snapshot)
		if !v.book.Ready() {
			v.book.Start(own.Holding, own.Version, w.store.nowMs-v.now.Sub(v.started).Milliseconds())
		}
	}
	if !v.book.Due(v.now) {
		return
	}
	t := v.book.Plan(v.now)
	sent := *t
	switch w.random.IntN(8) {
	case 0: // never arrives
		return
	case 1: // carried out, the answer is lost
		w.store.apply(v.name, &sent)
		return
	case 2: // carried out later, if its conditions still hold
		w.store.late = append(w.store.late, lateChange{vm: v.name, t: &sent})
		return
	}
	out := w.store.apply(v.name, &sent)
	v.book.Clock(out.StoreMs, v.now)
	if out.Applied {
		v.book.Applied(t, out.Version)
		return
	}
	v.fenced = !v.book.Conflict(t, out.Current)
}

// overspent returns the first account whose requests used, or may use, more
// than its budget.
func (w *world) overspent() string {
	for name, prepaid := range w.prepaid {
		used := w.used[name]
		for _, v := range w.vms {
			for _, r := range v.running {
				if v.book.accounts[name] == r.account {
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

// falselyExhausted returns an account that a VM takes for spent although its
// requests have used less.
func (w *world) falselyExhausted() string {
	for name, prepaid := range w.prepaid {
		left := prepaid - w.used[name]
		for _, v := range w.vms {
			if v.book.accounts[name].prepaid == prepaid && left > 0 && v.book.Exhausted(name, left) && !w.inFlight(name) {
				return fmt.Sprintf("%s at %s: %d are left of %d", name, v.name, left, prepaid)
			}
		}
	}
	return ""
}

func (w *world) inFlight(name string) bool {
	for _, v := range w.vms {
		for _, r := range v.running {
			if v.book.accounts[name] == r.account {
				return true
			}
		}
	}
	return false
}

var _ = Describe("Book", func() {
	It("never spends more than the prepaid budget, over kills, power loss, freezes, lost and late answers, loans and top-ups", func() {
		for seed := range uint64(propertyRuns) {
			w := newWorld(seed)
			for step := range propertySteps {
				w.step()
				if problem := w.overspent(); problem != "" {
					Fail(fmt.Sprintf("seed %d, step %d: %s", seed, step, problem))
				}
				if problem := w.falselyExhausted(); problem != "" {
					Fail(fmt.Sprintf("seed %d, step %d: taken for spent: %s", seed, step, problem))
				}
			}
		}
	})
})
