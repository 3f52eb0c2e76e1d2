package escrow

import (
	"time"
)

// Policy sets how often a VM writes.
type Policy struct {
	Report time.Duration // time between writes of the holding while it is used
}

// Sizes of what is held.
const (
	// heldShare is the part of an account's unspent budget that VMs hold; the
	// rest stays in the store for whoever runs short.
	heldShare = 0.8
	// drawBelow and returnAbove are the shares of its target at which a VM
	// draws more or returns the rest.
	drawBelow   = 0.9
	returnAbove = 1.1
	// smallestShare is the part of a prepaid budget below which no difference
	// from the target is worth a write.
	smallestShare = 0.001
	// idleWeight is the weight of a VM without requests beside the mean one,
	// as any VM may get the next request.
	idleWeight = 0.25
	// burstShare is the part of an account's unspent budget that all VMs
	// together may spend before they write their holdings again. What a dead VM
	// may have spent of it is lost to the account.
	burstShare = 0.04
	// laterSpan is the spending at the rate of lately that may come at once
	// after holdSpan.
	laterSpan = time.Second
	// slowFactor and fastFactor are how much faster than lately a VM may spend
	// then, and fastDrain empties a holding at the least fast speed.
	slowFactor = 1.5
	fastFactor = 3
	fastDrain  = 8 * time.Second
	// renewBelow is the part of the burst under which the holding is written.
	renewBelow = 0.5
	// rateSpan is the time constant of the measured rate.
	rateSpan = 4 * time.Second
)

// Book is a VM's view of all accounts. It decides; the caller carries its
// transactions to the store. It is not safe for concurrent use.
type Book struct {
	policy      Policy
	incarnation string
	address     string
	vm          string
	snapshot    Snapshot
	accounts    map[string]*account
	sequence    int64
	ready       bool // the predecessor's holding has been read
	owned       bool // the VM's own row was written by this incarnation
	closing     bool
	predecessor Holding
	diedMs      int64 // the store's clock when the predecessor was dead for sure
	ownVersion  int64
	pending     *Transaction
	clock       storeClock
	reported    time.Time
	dirty       bool
	homes       int  // VMs that hold these accounts
	home        bool // this VM is one of them
}

// storeClock gives lower estimates of the store's clock.
type storeClock struct {
	ms int64
	at time.Time
}

func (c storeClock) lower(now time.Time) int64 {
	if c.at.IsZero() {
		return 0
	}
	return c.ms + now.Sub(c.at).Milliseconds()
}

// New returns the book of a VM's new incarnation, which other VMs reach at an
// IP:port.
func New(vm, incarnation, address string, p Policy) *Book {
	return &Book{policy: p, vm: vm, incarnation: incarnation, address: address, accounts: map[string]*account{}, homes: 1}
}

// SetHomes says how many VMs hold the book's accounts, and whether this one is
// among them. A VM that is not holds nothing in the store and borrows.
func (b *Book) SetHomes(count int, home bool) {
	if b.home != home {
		b.dirty = true
	}
	b.homes, b.home = max(count, 1), home
}

// Home tells whether this VM holds the book's accounts.
func (b *Book) Home() bool { return b.home }

// Clock takes what the store's clock showed in an answer that came now.
func (b *Book) Clock(ms int64, now time.Time) { b.clock = storeClock{ms: ms, at: now} }

// Configure sets an account's prepaid budget; limited is false for none.
func (b *Book) Configure(name string, prepaid int64, limited bool) {
	a := b.account(name)
	if a.prepaid != prepaid || a.limited != limited {
		b.dirty = true
	}
	a.prepaid, a.limited = prepaid, limited
}

func (b *Book) account(name string) *account {
	a := b.accounts[name]
	if a == nil {
		a = &account{version: -1}
		b.accounts[name] = a
	}
	return a
}

// Reservation is the worst case of one request. Its zero value reserves
// nothing.
type Reservation struct {
	account *account
	tokens  int64
}

// Reserve sets aside the most tokens that a request may use. It returns false
// when the VM does not hold enough.
func (b *Book) Reserve(name string, tokens int64, now time.Time) (*Reservation, bool) {
	a := b.accounts[name]
	if a == nil || !a.limited || tokens == 0 {
		return &Reservation{}, true
	}
	if tokens > a.free(now) {
		return nil, false
	}
	a.reserved += tokens
	a.recent += tokens
	b.dirty = true
	return &Reservation{account: a, tokens: tokens}, true
}

// Wait counts a request that could not be reserved and waits for tokens, until
// Leave. The next transaction makes room for it.
func (b *Book) Wait(name string, tokens int64) { b.account(name).waiting += tokens }

// Leave ends a wait.
func (b *Book) Leave(name string, tokens int64) { b.account(name).waiting -= tokens }

// Settle ends a reservation. used is what the request used; what goes beyond
// the reservation was never agreed and is left out.
func (b *Book) Settle(r *Reservation, used int64) {
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

// Exhausted tells whether a request is known to need more than the account has
// left, wherever the rest may be.
func (b *Book) Exhausted(name string, tokens int64) bool {
	a := b.accounts[name]
	if a == nil || !a.limited || b.snapshot.Holdings == nil {
		return false
	}
	return tokens > b.snapshot.spendable(name, a.prepaid)
}

// Undrawn tells whether the store, as last read, has tokens for a request.
func (b *Book) Undrawn(name string, tokens int64) bool {
	a := b.accounts[name]
	return a != nil && a.prepaid-a.total >= tokens
}

// Balance is what a VM holds of one account, for logs.
type Balance struct {
	Granted   int64
	Committed int64
	Free      int64 // may be reserved now
	Left      int64 // drawn by no VM, as last read
	Others    int64 // free at other VMs, as last read
}

// Balance returns an account's balance.
func (b *Book) Balance(name string, now time.Time) Balance {
	a := b.accounts[name]
	if a == nil {
		return Balance{}
	}
	return Balance{Granted: a.granted, Committed: a.committed(), Free: a.free(now), Left: a.prepaid - a.total, Others: a.others.free}
}

// AllowedIn returns the time until a request may be reserved if the store stays out
// of reach; false when the VM does not hold enough for it.
func (b *Book) AllowedIn(name string, tokens int64, now time.Time) (time.Duration, bool) {
	a := b.accounts[name]
	if a == nil {
		return 0, false
	}
	return a.allowedIn(tokens, now)
}
