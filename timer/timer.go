// Package timer is the one source of time for the parts of a process. Parts
// subscribe to it; tests replace it by a fake one.
package timer

import (
	"sync"
	"time"
)

// Service tells the time and ticks.
type Service interface {
	// Now returns the current time.
	Now() time.Time
	// Subscribe ticks every period until the subscription is stopped. Ticks
	// that the subscriber misses are dropped.
	Subscribe(period time.Duration) *Subscription
}

// Subscription delivers ticks on C.
type Subscription struct {
	C    <-chan time.Time
	stop func()
}

// Stop ends the ticks.
func (s *Subscription) Stop() { s.stop() }

// Real is the machine's clock.
type Real struct{}

// Now implements Service.
func (Real) Now() time.Time { return time.Now() }

// Subscribe implements Service.
func (Real) Subscribe(period time.Duration) *Subscription {
	t := time.NewTicker(period)
	return &Subscription{C: t.C, stop: t.Stop}
}

// Fake is a clock that moves only by Advance.
type Fake struct {
	mu          sync.Mutex
	now         time.Time
	subscribers []*fakeSubscriber
}

type fakeSubscriber struct {
	ticks  chan time.Time
	period time.Duration
	next   time.Time
}

// NewFake returns a clock that stands at now.
func NewFake(now time.Time) *Fake { return &Fake{now: now} }

// Now implements Service.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Subscribe implements Service.
func (f *Fake) Subscribe(period time.Duration) *Subscription {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &fakeSubscriber{ticks: make(chan time.Time, 1), period: period, next: f.now.Add(period)}
	f.subscribers = append(f.subscribers, s)
	return &Subscription{C: s.ticks, stop: func() { f.remove(s) }}
}

func (f *Fake) remove(s *fakeSubscriber) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, other := range f.subscribers {
		if other == s {
			f.subscribers = append(f.subscribers[:i], f.subscribers[i+1:]...)
			return
		}
	}
}

// Advance moves the clock and ticks those that are due.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	for _, s := range f.subscribers {
		for !s.next.After(f.now) {
			s.next = s.next.Add(s.period)
			select {
			case s.ticks <- f.now:
			default:
			}
		}
	}
}
