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

// Jam detects congestion of the VM's own link from its connection attempts to
// endpoints. On a congested link the packets that open connections wait too
// long in the queue, whatever the endpoint. The zero value is a link without
// congestion.
type Congestion struct{ recent []connectAttempt }

// connectAttempt is one attempt to open a connection.
type connectAttempt struct {
	at       time.Time
	timedOut bool
}

// Opened records an attempt to open a connection.
func (j *Congestion) RecordAttempt(timedOut bool, now time.Time) {
	j.dropExpired(now)
	j.recent = append(j.recent, connectAttempt{at: now, timedOut: timedOut})
}

// dropExpired drops the attempts from before the window.
func (j *Congestion) dropExpired(now time.Time) {
	expired := 0
	for expired < len(j.recent) && now.Sub(j.recent[expired].at) > congestionWindow {
		expired++
	}
	j.recent = j.recent[expired:]
}

// Jammed reports whether the link is congested, so that packets sent now would
// wait too long.
func (j *Congestion) Congested(now time.Time) bool {
	j.dropExpired(now)
	timedOut := 0
	for _, a := range j.recent {
		if a.timedOut {
			timedOut++
		}
	}
	return timedOut >= minTimeouts && float64(timedOut) >= minTimeoutShare*float64(len(j.recent))
}
