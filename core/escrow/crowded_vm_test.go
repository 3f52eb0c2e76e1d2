package escrow

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/home"
	"hawthornspar/core/revision"
)

// Durations of the simulation of a crowded VM.
const (
	simulationStep    = 5 * time.Millisecond
	storeRoundTrip    = 20 * time.Millisecond
	peerRoundTrip     = 10 * time.Millisecond
	homeWritePause    = 100 * time.Millisecond
	homeReadPeriod    = 1200 * time.Millisecond
	simulatedRepay    = time.Second
	requestTime       = time.Second
	maxWaitForTokens  = 400 * time.Millisecond
	homeLendWait      = 60 * time.Millisecond
	rateShiftPeriod   = 1500 * time.Millisecond
	simulatedWarmUp   = time.Second
	simulatedRunTime  = 12 * time.Second
	requestTokens     = 8_000
	requestTokensUsed = 5_600
)

// homeVM is a home VM with its exchange with the store.
type homeVM struct {
	name     string
	budgets  *Budgets
	inFlight *Transaction // sent, its response has not arrived
	nextSend time.Time
	nextRead time.Time
	started  time.Time
	cutOff   bool // from the store
}

// waitingRequest waits for tokens.
type waitingRequest struct{ giveUpAt time.Time }

// runningRequest holds a reservation until it ends.
type runningRequest struct {
	reservation *Reservation
	endsAt      time.Time
}

// borrowerVM is a VM that is no home VM, with its requests of one account.
type borrowerVM struct {
	name     string
	account  string
	budgets  *Budgets
	rate     float64 // requests per second
	due      float64 // requests that are due to arrive
	waiting  []waitingRequest
	running  []runningRequest
	lenders  Rotation  // of the home VMs
	respond  time.Time // when the response to the loan request arrives; zero for none in flight
	lender   *Budgets  // of the loan request that waits
	lendWait int64     // tokens that the loan request waits for at the home VM; 0 when it does not wait
	nextHome time.Time // of the next repayment
	served   int
	refused  int
	tooEarly int       // refused with more than almostSpentShare of the account unspent
	upAt     time.Time // when it is up again after a loss of power
}

// crowdedFleet simulates eight home VMs and some borrowers of one account in a
// group of accounts.
type crowdedFleet struct {
	store     *store
	start     time.Time
	now       time.Time
	prepaid   map[string]int64
	homes     []*homeVM
	borrowers []*borrowerVM
	storeOut  bool
	used      map[string]int64 // tokens used by requests, by account
	starts    int
}

// otherAccounts is the number of the other accounts in the group.
const otherAccounts = 9

// otherAccount returns the name of one of the other accounts.
func otherAccount(i int) string { return fmt.Sprintf("other%d", i) }

func newCrowdedFleet(prepaid int64, rates ...float64) *crowdedFleet {
	accounts := map[string]int64{"large": prepaid}
	for i := range otherAccounts {
		accounts[otherAccount(i)] = 2_000_000
	}
	f := newFleetOf(accounts)
	for _, rate := range rates {
		f.addBorrower("large", rate)
	}
	return f
}

// newFleetOf returns the home VMs of accounts with the given budgets.
func newFleetOf(prepaid map[string]int64) *crowdedFleet {
	f := &crowdedFleet{
		store: &store{totals: map[string]VersionedTotal{}, allocations: map[string]VersionedAllocations{}},
		start: time.Unix(1_000, 0), now: time.Unix(1_000, 0), prepaid: prepaid, used: map[string]int64{},
	}
	for i := range home.HomesPerGroup {
		h := &homeVM{name: fmt.Sprintf("home%d", i), nextSend: f.now.Add(time.Duration(i) * 7 * time.Millisecond), started: f.now}
		h.budgets = f.newBudgets(h.name, true)
		f.homes = append(f.homes, h)
	}
	return f
}

// addBorrower adds a VM that is no home VM, with requests of one account.
func (f *crowdedFleet) addBorrower(account string, rate float64) {
	b := &borrowerVM{name: fmt.Sprintf("borrower%d", len(f.borrowers)), account: account, rate: rate, lenders: Rotation{next: len(f.borrowers)}}
	b.budgets = f.newBudgets(b.name, false)
	b.budgets.TakeOver(VMAllocations{}, revision.Version{}, 0)
	f.borrowers = append(f.borrowers, b)
}

func (f *crowdedFleet) newBudgets(name string, isHome bool) *Budgets {
	f.starts++
	b := New(name, fmt.Sprintf("%s-%d", name, f.starts), name+":1", Policy{ReportInterval: 500 * time.Millisecond})
	b.SetHomes(home.HomesPerGroup, isHome)
	for account, prepaid := range f.prepaid {
		b.Configure(account, prepaid, true)
	}
	return b
}

// run simulates until a time after the start.
func (f *crowdedFleet) run(until time.Duration) {
	for f.now.Sub(f.start) < until {
		f.now = f.now.Add(simulationStep)
		f.store.nowMs += simulationStep.Milliseconds()
		for _, h := range f.homes {
			f.synchronise(h)
		}
		for i, b := range f.borrowers {
			f.serve(b, i)
		}
	}
}

// synchronise exchanges a home VM's rows with the store. A response arrives
// storeRoundTrip after its request, and the home VMs spend tokens of the other
// accounts in turn.
func (f *crowdedFleet) synchronise(h *homeVM) {
	if h.budgets.Ready() {
		f.spendOthers(h)
	}
	if f.storeOut || h.cutOff {
		return
	}
	if !f.now.Before(h.nextRead) {
		h.nextRead = f.now.Add(homeReadPeriod)
		h.budgets.SetStoreClock(f.store.nowMs, f.now)
		h.budgets.SetSnapshot(f.store.snapshot())
		if !h.budgets.Ready() {
			own := f.store.allocations[h.name]
			h.budgets.TakeOver(copyOf(own.VMAllocations), own.Version, f.store.nowMs-f.now.Sub(h.started).Milliseconds())
		}
	}
	if f.now.Before(h.nextSend) {
		return
	}
	if h.inFlight == nil {
		if h.budgets.Due(f.now) {
			h.inFlight = h.budgets.Plan(f.now)
			h.nextSend = f.now.Add(storeRoundTrip)
		}
		return
	}
	t := h.inFlight
	h.inFlight = nil
	h.nextSend = f.now.Add(homeWritePause)
	out := f.store.apply(h.name, t)
	h.budgets.SetStoreClock(out.StoreMs, f.now)
	if out.Applied {
		h.budgets.Applied(t, out.Version)
		return
	}
	Expect(h.budgets.Conflict(t, out.Current)).To(BeTrue())
}

// spendOthers spends tokens of the other accounts at the home VMs whose turn it
// is, so that the shares of the home VMs shift.
func (f *crowdedFleet) spendOthers(h *homeVM) {
	if len(f.prepaid) != otherAccounts+1 {
		return
	}
	turn := int(f.now.Sub(f.start) / rateShiftPeriod)
	for i := range otherAccounts {
		if f.homes[(turn+3*i)%len(f.homes)] != h {
			continue
		}
		if r, ok := h.budgets.Reserve(otherAccount(i), 200, f.now); ok {
			h.budgets.Settle(r, 200)
		}
	}
}

// serve simulates a borrower for one step: requests arrive, wait, run and end,
// one loan request at a time is in flight, and tokens are repaid.
func (f *crowdedFleet) serve(b *borrowerVM, index int) {
	if f.now.Before(b.upAt) {
		return
	}
	b.running = slices.DeleteFunc(b.running, func(r runningRequest) bool {
		if f.now.Before(r.endsAt) {
			return false
		}
		b.budgets.Settle(r.reservation, requestTokensUsed)
		f.used[b.account] += requestTokensUsed
		return true
	})
	if f.now.Sub(f.start) > simulatedWarmUp {
		b.due += b.rate * simulationStep.Seconds()
	}
	for ; b.due >= 1; b.due-- {
		b.waiting = append(b.waiting, waitingRequest{giveUpAt: f.now.Add(maxWaitForTokens)})
		b.budgets.AddWaiting(b.account, requestTokens)
	}
	f.borrow(b)
	f.reserve(b)
	if f.now.After(b.nextHome) {
		b.nextHome = f.now.Add(simulatedRepay)
		f.homes[index%len(f.homes)].budgets.AddRepayment(b.account, b.budgets.Repay(b.account, f.now))
	}
}

// reserve reserves tokens for the waiting requests, and refuses those that have
// waited for too long.
func (f *crowdedFleet) reserve(b *borrowerVM) {
	b.waiting = slices.DeleteFunc(b.waiting, func(w waitingRequest) bool {
		r, ok := b.budgets.Reserve(b.account, requestTokens, f.now)
		switch {
		case ok:
			b.served++
			b.running = append(b.running, runningRequest{r, f.now.Add(requestTime)})
		case f.now.After(w.giveUpAt):
			b.refused++
			if float64(f.prepaid[b.account]-f.used[b.account]) > almostSpentShare*float64(f.prepaid[b.account]) {
				b.tooEarly++
			}
		default:
			return false
		}
		b.budgets.RemoveWaiting(b.account, requestTokens)
		return true
	})
}

// borrow sends a loan request, or receives its response. A home VM that is short
// of tokens waits homeLendWait for the store.
func (f *crowdedFleet) borrow(b *borrowerVM) {
	if len(b.waiting) == 0 && b.lendWait == 0 || f.now.Before(b.respond) {
		return
	}
	if b.respond.IsZero() {
		b.respond = f.now.Add(peerRoundTrip)
		return
	}
	h := f.homes[b.lenders.Next(len(f.homes))]
	lender := h.budgets
	if b.lendWait > 0 {
		lender = b.lender
	}
	need, want := b.budgets.WaitingShortfall(b.account, requestTokens, f.now)
	lent := lender.LendAsHome(b.account, need, want, f.now)
	if need > 0 && lent == 0 && b.lendWait == 0 && !f.storeOut && !h.cutOff && lender.Obtainable(b.account, need, f.now) {
		b.lendWait, b.lender = need, lender
		lender.AddWaiting(b.account, need)
		b.respond = f.now.Add(homeLendWait)
		return
	}
	if b.lendWait > 0 {
		lender.RemoveWaiting(b.account, b.lendWait)
	}
	b.lendWait = 0
	b.respond = time.Time{}
	b.budgets.AddLoan(b.account, lent)
	b.lenders.Record(lent, want)
}

// refusedShare returns the share of the requests that were refused.
func (f *crowdedFleet) refusedShare() float64 {
	served, refused := 0, 0
	for _, b := range f.borrowers {
		served += b.served
		refused += b.refused
	}
	return float64(refused) / float64(served+refused)
}

// almostSpentShare is the unspent share of an account below which its requests
// may be refused.
const almostSpentShare = 0.03

// maxRefusedShare is the share of requests that may be refused for a lack of
// tokens while their account has plenty.
const maxRefusedShare = 0.01

// manySmall returns the rates of one crowded VM among others with few requests.
func manySmall(crowded float64) []float64 {
	rates := []float64{crowded}
	for range 20 {
		rates = append(rates, 2)
	}
	return rates
}

var _ = Describe("One crowded VM that borrows for an account with plenty left", func() {
	It("is served by the home VMs from the first request on", func() {
		f := newCrowdedFleet(34_000_000, manySmall(110)...)
		f.run(simulatedRunTime)
		Expect(f.refusedShare()).To(BeNumerically("<", maxRefusedShare))
	})

	It("is served when it sends a multiple of its usual", func() {
		f := newCrowdedFleet(34_000_000, manySmall(240)...)
		f.run(simulatedRunTime)
		Expect(f.refusedShare()).To(BeNumerically("<", maxRefusedShare))
	})

	It("is served by the home VMs when an outage of the store begins", func() {
		f := newCrowdedFleet(34_000_000, manySmall(80)...)
		f.run(simulatedRunTime / 2)
		f.storeOut = true
		f.run(simulatedRunTime)
		Expect(f.refusedShare()).To(BeNumerically("<", maxRefusedShare))
	})
})
