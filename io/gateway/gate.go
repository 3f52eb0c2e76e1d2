package gateway

import (
	"context"
	"time"

	"hawthornspar/core/load"
)

const (
	// gatePeriod is the time between decisions whether new connections are
	// accepted, while there is traffic; idleGatePeriod applies otherwise.
	gatePeriod     = 25 * time.Millisecond
	idleGatePeriod = 100 * time.Millisecond
	// activeGateShare is the share of what the link carries in gatePeriod. A sample
	// with more bytes makes gatePeriod apply.
	activeGateShare = 0.2
	// gateLogPause is the time without a rejection after which the next one is
	// logged again.
	gateLogPause = 5 * time.Second
)

// gateMonitor decides whether new connections of clients are accepted.
type gateMonitor struct {
	gateway      *Gateway
	gate         load.Gate
	counted      int64     // trafficBytes at the last sample
	lastRejected time.Time // when connections were last rejected
}

func (m *gateMonitor) loop(ctx context.Context) {
	period := idleGatePeriod
	for sleep(ctx, period) {
		bytes := m.sample()
		period = idleGatePeriod
		if float64(bytes) > activeGateShare*m.gate.Capacity*gatePeriod.Seconds() {
			period = gatePeriod
		}
		rejecting := m.gate.Observe(bytes, time.Now())
		m.record(rejecting)
		m.gateway.server.setAccepting(!rejecting || m.gateway.shuttingDown.Load())
	}
}

// sample returns the bytes since the last call.
func (m *gateMonitor) sample() int64 {
	total := m.gateway.trafficBytes.Load()
	bytes := total - m.counted
	m.counted = total
	return bytes
}

// record logs the first rejection after a pause, and counts all.
func (m *gateMonitor) record(rejecting bool) {
	if !rejecting {
		return
	}
	now := time.Now()
	if now.Sub(m.lastRejected) > gateLogPause {
		m.gateway.log.Info("connections rejected for parts of a second")
	}
	m.lastRejected = now
	m.gateway.metrics.Increment("gate", "rejecting")
}
