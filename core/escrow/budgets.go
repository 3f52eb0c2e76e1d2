package escrow

import (
	"time"

	"hawthornspar/core/revision"
)

// Policy sets how often a VM writes its allocations.
type Policy struct {
	ReportInterval time.Duration // interval between writes of allocations in use
}

// Sizes of allocations and limits of their use. A share is a fraction of one.
const (
	// allocatedShare is the share of an account's unspent budget that home VMs
	// draw; the rest stays in the store for any VM that runs short.
	allocatedShare = 0.8
	// drawBelowShare and returnAboveShare are the shares of its target at which
	// a VM draws more tokens or returns the excess. They are far apart: the
	// shares of home VMs shift with every loan, and each change of an account's
	// total conflicts with those of the other home VMs.
	drawBelowShare   = 0.6
	returnAboveShare = 1.6
	// minChangeShare is the share of a prepaid budget below which a difference
	// from the target does not justify a write.
	minChangeShare = 0.001
	// idleWeight is the weight of a VM without requests relative to the mean of
	// all home VMs. It is not zero, as any VM may receive the next request.
	idleWeight = 0.25
	// burstShare is the share of an account's unspent budget that all VMs
	// together may spend before they write their allocations again. The part of
	// it that a crashed VM may have spent is lost to the account.
	burstShare = 0.04
	// deferredBurstTime is the time at the measured token rate whose spending
	// becomes available at once after burstOnlyPeriod.
	deferredBurstTime = time.Second
	// offlineShare is the share of a VM's free tokens that it may spend before it
	// writes its row again, however long that takes, and offlineTime the time for
	// which it may go on at its token rate if that is more. Home VMs may move the
	// rest. The time covers an outage of the store of ten seconds at one and a half
	// times the usual demand.
	offlineShare = 0.3
	offlineTime  = 15 * time.Second
	// slowRateFactor and fastRateFactor are the multiples of the measured token
	// rate at which a VM may spend after burstOnlyPeriod and fastRateAfter. The
	// fast rate is at least the one that uses up the free tokens in
	// fastDrainTime.
	slowRateFactor = 1.5
	fastRateFactor = 3
	fastDrainTime  = 8 * time.Second
	// burstLowShare is the unused share of the burst below which the allocation
	// is written again.
	burstLowShare = 0.5
	// rateTimeConstant is the time constant of the measured token rate.
	rateTimeConstant = 4 * time.Second
)

// Budgets is one VM's view of the budgets of a group of client accounts. It
// plans the transactions that the caller sends to the store. It is not safe for
// concurrent use.
type Budgets struct {
	policy      Policy
	incarnation string
	address     string
	vm          string
	snapshot    Snapshot // of the last SetSnapshot
	// rows are the newest known rows of the other VMs. Unlike those of snapshot,
	// they may be of different moments.
	rows          map[string]VersionedAllocations
	moveConflicts int // conflicts in a row over moves
	deferredMoves int // the next transactions that move nothing because of them
	accounts      map[string]*account
	sequence      int64            // of the last planned write
	ready         bool             // the previous incarnation's allocations have been read
	ownRowWritten bool             // the VM's row was written by this incarnation
	written       VMAllocations    // the VM's row as last known to have been written
	closing       bool             // Close was called
	previous      predecessor      // until the first write
	ownVersion    revision.Version // of the VM's row; zero when it does not exist
	pending       *Transaction     // planned, with an unknown outcome
	clock         storeClock
	plannedAt     time.Time // when the last transaction was planned; zero makes the next one due
	dirty         bool      // something changed since then
	homeVMs       int       // number of home VMs of the accounts
	isHome        bool      // this VM is one of them
	stepBackState
}

// storeClock estimates the store's clock from its last reading.
type storeClock struct {
	ms int64     // store's clock in the reading
	at time.Time // local time of the reading
}

// lowerBound returns a lower bound of the store's clock; 0 before any reading.
func (c storeClock) lowerBound(now time.Time) int64 {
	if c.at.IsZero() {
		return 0
	}
	return c.ms + now.Sub(c.at).Milliseconds()
}

// New returns the budgets of a VM's new incarnation. address is the IP:port at
// which other VMs reach it.
func New(vm, incarnation, address string, p Policy) *Budgets {
	return &Budgets{policy: p, vm: vm, incarnation: incarnation, address: address, accounts: map[string]*account{}, rows: map[string]VersionedAllocations{}, homeVMs: 1}
}

// SetHomes sets the number of home VMs of the accounts, and whether this VM is
// one of them. A VM that is not a home VM draws nothing from the store and
// borrows from home VMs.
func (b *Budgets) SetHomes(count int, isHome bool) {
	if b.isHome != isHome {
		b.dirty = true
	}
	b.homeVMs, b.isHome = max(count, 1), isHome
}

// IsHome reports whether this VM is a home VM of the accounts.
func (b *Budgets) IsHome() bool { return b.isHome }

// SetStoreClock records the store's clock from a response that arrived now.
func (b *Budgets) SetStoreClock(ms int64, now time.Time) { b.clock = storeClock{ms: ms, at: now} }

// Configure sets an account's prepaid budget. limited is false for an account
// without one.
func (b *Budgets) Configure(name string, prepaid int64, limited bool) {
	a := b.account(name)
	if a.prepaid != prepaid || a.limited != limited {
		b.dirty = true
	}
	a.prepaid, a.limited = prepaid, limited
}

// account returns the state of an account and creates it when it is missing.
func (b *Budgets) account(name string) *account {
	a := b.accounts[name]
	if a == nil {
		a = &account{}
		b.accounts[name] = a
	}
	return a
}

// Reservation holds the most tokens that one request may use until Settle. Its
// zero value reserves nothing.
type Reservation struct {
	account *account
	tokens  int64
}

// Reserve sets aside the most tokens that a request may use. It returns false
// when the VM may not commit that many now.
func (b *Budgets) Reserve(name string, tokens int64, now time.Time) (*Reservation, bool) {
	a := b.accounts[name]
	if a == nil || !a.limited || tokens == 0 {
		return &Reservation{}, true
	}
	if tokens > a.available(now) {
		return nil, false
	}
	a.reserved += tokens
	a.reservedSince += tokens
	b.dirty = true
	return &Reservation{account: a, tokens: tokens}, true
}

// AddWaiting adds the tokens of a request that could not be reserved and now
// waits, until RemoveWaiting. The next transaction draws for it.
func (b *Budgets) AddWaiting(name string, tokens int64) { b.account(name).addWaiting(tokens, 1) }

// RemoveWaiting removes the tokens of a request that AddWaiting added.
func (b *Budgets) RemoveWaiting(name string, tokens int64) { b.account(name).addWaiting(tokens, -1) }

// Settle ends a reservation. used is the number of tokens that the request
// used; those beyond the reservation were never authorized and are not charged.
func (b *Budgets) Settle(r *Reservation, used int64) {
	a := r.account
	if a == nil {
		return
	}
	r.account = nil
	used = min(used, r.tokens)
	a.reserved -= r.tokens
	a.spent += used
	b.dirty = true
}

// Exhausted reports whether a request certainly needs more tokens than the
// account has left in the store and at all VMs together.
func (b *Budgets) Exhausted(name string, tokens int64) bool {
	a := b.accounts[name]
	if a == nil || !a.limited || b.snapshot.Allocations == nil {
		return false
	}
	return tokens > b.snapshot.maxUnspent(name, a.prepaid)
}

// Balance is a VM's state of one account, for logs.
type Balance struct {
	Granted      int64
	Committed    int64
	Available    int64 // may be reserved now
	Undrawn      int64 // drawn by no VM, as last read
	OtherVMsFree int64 // free at other VMs, as last read
	Movable      int64 // may be moved from other VMs' rows at once
}

// Balance returns an account's balance.
func (b *Budgets) Balance(name string, now time.Time) Balance {
	a := b.accounts[name]
	if a == nil {
		return Balance{}
	}
	return Balance{Granted: a.granted, Committed: a.committed(), Available: a.available(now), Undrawn: b.undrawn(a), OtherVMsFree: a.otherVMs.free, Movable: b.movableTotal(name, now)}
}

// AvailableIn returns how long it takes until that many tokens may be reserved
// while the store is unreachable, and false when the VM has not been granted
// enough, or may not commit so many before its next write.
func (b *Budgets) AvailableIn(name string, tokens int64, now time.Time) (time.Duration, bool) {
	a := b.accounts[name]
	if a == nil {
		return 0, false
	}
	return a.availableIn(tokens, now)
}
