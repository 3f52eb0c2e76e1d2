package loadexchange

import (
	"context"
	"errors"
	"net/http"
	"time"

	"hawthornspar/core/endpointload"
	"hawthornspar/core/home"
)

const (
	// lateAfter is the time after which no request waits for an exchange any more.
	lateAfter = 20 * time.Millisecond
	// exchangeTimeout is the time after which an exchange is given up. A late
	// response is still used.
	exchangeTimeout = 60 * time.Millisecond
)

// exchange is one exchange with the collector.
type exchange struct {
	exchanger *Exchanger
	transport Transport
	link      *link
	sequence  int64
	started   moment
	done      chan struct{} // closed at the end
	// awaited is unset when the collector did not respond in time to the previous
	// exchange: no request waits for this one.
	awaited bool
}

// start starts an exchange if the last one is older than age, or at once if age is 0.
// It returns the exchange in progress; nil if there is none, or what is known is
// younger than age.
func (e *Exchanger) start(age time.Duration) *exchange {
	now := e.now()
	e.mu.Lock()
	if !e.active || e.closed || age > 0 && now.at.Sub(e.view.at) < age {
		e.mu.Unlock()
		return nil
	}
	if x := e.running; x != nil {
		e.again = e.again || age == 0
		e.mu.Unlock()
		return x
	}
	if age > 0 && (now.at.Sub(e.lastAt) < age || !e.allowance.available(now.at)) {
		e.mu.Unlock()
		return nil
	}
	x, self := e.begin(now)
	sequence := e.sequence
	e.mu.Unlock()
	if self {
		e.exchangeWithSelf(sequence, now)
	}
	return x
}

// begin begins an exchange with the collector, and reports whether that is this VM
// itself. The caller holds the lock.
func (e *Exchanger) begin(now moment) (x *exchange, self bool) {
	t := e.vm.Transport()
	to := e.collector(t)
	e.lastAt = now.at
	e.noteAsked(to)
	e.retract(to, t)
	e.sequence++
	if to.link == nil {
		if !to.self {
			e.metrics.Increment("load_exchanges", "noCollector")
		}
		return nil, to.self
	}
	x = &exchange{exchanger: e, transport: t, link: to.link, sequence: e.sequence, started: now, done: make(chan struct{}), awaited: to.link.failures == 0}
	e.running = x
	go x.run()
	return x, false
}

// noteAsked logs which VM is asked, when that changes. The caller holds the lock.
func (e *Exchanger) noteAsked(to target) {
	name := ""
	switch {
	case to.self:
		name = e.name
	case to.link != nil:
		name = to.link.vm.Name
	}
	if name != e.asked {
		e.log.Info("collector", "collector", name, "before", e.asked)
		e.asked = name
	}
}

// exchangeWithSelf takes in this VM's report as its own collector.
func (e *Exchanger) exchangeWithSelf(sequence int64, now moment) {
	e.collecting.apply(e.makeReport(sequence), now.at)
	e.vm.SetOthers(e.collecting.summaryFor(e.name, now.at), now.at)
	e.mu.Lock()
	e.view = now
	e.mu.Unlock()
	e.metrics.Increment("load_exchanges", "self")
}

// makeReport returns a report of what this VM has in flight.
func (e *Exchanger) makeReport(sequence int64) endpointload.Report {
	r := endpointload.Report{VM: e.name, Domain: e.domain, Sequence: sequence, Loads: e.vm.OwnLoads(), Observations: e.vm.TakeObservations()}
	e.mu.Lock()
	e.reported = len(r.Loads) > 0
	e.mu.Unlock()
	return r
}

// report sends a report to a VM and returns the response.
func (e *Exchanger) report(ctx context.Context, t Transport, to home.VM, r endpointload.Report) ([]byte, error) {
	message, err := encodeReport(r)
	if err != nil {
		return nil, err
	}
	return e.send(ctx, t, http.MethodPost, to, ReportPath, message)
}

// wait waits for the end of the exchange, until it is late.
func (x *exchange) wait(ctx context.Context) {
	left := lateAfter - time.Since(x.started.at)
	if !x.awaited || left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-x.done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// run sends the report and takes in the response.
func (x *exchange) run() {
	e := x.exchanger
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	raw, err := e.report(ctx, x.transport, x.link.vm, e.makeReport(x.sequence))
	var s endpointload.Summary
	if err == nil {
		s, err = decodeSummary(raw, e.directory.index())
	}
	end := e.now()
	fresh := err == nil && !x.started.suspendedUntil(end)
	if fresh {
		e.vm.SetOthers(s, x.started.at)
	}
	x.finish(err, len(raw), end, fresh)
}

// finish records the outcome, wakes the requests that wait, and starts the exchange
// that has become due meanwhile.
func (x *exchange) finish(err error, responseBytes int, end moment, fresh bool) {
	e, took := x.exchanger, end.at.Sub(x.started.at)
	outcome := outcomeOf(err, took)
	e.metrics.Increment("load_exchanges", outcome)
	e.metrics.ObserveDuration("load_exchange_seconds", outcome, took)
	e.mu.Lock()
	leftOut := x.record(outcome, end.at)
	if fresh {
		e.view = x.started
	}
	if err == nil {
		e.allowance.spend(responseBytes+overheadBytes, end.at)
	}
	e.running = nil
	again := e.again
	e.again = false
	e.mu.Unlock()
	close(x.done)
	if leftOut {
		e.log.Info("collector left out", "collector", x.link.vm.Name, "reason", outcome, "for", leaveOutTime)
	}
	if again {
		e.start(0)
	}
}

// Outcomes of exchanges.
const (
	answered   = "answered"   // within lateAfter
	late       = "late"       // later
	lost       = "lost"       // no response
	refused    = "refused"    // the VM is leaving, or takes no reports
	unreadable = "unreadable" // the response is malformed
)

// outcomeOf returns the outcome of an exchange.
func outcomeOf(err error, took time.Duration) string {
	var status *StatusError
	var malformed *MessageError
	switch {
	case errors.As(err, &status):
		return refused
	case errors.As(err, &malformed):
		return unreadable
	case err != nil:
		return lost
	case took > lateAfter:
		return late
	}
	return answered
}

// record records the outcome for the link, and reports whether the collector is left out
// from now on. The caller holds the exchanger's lock.
func (x *exchange) record(outcome string, now time.Time) bool {
	switch outcome {
	case answered:
		x.link.succeed(now)
		return false
	case refused, unreadable:
		return x.link.leaveOut(now)
	}
	return x.link.fail(now)
}
