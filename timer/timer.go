// Package timer provides the system clock, and a fake one whose time a test
// controls, behind one interface.
package timer

import (
	"sync"
	"time"
)

// Clock provides the current time and creates tickers.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// NewTicker returns a ticker that ticks once per period until it is
	// stopped. A tick is dropped if the previous one has not been received.
	NewTicker(period time.Duration) *Ticker
}

// Ticker delivers ticks on C.
type Ticker struct {
	C    <-chan time.Time
	stop func()
}

// Stop turns the ticker off. It does not close C.
func (t *Ticker) Stop() { t.stop() }

// SystemClock is the system clock.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// NewTicker implements Clock.
func (SystemClock) NewTicker(period time.Duration) *Ticker {
	t := time.NewTicker(period)
	return &Ticker{C: t.C, stop: t.Stop}
}

// Fake is a Clock for tests whose time changes only by Advance.
type Fake struct {
	mu      sync.Mutex
	now     time.Time
	tickers []*fakeTicker
}

// fakeTicker is the sending side of a Ticker of Fake.
type fakeTicker struct {
	ticks  chan time.Time
	period time.Duration
	next   time.Time
}

// NewFake returns a clock whose current time is now.
func NewFake(now time.Time) *Fake { return &Fake{now: now} }

// Now implements Clock.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// NewTicker implements Clock.
func (f *Fake) NewTicker(period time.Duration) *Ticker {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := &fakeTicker{ticks: make(chan time.Time, 1), period: period, next: f.now.Add(period)}
	f.tickers = append(f.tickers, t)
	return &Ticker{C: t.ticks, stop: func() { f.remove(t) }}
}

func (f *Fake) remove(t *fakeTicker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, other := range f.tickers {
		if other == t {
			f.tickers = append(f.tickers[:i], f.tickers[i+1:]...)
			return
		}
	}
}

// Advance adds d to the current time and sends the ticks that are due.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	for _, t := range f.tickers {
		for !t.next.After(f.now) {
			t.next = t.next.Add(t.period)
			select {
			case t.ticks <- f.now:
			default:
			}
		}
	}
}
