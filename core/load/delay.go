package load

import "time"

const (
	// delayWindow is the time over which connection attempts are compared.
	delayWindow = 200 * time.Millisecond
	// minDelaySamples is the number of attempts in the window that an estimate
	// needs. With fewer, a single slow endpoint would look like a full link.
	minDelaySamples = 4
)

// Delay estimates how long packets wait in the VM's own link, from the times that
// it took to open connections to endpoints. The shortest of the recent times
// counts, as slow endpoints and lost packets make some of them long. Its zero value
// is a link without a delay.
type Delay struct{ recent []openTime }

// openTime is the time that it took to open a connection, or until the attempt
// failed.
type openTime struct {
	at   time.Time
	took time.Duration
}

// Record records that an attempt to open a connection has ended.
func (d *Delay) Record(took time.Duration, now time.Time) {
	d.dropExpired(now)
	d.recent = append(d.recent, openTime{at: now, took: took})
}

// dropExpired drops the attempts from before the window.
func (d *Delay) dropExpired(now time.Time) {
	expired := 0
	for expired < len(d.recent) && now.Sub(d.recent[expired].at) > delayWindow {
		expired++
	}
	d.recent = d.recent[expired:]
}

// Estimate returns the delay.
func (d *Delay) Estimate(now time.Time) time.Duration {
	d.dropExpired(now)
	if len(d.recent) < minDelaySamples {
		return 0
	}
	shortest := d.recent[0].took
	for _, o := range d.recent {
		shortest = min(shortest, o.took)
	}
	return shortest
}
