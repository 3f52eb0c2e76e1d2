package load

import "time"

// Backlog estimates how long bytes that are sent now wait in the VM's own link
// behind those sent before. Its zero value is a link without a limit.
type Backlog struct {
	Capacity float64 // bytes per second; 0 for no limit
	bytes    float64 // that had not left when last updated
	updated  time.Time
}

// Add adds bytes that are sent now.
func (b *Backlog) Add(bytes int, now time.Time) {
	b.drain(now)
	b.bytes += float64(bytes)
}

// drain removes the bytes that have left since the last update.
func (b *Backlog) drain(now time.Time) {
	elapsed := max(now.Sub(b.updated), 0)
	b.updated = now
	b.bytes = max(b.bytes-b.Capacity*elapsed.Seconds(), 0)
}

// Delay returns how long bytes that are sent now wait.
func (b *Backlog) Delay(now time.Time) time.Duration {
	if b.Capacity <= 0 {
		return 0
	}
	b.drain(now)
	return time.Duration(b.bytes / b.Capacity * float64(time.Second))
}
