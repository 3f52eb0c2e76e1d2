package load

import "time"

const (
	// queueBusyAbove is the length of the queue for the VM's link above which the VM
	// becomes busy, and queueCalmBelow the one below which it becomes calm.
	queueBusyAbove = 250 * time.Millisecond
	queueCalmBelow = 50 * time.Millisecond
)

// LinkQueue decides when a VM accepts no new connections because requests wait for
// its link, from samples of the time that the link needs for all of them. Its zero
// value is an empty queue.
type LinkQueue struct {
	last      time.Duration // last sample
	busy      bool
	busySince time.Time // when it last became busy
}

// Observe records a sample. It reports whether the VM became busy or calm. Two long
// samples in a row make it busy, as a single body makes one long.
func (l *LinkQueue) Observe(length time.Duration, now time.Time) bool {
	lower := min(l.last, length)
	l.last = length
	wasBusy := l.busy
	switch {
	case lower > queueBusyAbove:
		l.busy = true
	case length < queueCalmBelow && now.Sub(l.busySince) >= minBusyTime:
		l.busy = false
	}
	if l.busy && !wasBusy {
		l.busySince = now
	}
	return l.busy != wasBusy
}

// Busy reports whether the VM should get no new connections.
func (l *LinkQueue) Busy() bool { return l.busy }

// ClosesConnections reports whether persistent connections should be closed after
// their next response.
func (l *LinkQueue) ClosesConnections(now time.Time) bool {
	return l.busy && now.Sub(l.busySince) >= closeDelay
}
