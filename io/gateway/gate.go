package gateway

import (
	"context"
	"time"

	"hawthornspar/core/load"
)

const (
	// gatePeriod is the time between decisions whether new connections are
	// accepted, and delayedGatePeriod applies while there is a delay.
	gatePeriod        = 100 * time.Millisecond
	delayedGatePeriod = 25 * time.Millisecond
	// noticedDelay is the delay from which delayedGatePeriod applies.
	noticedDelay = 10 * time.Millisecond
	// gateLogPause is the time without a rejection after which the next one is
	// logged again.
	gateLogPause = 5 * time.Second
)

// gateMonitor decides whether new connections of clients are accepted.
type gateMonitor struct {
	gateway      *Gateway
	gate         load.Gate
	lastRejected time.Time // when connections were last rejected
}

func (m *gateMonitor) loop(ctx context.Context) {
	period := gatePeriod
	for sleep(ctx, period) {
		delay := m.gateway.congestion.delay()
		period = gatePeriod
		if delay > noticedDelay {
			period = delayedGatePeriod
		}
		rejecting := m.gate.Observe(delay, time.Now()) && !m.gateway.shuttingDown.Load()
		m.record(rejecting, delay)
		m.gateway.server.setAccepting(!rejecting)
	}
}

// record logs the first rejection after a pause, and counts all.
func (m *gateMonitor) record(rejecting bool, delay time.Duration) {
	if !rejecting {
		return
	}
	now := time.Now()
	if now.Sub(m.lastRejected) > gateLogPause {
		m.gateway.log.Info("connections rejected for parts of a second", "delayMs", delay.Milliseconds())
	}
	m.lastRejected = now
	m.gateway.metrics.Increment("gate", "rejecting")
}
