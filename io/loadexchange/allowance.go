package loadexchange

import "time"

// Control traffic of a VM.
const (
	bytesPerSecond = 4_000
	// burstBytes may be spent at once, so that a few requests in a row all choose by
	// recent knowledge.
	burstBytes = 4_000
)

// allowance limits the bytes of exchanges on demand. In a fleet whose endpoints all have
// load, a VM with many requests makes fewer exchanges than it might.
type allowance struct {
	spent float64 // bytes that are not yet made up for
	at    time.Time
}

// available reports whether another exchange on demand may be made.
func (a *allowance) available(now time.Time) bool {
	a.refill(now)
	return a.spent < burstBytes
}

// spend counts the bytes of an exchange. What goes beyond the burst is bounded, so that
// long prompts that are reported at once don't stop the exchanges on demand for long.
func (a *allowance) spend(bytes int, now time.Time) {
	a.refill(now)
	a.spent = min(a.spent+float64(bytes), 2*burstBytes)
}

func (a *allowance) refill(now time.Time) {
	if !a.at.IsZero() {
		a.spent = max(a.spent-bytesPerSecond*now.Sub(a.at).Seconds(), 0)
	}
	a.at = now
}
