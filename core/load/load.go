// Package load decides when a VM takes no new connections because its network
// link is near its capacity. The balancer spreads clients unevenly; what a
// small VM cannot carry is better served by another one.
package load

import (
	"math"
	"time"
)

const (
	// busyAbove and calmBelow are the parts of the link's capacity at which the
	// VM becomes busy and calm: packets queue well below the whole of it, as
	// requests come in bursts.
	busyAbove = 0.45
	calmBelow = 0.25
	// span is the time constant of the measured rate: a burst of a quarter of a
	// second is not yet a trend, and the balancer takes two more seconds.
	span = 600 * time.Millisecond
	// leastBusy keeps a VM from joining and leaving the balancer's rotation
	// with each burst, as the balancer asks once a second.
	leastBusy = 4 * time.Second
	// closeAfter is how long after it became busy the VM closes kept
	// connections: by then the balancer sends new ones elsewhere.
	closeAfter = 2500 * time.Millisecond
)

// Rate is a rate a second, smoothed over a short span. Its zero value is none.
type Rate struct {
	perSecond float64
	at        time.Time
}

// Observe takes the count since the last call and returns the rate.
func (r *Rate) Observe(count int64, now time.Time) float64 {
	passed := now.Sub(r.at)
	if r.at.IsZero() || passed <= 0 {
		r.at = now
		return r.perSecond
	}
	r.at = now
	weight := 1 - math.Exp(-passed.Seconds()/span.Seconds())
	r.perSecond += weight * (float64(count)/passed.Seconds() - r.perSecond)
	return r.perSecond
}

// Meter follows the bytes through a VM's link, each way. Its zero value is a
// link without a limit.
type Meter struct {
	Capacity float64 // bytes a second each way; 0 for no limit
	rate     Rate    // bytes a second of lately
	busy     bool
	since    time.Time // when it became busy
}

// Observe takes the bytes that passed in the busier direction since the last
// call. It returns true when the VM became busy or calm.
func (m *Meter) Observe(bytes int64, now time.Time) bool {
	rate := m.rate.Observe(bytes, now)
	if m.Capacity <= 0 {
		return false
	}
	was := m.busy
	switch {
	case rate > busyAbove*m.Capacity:
		m.busy = true
	case rate < calmBelow*m.Capacity && now.Sub(m.since) >= leastBusy:
		m.busy = false
	}
	if m.busy && !was {
		m.since = now
	}
	return m.busy != was
}

// Busy tells whether the VM should get no new connections.
func (m *Meter) Busy() bool { return m.busy }

// Rate returns the measured bytes a second.
func (m *Meter) Rate() float64 { return m.rate.perSecond }

// Closes tells whether kept connections should be closed after their answer.
func (m *Meter) Closes(now time.Time) bool { return m.busy && now.Sub(m.since) >= closeAfter }
