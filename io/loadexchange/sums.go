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

// exchangeSums exchanges sums with the collectors of the other failure domains, while
// this VM gets reports.
func (e *Exchanger) exchangeSums(t Transport, now time.Time) {
	if !e.collecting.active(now) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, list := range e.roles.others {
		for _, v := range list {
			l := e.links[v.Name]
			if l == nil || !l.usable(t) {
				continue
			}
			if age, ok := e.collecting.sumAge(v.Name, now); !l.busy && (!ok || age > freshSum) {
				l.busy = true
				x := &sumExchange{exchanger: e, transport: t, link: l}
				go x.run()
			}
			break
		}
	}
}

// sumExchange is one exchange of sums with another collector.
type sumExchange struct {
	exchanger *Exchanger
	transport Transport
	link      *link
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
	leftOut := false
	switch outcome {
	case answered, late: // no request waits for it
		x.link.succeed(now)
	case lost:
		leftOut = x.link.fail(now)
	default:
		leftOut = x.link.leaveOut(now)
	}
	e.mu.Unlock()
	if leftOut {
		e.log.Info("collector left out", "collector", x.link.vm.Name, "domain", x.link.vm.Domain, "reason", outcome, "for", leaveOutTime)
	}
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
