package gateway

import (
	"context"
	"math"
	"runtime/metrics"
	"sync/atomic"
	"time"

	"hawthornspar/core/load"
)

const (
	// processorSamplePeriod is the time between samples of the wait for the
	// processor.
	processorSamplePeriod = 100 * time.Millisecond
	// waitQuantile is the share of the waits of one period that are at most as
	// long as its sample.
	waitQuantile = 0.9
	// schedulingWaits is the runtime's histogram of the times, in seconds, that
	// goroutines waited for a processor before they ran.
	schedulingWaits = "/sched/latencies:seconds"
)

// processor holds the decisions of the processor monitor.
type processor struct {
	busy          atomic.Bool
	refuses       atomic.Bool
	refusesUrgent atomic.Bool
}

// urgentPriority is the priority of urgent requests.
const urgentPriority = 0

// refusesFor reports whether a request of a priority would wait too long for the
// processor.
func (p *processor) refusesFor(priority int) bool {
	if priority <= urgentPriority {
		return p.refusesUrgent.Load()
	}
	return p.refuses.Load()
}

// processorMonitor samples how long goroutines wait for the processor.
type processorMonitor struct {
	gateway  *Gateway
	meter    load.Processor
	previous []uint64 // counts of the histogram at the last sample
}

func (m *processorMonitor) loop(ctx context.Context) {
	m.sample()
	for sleep(ctx, processorSamplePeriod) {
		if m.meter.Observe(m.sample()) {
			m.gateway.log.Info("processor", "busy", m.meter.Busy(), "waitMs", m.meter.Wait().Milliseconds())
		}
		p := &m.gateway.processor
		p.busy.Store(m.meter.Busy())
		p.refuses.Store(m.meter.Refuses(false))
		p.refusesUrgent.Store(m.meter.Refuses(true))
	}
}

// sample returns the quantile of the waits since the last call.
func (m *processorMonitor) sample() time.Duration {
	read := []metrics.Sample{{Name: schedulingWaits}}
	metrics.Read(read)
	h := read[0].Value.Float64Histogram()
	wait := quantileSince(h, m.previous, waitQuantile)
	m.previous = append(m.previous[:0], h.Counts...)
	return wait
}

// quantileSince returns a quantile of the values that were added to a histogram
// of seconds since it had the previous counts.
func quantileSince(h *metrics.Float64Histogram, previous []uint64, quantile float64) time.Duration {
	total := uint64(0)
	added := make([]uint64, len(h.Counts))
	for i, n := range h.Counts {
		added[i] = n
		if i < len(previous) {
			added[i] -= previous[i]
		}
		total += added[i]
	}
	if total == 0 {
		return 0
	}
	needed, sum := uint64(math.Ceil(quantile*float64(total))), uint64(0)
	for i, n := range added {
		sum += n
		if sum >= needed {
			return time.Duration(max(h.Buckets[i], 0) * float64(time.Second))
		}
	}
	return 0
}
