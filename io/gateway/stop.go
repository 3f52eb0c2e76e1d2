package gateway

import (
	"context"
	"sync"
	"time"
)

// Times of a graceful stop.
const (
	// unreadyFor is how long connections are still accepted after readiness is
	// off: the balancer asks once a second and needs two misses.
	unreadyFor = 2500 * time.Millisecond
	// finalWrite is kept at the end of the grace for returning budget.
	finalWrite = 600 * time.Millisecond
)

// stop ends gracefully: not ready at once, kept connections are told to close,
// running requests end by themselves, budget is returned.
func (g *Gateway) stop(p *repayer) {
	begun, grace := time.Now(), g.reloaded.Load().Grace
	g.stopping.Store(true)
	g.log.Info("stopping", "grace", grace)
	time.Sleep(unreadyFor)
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(grace-finalWrite))
	defer cancel()
	err := g.server.shutdown(ctx)
	g.returnBudgets(p, grace-time.Since(begun))
	g.log.Info("stopped", "took", time.Since(begun), "cutOff", err != nil)
}

// returnBudgets gives back what is free: to the store what this VM drew, to
// other VMs what it borrowed, and what the store cannot take now.
func (g *Gateway) returnBudgets(p *repayer, limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var closing sync.WaitGroup
	for _, r := range g.state.groups {
		k := &budgetCloser{keeper: budgetKeeper{gateway: g, group: r}, done: &closing}
		closing.Add(1)
		go k.run(ctx)
	}
	closing.Wait()
	p.repayAll()
	p.handOverAll()
}

// budgetCloser returns the budgets of one group.
type budgetCloser struct {
	keeper budgetKeeper
	done   *sync.WaitGroup
}

func (c *budgetCloser) run(ctx context.Context) {
	defer c.done.Done()
	c.keeper.close(ctx)
}
