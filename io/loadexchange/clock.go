package loadexchange

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspensionSlack is the difference between the clocks from which a VM counts as
// having been suspended. The two are not read at the same instant.
const suspensionSlack = 100 * time.Millisecond

// timeSinceBoot returns the time since the VM's start, including the time in which
// it was suspended, which the monotonic clock of package time leaves out.
func timeSinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// moment is a time on both clocks.
type moment struct {
	at   time.Time
	boot time.Duration
}

// suspendedUntil reports whether the VM was suspended between two moments.
func (m moment) suspendedUntil(later moment) bool {
	return later.boot-m.boot-later.at.Sub(m.at) > suspensionSlack
}
