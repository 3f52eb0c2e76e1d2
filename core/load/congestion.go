package load

import "time"

const (
	// congestionWindow is the time over which connection attempts are counted.
	congestionWindow = time.Second
	// minTimeouts and minTimeoutShare are the number and the share of connection
	// attempts that must have timed out for the link to count as congested. One
	// or two endpoints that do not respond are no sign of congestion.
	minTimeouts     = 4
	minTimeoutShare = 0.5
)

// Congestion detects congestion of the VM's own link from its connection
// attempts to endpoints. On a congested link the packets that open connections
// wait too long in the queue, whatever the endpoint. The zero value is a link
// without congestion.
type Congestion struct{ recent []connectAttempt }

// connectAttempt is one attempt to open a connection.
type connectAttempt struct {
	at       time.Time
	timedOut bool
}

// RecordAttempt records an attempt to open a connection.
func (c *Congestion) RecordAttempt(timedOut bool, now time.Time) {
	c.dropExpired(now)
	c.recent = append(c.recent, connectAttempt{at: now, timedOut: timedOut})
}

// dropExpired drops the attempts from before the window.
func (c *Congestion) dropExpired(now time.Time) {
	expired := 0
	for expired < len(c.recent) && now.Sub(c.recent[expired].at) > congestionWindow {
		expired++
	}
	c.recent = c.recent[expired:]
}

// Congested reports whether the link is congested, so that packets sent now
// would wait too long.
func (c *Congestion) Congested(now time.Time) bool {
	c.dropExpired(now)
	timedOut := 0
	for _, a := range c.recent {
		if a.timedOut {
			timedOut++
		}
	}
	return timedOut >= minTimeouts && float64(timedOut) >= minTimeoutShare*float64(len(c.recent))
}
