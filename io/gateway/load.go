package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"hawthornspar/core/load"
	"hawthornspar/io/http1"
)

// Measurement of the traffic.
const (
	// loadSamplePeriod is the time between samples of the traffic, a fraction
	// of the time in which a burst decays in the measured rate.
	loadSamplePeriod = 250 * time.Millisecond
	// estimatedHeadBytes is counted for the head of a request and that of its
	// response, with the headers of their packets.
	estimatedHeadBytes = 1500
)

// loadMonitor measures the VM's traffic, and makes the VM unready while its
// link is near its capacity, or requests wait long for it. The bytes of requests and responses together
// approximate the traffic in each direction, as the VM receives and sends each
// of them once.
type loadMonitor struct {
	gateway  *Gateway
	meter    load.Meter
	queue    load.LinkQueue
	requests load.Rate
	counted  int64 // trafficBytes at the last sample
}

func (l *loadMonitor) loop(ctx context.Context) {
	for sleep(ctx, loadSamplePeriod) {
		now := time.Now()
		rate := l.requests.Observe(l.gateway.requests.Swap(0), now)
		l.gateway.state.setRequestRate(rate)
		total := l.gateway.trafficBytes.Load()
		bytes := total - l.counted
		l.counted = total
		if l.meter.Observe(bytes, now) {
			l.gateway.metrics.Increment("link", linkState(l.meter.Busy()))
			l.gateway.log.Info("link", "busy", l.meter.Busy(), "bytesPerSecond", int64(l.meter.Rate()), "capacity", int64(l.meter.Capacity))
		}
		l.observeQueue(now)
		l.gateway.linkBusy.Store(l.meter.Busy() || l.queue.Busy())
		l.gateway.closeKeepAlive.Store(l.meter.ClosesConnections(now) || l.queue.ClosesConnections(now))
	}
}

// observeQueue samples the length of the queue for the link.
func (l *loadMonitor) observeQueue(now time.Time) {
	length := l.gateway.uplink.length()
	if !l.queue.Observe(length, now) {
		return
	}
	l.gateway.metrics.Increment("link_queue", linkState(l.queue.Busy()))
	l.gateway.log.Info("link queue", "busy", l.queue.Busy(), "queueMs", length.Milliseconds(), "waiting", l.gateway.uplink.waiting())
}

// ownRequestRate returns the client requests per second at this VM.
func (s *state) ownRequestRate() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ownRate
}

// setRequestRate sets the measured client requests per second.
func (s *state) setRequestRate(rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ownRate = rate
	s.endpoints.SetFleetShare(rate / (rate + s.otherRates))
}

// crowded reports whether this VM has far more requests for its link than the other VMs
// of its failure domain.
func (s *state) crowded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var own load.VMLoad
	var others []load.VMLoad
	for _, v := range s.members {
		l := load.VMLoad{Rate: v.Rate, LinkBytesPerSecond: float64(v.LinkBytesPerSecond)}
		switch {
		case v.Name == s.vmName:
			own = l
		case v.Domain == s.failureDomain:
			others = append(others, l)
		}
	}
	own.Rate = s.ownRate
	return load.Crowded(own, others)
}

// linkState returns the name of a link's state in metrics.
func linkState(busy bool) string {
	if busy {
		return "busy"
	}
	return "calm"
}

// congestion detects from connections to endpoints whether the VM's own link is
// congested.
type congestion struct {
	mu       sync.Mutex
	detector load.Congestion
}

// recordDial records the outcome of opening a connection.
func (c *congestion) recordDial(err error) {
	var dial *http1.DialError
	failed := errors.As(err, &dial)
	if err != nil && !failed {
		return // no connection was opened
	}
	var timeout net.Error
	c.mu.Lock()
	defer c.mu.Unlock()
	c.detector.RecordAttempt(failed && errors.As(err, &timeout) && timeout.Timeout(), time.Now())
}

// congested reports whether the VM's own link is congested.
func (c *congestion) congested() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.detector.Congested(time.Now())
}

// overloaded reports whether a request would be queued in the VM's own link
// until its deadline, or might reach an endpoint that has left: its client had
// better try another VM.
func (g *Gateway) overloaded() bool {
	if !g.linkBusy.Load() {
		return false
	}
	return g.congestion.congested() || !g.state.registryCovers(g.uplink.delay(), g.reloaded.Load().DrainNotice)
}

// registryCovers reports whether the known registry is recent enough for a
// request that waits for delay in the VM's own link. notice is 0 when unknown.
func (s *state) registryCovers(delay, notice time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return notice == 0 || s.knowledge.Registry.Covers(delay, notice, time.Now())
}
