package load

import "time"

const (
	// rejectAboveShare and acceptBelowShare are the shares of the link's capacity
	// above which an overloaded VM rejects new connections and below which it
	// accepts them. The rest lets the queue in the link drain.
	rejectAboveShare = 0.8
	acceptBelowShare = 0.75
	// overloadTime is how long the rate must stay above rejectAboveShare until the
	// VM counts as overloaded. Shorter bursts wait in the link, but hardly longer
	// than they last.
	overloadTime = 300 * time.Millisecond
	// recoveredShare is the share of the capacity below which the rate must stay
	// for recoveryTime until the VM no longer counts as overloaded.
	recoveredShare = 0.6
	recoveryTime   = time.Second
	// gateTimeConstant is the time constant of the rate by which connections are
	// rejected. The bytes of a request follow its connection within milliseconds.
	gateTimeConstant = 150 * time.Millisecond
	// maxRejectTime bounds the time for which all connections are rejected.
	maxRejectTime = 500 * time.Millisecond
	// minAcceptTime is how long connections are accepted after maxRejectTime.
	minAcceptTime = 50 * time.Millisecond
)

// Gate decides whether a VM accepts new connections. The load balancer sends all
// connections of a client to one VM. A VM whose link cannot carry them rejects
// connections for parts of a second, so that those that it accepts are served in
// time: the link would carry the bytes of a refused request as well. The zero
// value is a gate of a link without a limit.
type Gate struct {
	Capacity     float64 // bytes per second in each direction; 0 for no limit
	rate         Rate
	overloaded   bool
	since        time.Time // when the rate last began to speak for the other state; zero while it does not
	rejecting    bool
	changed      time.Time // when it last began to reject or to accept
	forcedAccept bool      // it accepts because it has rejected for maxRejectTime
}

// Observe adds the bytes of the busier direction since the last call. It returns
// whether new connections are rejected from now on.
func (g *Gate) Observe(bytes int64, now time.Time) bool {
	g.rate.TimeConstant = gateTimeConstant
	share := 0.0
	if rate := g.rate.Observe(bytes, now); g.Capacity > 0 {
		share = rate / g.Capacity
	}
	g.updateOverloaded(share, now)
	reject := g.overloaded && share > rejectAboveShare
	accept := !g.overloaded || share <= acceptBelowShare
	elapsed := now.Sub(g.changed)
	switch {
	case g.rejecting && accept:
		g.set(false, now)
	case g.rejecting && elapsed >= maxRejectTime:
		g.set(false, now)
		g.forcedAccept = true
	case !g.rejecting && reject && (!g.forcedAccept || elapsed >= minAcceptTime):
		g.set(true, now)
	}
	return g.rejecting
}

// updateOverloaded updates whether the VM's link is overloaded. share is the rate
// as a share of the capacity.
func (g *Gate) updateOverloaded(share float64, now time.Time) {
	changes, after := share > rejectAboveShare, overloadTime
	if g.overloaded {
		changes, after = share < recoveredShare, recoveryTime
	}
	switch {
	case !changes:
		g.since = time.Time{}
	case g.since.IsZero():
		g.since = now
	case now.Sub(g.since) >= after:
		g.overloaded, g.since = !g.overloaded, time.Time{}
	}
}

// set begins to reject or to accept connections.
func (g *Gate) set(rejecting bool, now time.Time) {
	g.rejecting, g.changed, g.forcedAccept = rejecting, now, false
}
