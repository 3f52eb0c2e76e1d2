package gateway

import (
	"context"
	"sync"
	"time"
)

// Timing of a graceful shutdown.
const (
	// unreadyAcceptPeriod is how long connections are still accepted after the
	// VM reports that it is not ready: the balancer checks once a second and
	// needs two failed checks.
	unreadyAcceptPeriod = 2500 * time.Millisecond
	// budgetReturnTime is reserved at the end of the grace period for returning
	// budget.
	budgetReturnTime = 600 * time.Millisecond
	// lastResponsesTime is reserved before that for the responses to requests that are
	// still running.
	lastResponsesTime = 300 * time.Millisecond
	// runningShare is the share of the grace period in which no request is ended.
	runningShare = 5.0 / 6
)

// stopSchedule says what happens when during a graceful shutdown.
type stopSchedule struct {
	unready time.Time // the balancer sends no more connections
	cutOff  time.Time // requests that are still running end
	end     time.Time // connections are closed, and budget is returned
}

func newStopSchedule(start time.Time, grace time.Duration) *stopSchedule {
	end := start.Add(grace - budgetReturnTime)
	cutOff := end.Add(-lastResponsesTime)
	if earliest := start.Add(time.Duration(runningShare * float64(grace))); cutOff.Before(earliest) {
		cutOff = earliest
	}
	if cutOff.After(end) {
		cutOff = end
	}
	return &stopSchedule{unready: start.Add(unreadyAcceptPeriod), cutOff: cutOff, end: end}
}

// stopsBefore reports whether a request that is sent now may still be running when this
// VM stops. It does not concern requests that arrive while the balancer may not know of
// the stop: no other VM is sure to take them.
func (g *Gateway) stopsBefore(deadline time.Time) bool {
	s := g.stopping.Load()
	return s != nil && time.Now().After(s.unready) && deadline.After(s.cutOff)
}

// shutdown shuts down gracefully: the VM is unready at once, clients are told to
// close kept-alive connections, running requests have time to end, and budget
// is returned.
func (g *Gateway) shutdown(p *repayer) {
	start, grace := time.Now(), g.reloaded.Load().GracePeriod
	g.shuttingDown.Store(true)
	g.loads.Leave()
	g.log.Info("stopping", "grace", grace)
	s := newStopSchedule(start, grace)
	g.stopping.Store(s)
	timer := time.AfterFunc(time.Until(s.cutOff), g.endRequests)
	defer timer.Stop()
	time.Sleep(unreadyAcceptPeriod)
	ctx, cancel := context.WithDeadline(context.Background(), s.end)
	defer cancel()
	err := g.server.shutdownAll(ctx)
	g.loads.Close()
	g.returnBudgets(p, grace-time.Since(start))
	g.log.Info("stopped", "took", time.Since(start), "cutOff", err != nil)
}

// returnBudgets returns the free tokens: to the store what this VM drew, and to
// other VMs what it borrowed and what the store cannot take now.
func (g *Gateway) returnBudgets(p *repayer, limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var closing sync.WaitGroup
	for _, gr := range g.state.groups {
		c := &budgetCloser{syncer: budgetSyncer{gateway: g, group: gr}, done: &closing}
		closing.Add(1)
		go c.run(ctx)
	}
	closing.Wait()
	p.repayAll()
	p.handOverAll()
}

// budgetCloser returns the tokens of one group.
type budgetCloser struct {
	syncer budgetSyncer
	done   *sync.WaitGroup
}

func (c *budgetCloser) run(ctx context.Context) {
	defer c.done.Done()
	c.syncer.close(ctx)
}
