package loadexchange

import (
	"context"
	"net/http"
	"time"
)

const (
	// sumTimeout bounds an exchange of sums. It is less than the period, and no
	// request waits for it.
	sumTimeout = 150 * time.Millisecond
	// freshSum is the age up to which another collector's sum needs no exchange:
	// the other one asks this VM too, and one exchange in a period is enough.
	freshSum = 150 * time.Millisecond
)

// exchangeSums exchanges sums with the collectors of the other failure domains, and with
// those of this domain that come before this VM in the order, while this VM gets reports.
// The latter are asked by VMs that find them in time, so that the domain has several
// collectors at once.
func (e *Exchanger) exchangeSums(t Transport, now time.Time) {
	if !e.collecting.active(now) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, list := range e.roles.others {
		for _, v := range list {
			if l := e.links[v.Name]; l != nil && l.usable(t) {
				e.exchangeSum(l, t, now)
				break
			}
		}
	}
	for _, v := range e.roles.before(e.name) {
		if l := e.links[v.Name]; l != nil && l.lost == 0 && t.Connected(v.Address) {
			e.exchangeSum(l, t, now)
		}
	}
}

// exchangeSum starts an exchange of sums unless the other's sum is fresh. The caller holds
// the lock.
func (e *Exchanger) exchangeSum(l *link, t Transport, now time.Time) {
	if age, ok := e.collecting.sumAge(l.vm.Name, now); l.busy || ok && age <= freshSum {
		return
	}
	l.busy = true
	x := &sumExchange{exchanger: e, transport: t, link: l, sameDomain: l.vm.Domain == e.domain}
	go x.run()
}

// sumExchange is one exchange of sums with another collector.
type sumExchange struct {
	exchanger *Exchanger
	transport Transport
	link      *link
	// sameDomain is set if the other VM is a collector of this domain. Whether it is
	// left out is up to the exchanges that requests wait for.
	sameDomain bool
}

// run sends this domain's sum and takes in the other's.
func (x *sumExchange) run() {
	e, start := x.exchanger, time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), sumTimeout)
	defer cancel()
	err := x.exchange(ctx)
	now := time.Now()
	outcome := outcomeOf(err, now.Sub(start))
	e.metrics.Increment("load_sum_exchanges", outcome)
	e.mu.Lock()
	x.link.busy = false
	leftOut := !x.sameDomain && x.record(outcome, now)
	e.mu.Unlock()
	if leftOut {
		e.log.Info("collector left out", "collector", x.link.vm.Name, "domain", x.link.vm.Domain, "reason", outcome, "for", leaveOutTime)
	}
}

// record records the outcome for the link, and reports whether the collector is left out
// from now on. The caller holds the exchanger's lock.
func (x *sumExchange) record(outcome string, now time.Time) bool {
	switch outcome {
	case answered, late: // no request waits for it
		x.link.succeed(now)
		return false
	case lost:
		return x.link.fail(now)
	}
	return x.link.leaveOut(now)
}

func (x *sumExchange) exchange(ctx context.Context) error {
	e := x.exchanger
	start := e.now()
	message, err := encodeDomainSum(e.collecting.domainSum(start.at))
	if err != nil {
		return err
	}
	raw, err := e.send(ctx, x.transport, http.MethodPost, x.link.vm, SumPath, message)
	if err != nil {
		return err
	}
	s, err := decodeDomainSum(raw, x.link.vm.Name, e.directory.index())
	if err != nil {
		return err
	}
	if !start.suspendedUntil(e.now()) {
		e.collecting.applySum(s, start.at)
	}
	return nil
}
