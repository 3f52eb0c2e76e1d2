package load

import "time"

const (
	// jamSpan is the time over which connections are counted.
	jamSpan = time.Second
	// jamLeast and jamShare are the number and the part of connections that must
	// have timed out for the link to count as jammed: one silent endpoint, or
	// two, are not the link.
	jamLeast = 4
	jamShare = 0.5
)

// Jam tells from connections that VMs open whether the VM's own link is jammed:
// then opening packets to all endpoints wait too long. Its zero value is a link
// without trouble.
type Jam struct{ opened []opening }

// opening is one attempt to open a connection.
type opening struct {
	at       time.Time
	timedOut bool
}

// Opened counts an attempt to open a connection.
func (j *Jam) Opened(timedOut bool, now time.Time) {
	j.forget(now)
	j.opened = append(j.opened, opening{at: now, timedOut: timedOut})
}

// forget drops attempts that no longer count.
func (j *Jam) forget(now time.Time) {
	old := 0
	for old < len(j.opened) && now.Sub(j.opened[old].at) > jamSpan {
		old++
	}
	j.opened = j.opened[old:]
}

// Jammed tells whether what is sent now would wait too long.
func (j *Jam) Jammed(now time.Time) bool {
	j.forget(now)
	timedOut := 0
	for _, o := range j.opened {
		if o.timedOut {
			timedOut++
		}
	}
	return timedOut >= jamLeast && float64(timedOut) >= jamShare*float64(len(j.opened))
}
