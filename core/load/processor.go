package load

import "time"

// Limits of the wait for the processor. A request waits several times: when its
// connection is accepted, after its body was read, and for each part of its
// response.
const (
	// refuseAbove is the wait above which a request is refused.
	refuseAbove = 100 * time.Millisecond
	// refuseUrgentAbove is the wait above which an urgent request is refused.
	refuseUrgentAbove = 250 * time.Millisecond
	// busyAbove is the wait above which the VM is busy, and calmBelow the one
	// below which it becomes calm.
	busyAbove = 50 * time.Millisecond
	calmBelow = 10 * time.Millisecond
)

// Processor decides when a VM has too little processor time for the requests that
// it gets, from samples of how long its work waits for the processor. Its zero
// value is an idle processor.
type Processor struct {
	last  time.Duration // last sample
	lower time.Duration // smaller one of the last two samples, as a suspension of the VM makes a single one long
	busy  bool
}

// Observe records a sample of the wait. It reports whether the VM became busy or
// calm.
func (p *Processor) Observe(wait time.Duration) bool {
	p.lower = min(p.last, wait)
	p.last = wait
	wasBusy := p.busy
	switch {
	case p.lower > busyAbove:
		p.busy = true
	case p.last < calmBelow:
		p.busy = false
	}
	return p.busy != wasBusy
}

// Busy reports whether the VM should get no new connections.
func (p *Processor) Busy() bool { return p.busy }

// Wait returns the estimated wait for the processor.
func (p *Processor) Wait() time.Duration { return p.lower }

// Refuses reports whether a request would wait so long for the processor that its
// client had better try another VM.
func (p *Processor) Refuses(urgent bool) bool {
	if urgent {
		return p.Wait() > refuseUrgentAbove
	}
	return p.Wait() > refuseAbove
}
