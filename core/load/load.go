// Package load decides when a VM accepts no new connections because the traffic
// on its network link is near the link's capacity. The load balancer distributes
// clients unevenly, and another VM can serve the clients that would overload a
// small VM's link.
package load

import (
	"math"
	"time"
)

const (
	// busyAboveShare and calmBelowShare are the shares of the link's capacity
	// above which the VM becomes busy and below which it becomes calm. They are
	// far from the whole capacity, as requests arrive in bursts and packets queue
	// well before the mean rate reaches it.
	busyAboveShare = 0.6
	calmBelowShare = 0.35
	// rateTimeConstant is the time constant of the measured rate. A burst of a
	// quarter of a second must not make the VM busy, and the load balancer takes
	// two more seconds to react.
	rateTimeConstant = 600 * time.Millisecond
	// minBusyTime keeps a VM from leaving and rejoining the load balancer's
	// rotation with each burst, as the load balancer checks once a second.
	minBusyTime = 4 * time.Second
	// closeDelay is the time from becoming busy until the VM closes persistent
	// connections. By then the load balancer sends new connections to other VMs.
	closeDelay = 2500 * time.Millisecond
)

// Rate is an exponentially smoothed rate per second. Its zero value is a rate
// of zero.
type Rate struct {
	perSecond float64
	updated   time.Time
}

// Observe adds the count since the last call and returns the smoothed rate.
func (r *Rate) Observe(count int64, now time.Time) float64 {
	elapsed := now.Sub(r.updated)
	if r.updated.IsZero() || elapsed <= 0 {
		r.updated = now
		return r.perSecond
	}
	r.updated = now
	weight := 1 - math.Exp(-elapsed.Seconds()/rateTimeConstant.Seconds())
	r.perSecond += weight * (float64(count)/elapsed.Seconds() - r.perSecond)
	return r.perSecond
}

// Meter measures the traffic on a VM's link and decides whether the VM is busy.
// Its zero value is a link without a limit.
type Meter struct {
	Capacity  float64 // bytes per second in each direction; 0 for no limit
	rate      Rate    // bytes per second
	busy      bool
	busySince time.Time // when it last became busy
}

// Observe adds the bytes of the busier direction since the last call. It
// reports whether the VM became busy or calm.
func (m *Meter) Observe(bytes int64, now time.Time) bool {
	rate := m.rate.Observe(bytes, now)
	if m.Capacity <= 0 {
		return false
	}
	wasBusy := m.busy
	switch {
	case rate > busyAboveShare*m.Capacity:
		m.busy = true
	case rate < calmBelowShare*m.Capacity && now.Sub(m.busySince) >= minBusyTime:
		m.busy = false
	}
	if m.busy && !wasBusy {
		m.busySince = now
	}
	return m.busy != wasBusy
}

// Busy reports whether the VM should get no new connections.
func (m *Meter) Busy() bool { return m.busy }

// Rate returns the measured bytes per second.
func (m *Meter) Rate() float64 { return m.rate.perSecond }

// ClosesConnections reports whether persistent connections should be closed
// after their next response.
func (m *Meter) ClosesConnections(now time.Time) bool {
	return m.busy && now.Sub(m.busySince) >= closeDelay
}
