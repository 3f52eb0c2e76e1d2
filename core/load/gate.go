package load

import "time"

const (
	// rejectAboveShare and acceptBelowShare are the shares of the link's capacity
	// above which a VM rejects new connections and below which it accepts them.
	rejectAboveShare = 0.9
	acceptBelowShare = 0.8
	// gateTimeConstant is the time constant of the rate by which connections are
	// rejected. The bytes of a request follow its connection within milliseconds.
	gateTimeConstant = 150 * time.Millisecond
	// maxRejectTime bounds the time for which all connections are rejected.
	maxRejectTime = 500 * time.Millisecond
	// minAcceptTime is how long connections are accepted after maxRejectTime.
	minAcceptTime = 50 * time.Millisecond
)

// Gate decides whether a VM accepts new connections. The load balancer sends all
// connections of a client to one VM, and those that this VM rejects to the next
// one. So a VM that rejects connections for parts of a second keeps the load that
// it can carry and passes the rest on, which costs the client one round trip and
// the link hardly anything. The zero value is a gate of a link without a limit.
type Gate struct {
	Capacity     float64 // bytes per second in each direction; 0 for no limit
	rate         Rate
	rejecting    bool
	changed      time.Time // when it last began to reject or to accept
	forcedAccept bool      // it accepts because it has rejected for maxRejectTime
}

// Observe adds the bytes of the busier direction since the last call, and whether
// the VM's work waits for the processor. It returns whether new connections are
// rejected from now on.
func (g *Gate) Observe(bytes int64, processorBusy bool, now time.Time) bool {
	g.rate.TimeConstant = gateTimeConstant
	rate := g.rate.Observe(bytes, now)
	overloaded := processorBusy || g.Capacity > 0 && rate > rejectAboveShare*g.Capacity
	calm := !processorBusy && rate <= acceptBelowShare*g.Capacity
	elapsed := now.Sub(g.changed)
	switch {
	case g.rejecting && (calm || g.Capacity <= 0 && !processorBusy):
		g.set(false, now)
	case g.rejecting && elapsed >= maxRejectTime:
		g.set(false, now)
		g.forcedAccept = true
	case !g.rejecting && overloaded && (!g.forcedAccept || elapsed >= minAcceptTime):
		g.set(true, now)
	}
	return g.rejecting
}

// set begins to reject or to accept connections.
func (g *Gate) set(rejecting bool, now time.Time) {
	g.rejecting, g.changed, g.forcedAccept = rejecting, now, false
}
