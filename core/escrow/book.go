package escrow

import (
	"math"
	"time"
)

// Policy sets how much a VM holds.
type Policy struct {
	Horizon time.Duration // spending that a holding should last for while the store is out of reach
	Report  time.Duration // time between writes of the holding while it is used
}

// Shares of what is held.
const (
	// burstShare is the part of the free tokens that may be used at once.
	burstShare = 0.4
	// firstShare is the part of what is left in an account that all VMs
	// together draw before they know its rate.
	firstShare = 0.15
	// drawShare is the part of what is left that all VMs together may draw at
	// one time.
	drawShare = 0.6
	// refillBelow is the part of the target under which more is drawn.
	refillBelow = 0.7
	// returnAbove is the multiple of the target above which the rest is returned.
	returnAbove = 2.0
	// rateSpan is the time constant of the measured rate.
	rateSpan = 3 * time.Second
)

// Book is a VM's view of all accounts. It decides; the caller carries its
// transactions to the store. It is not safe for concurrent use.
type Book struct {
	policy      Policy
	incarnation string
	accounts    map[string]*account
	sequence    int64
	ready       bool // the predecessor's holding has been read
	owned       bool // the VM's own row was written by this incarnation
	closing     bool
	predecessor Holding
	ownVersion  int64
	pending     *Transaction
	clock       storeClock
	reported    time.Time
	dirty       bool
}

type account struct {
	prepaid  int64
	limited  bool
	granted  int64
	spent    int64
	reserved int64
	bounds   []bound
	total    int64 // drawn by all VMs, as last read
	version  int64 // of the total's row; -1 when it has not been read
	rate     float64
	rated    time.Time
	recent   int64 // tokens used since rated
	largest  int64 // request
	wanted   int64 // tokens that a waiting request lacks
}

// bound is what one written holding allows.
type bound struct {
	sequence  int64
	at        time.Time
	committed int64
	burst     int64
	perSecond int64
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

// New returns the book of a VM's new incarnation.
func New(incarnation string, p Policy) *Book {
	return &Book{policy: p, incarnation: incarnation, accounts: map[string]*account{}}
}

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
	a.largest = max(a.largest, tokens)
	lacks := tokens - a.free(now)
	if lacks > 0 {
		a.wanted = max(a.wanted, lacks)
		b.dirty = true
		return nil, false
	}
	a.reserved += tokens
	b.dirty = true
	return &Reservation{account: a, tokens: tokens}, true
}

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
	a.recent += used
	b.dirty = true
}

// Exhausted tells whether the whole budget is known to be too small for a
// request: VMs have drawn it all, and this one has nothing reserved that
// could come back.
func (b *Book) Exhausted(name string, tokens int64) bool {
	a := b.accounts[name]
	return a != nil && a.limited && tokens > a.prepaid
}

func (a *account) committed() int64 { return a.spent + a.reserved }

// free returns the tokens that may be reserved now.
func (a *account) free(now time.Time) int64 {
	limit := a.granted
	for _, b := range a.bounds {
		passed := now.Sub(b.at).Milliseconds()
		limit = min(limit, b.committed+b.burst+b.perSecond*passed/1000)
	}
	return limit - a.committed()
}

// measure updates the rate of spending.
func (a *account) measure(now time.Time) {
	if a.rated.IsZero() {
		a.rated = now
		return
	}
	passed := now.Sub(a.rated)
	if passed <= 0 {
		return
	}
	weight := 1 - math.Exp(-passed.Seconds()/rateSpan.Seconds())
	a.rate += weight * (float64(a.recent)/passed.Seconds() - a.rate)
	a.recent = 0
	a.rated = now
}

// target returns the free tokens that the VM wants to hold.
func (a *account) target(p Policy) int64 {
	return int64(a.rate*p.Horizon.Seconds()) + a.largest
}
