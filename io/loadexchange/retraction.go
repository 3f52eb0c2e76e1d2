package loadexchange

import (
	"context"
	"time"

	"hawthornspar/core/endpointload"
)

// retraction tells a collector that this VM no longer uses that it has nothing in
// flight. Otherwise the load would be counted at two collectors until it expires.
type retraction struct {
	exchanger *Exchanger
	transport Transport
	from      target
	report    endpointload.Report // without loads
}

// retract retracts what was reported to the previous collector, if another one is asked
// from now on. The caller holds the lock.
func (e *Exchanger) retract(to target, t Transport) {
	from := e.previous
	e.previous = to
	if from == to || from == (target{}) {
		return
	}
	r := &retraction{exchanger: e, transport: t, from: from, report: e.emptyReport()}
	go r.run()
}

// emptyReport returns a new report without loads. The caller holds the lock.
func (e *Exchanger) emptyReport() endpointload.Report {
	e.sequence++
	return endpointload.Report{VM: e.name, Domain: e.domain, Sequence: e.sequence}
}

func (r *retraction) run() {
	if r.from.self {
		r.exchanger.collecting.apply(r.report, time.Now())
		return
	}
	if r.transport == nil || !r.transport.Connected(r.from.link.vm.Address) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), sumTimeout)
	defer cancel()
	if _, err := r.exchanger.report(ctx, r.transport, r.from.link.vm, r.report); err != nil {
		r.exchanger.log.V(1).Info("load not retracted", "collector", r.from.link.vm.Name, "error", err.Error())
	}
}
