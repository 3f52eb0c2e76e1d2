package load

import "time"

const (
	// rejectAboveDelay and acceptBelowDelay are the delays in the VM's link above
	// which it rejects new connections and below which it accepts them. A request
	// crosses the link about five times within objectives of 300 ms and more.
	rejectAboveDelay = 40 * time.Millisecond
	acceptBelowDelay = 20 * time.Millisecond
	// maxRejectTime bounds the time for which all connections are rejected.
	maxRejectTime = 500 * time.Millisecond
	// minAcceptTime is how long connections are accepted after maxRejectTime.
	minAcceptTime = 50 * time.Millisecond
)

// Gate decides whether a VM accepts new connections. The load balancer sends all
// connections of a client to one VM. A VM whose link cannot carry them rejects
// connections for parts of a second, so that those that it accepts are served in
// time: the link would carry the bytes of a refused request as well. The zero
// value accepts.
type Gate struct {
	rejecting    bool
	changed      time.Time // when it last began to reject or to accept
	forcedAccept bool      // it accepts because it has rejected for maxRejectTime
}

// Observe records the delay in the VM's link. It returns whether new connections
// are rejected from now on.
func (g *Gate) Observe(delay time.Duration, now time.Time) bool {
	elapsed := now.Sub(g.changed)
	switch {
	case g.rejecting && delay < acceptBelowDelay:
		g.set(false, now)
	case g.rejecting && elapsed >= maxRejectTime:
		g.set(false, now)
		g.forcedAccept = true
	case !g.rejecting && delay > rejectAboveDelay && (!g.forcedAccept || elapsed >= minAcceptTime):
		g.set(true, now)
	}
	return g.rejecting
}

// set begins to reject or to accept connections.
func (g *Gate) set(rejecting bool, now time.Time) {
	g.rejecting, g.changed, g.forcedAccept = rejecting, now, false
}
