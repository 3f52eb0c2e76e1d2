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

const (
	// loadPeriod is the time between looks at the bytes that have passed, a
	// fraction of the time in which a burst fades from the measured rate.
	loadPeriod = 250 * time.Millisecond
	// headBytes is counted for the head of a request and of its answer, with
	// the packets' own headers.
	headBytes = 1500
)

// loadWatch measures the VM's traffic, and makes the VM unready while its link
// is near its capacity.
type loadWatch struct {
	gateway  *Gateway
	meter    load.Meter
	requests load.Rate
}

func (l *loadWatch) loop(ctx context.Context) {
	for sleep(ctx, loadPeriod) {
		now := time.Now()
		rate := l.requests.Observe(l.gateway.requests.Swap(0), now)
		l.gateway.state.setRate(rate)
		if l.meter.Observe(l.gateway.passed.Swap(0), now) {
			l.gateway.metrics.Count("link", linkState(l.meter.Busy()))
			l.gateway.log.Info("link", "busy", l.meter.Busy(), "bytesPerSecond", int64(l.meter.Rate()), "capacity", int64(l.meter.Capacity))
		}
		l.gateway.crowded.Store(l.meter.Busy())
		l.gateway.sheds.Store(l.meter.Closes(now))
	}
}

// ownRate returns the requests of clients a second at this VM.
func (s *state) ownRate() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rate
}

// setRate keeps the measured requests of clients a second.
func (s *state) setRate(rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate = rate
}

// linkState names a state of the link in metrics.
func linkState(busy bool) string {
	if busy {
		return "busy"
	}
	return "calm"
}

// jam guards what connections to endpoints say of the VM's own link.
type jam struct {
	mu   sync.Mutex
	load load.Jam
}

// opened takes the outcome of opening a connection.
func (j *jam) opened(err error) {
	var dial *http1.DialError
	failed := errors.As(err, &dial)
	if err != nil && !failed {
		return // none was opened
	}
	var timeout net.Error
	j.mu.Lock()
	defer j.mu.Unlock()
	j.load.Opened(failed && errors.As(err, &timeout) && timeout.Timeout(), time.Now())
}

func (j *jam) jammed() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.load.Jammed(time.Now())
}

// overloaded tells whether a request would wait in the VM's own link until it
// is late: better that its client tries another VM.
func (g *Gateway) overloaded() bool { return g.crowded.Load() && g.jam.jammed() }
