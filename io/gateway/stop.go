package gateway

import (
	"context"
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
func (g *Gateway) stop(b *budgetKeeper) {
	begun, grace := time.Now(), g.reloaded.Load().Grace
	g.stopping.Store(true)
	g.log.Info("stopping", "grace", grace)
	time.Sleep(unreadyFor)
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(grace-finalWrite))
	defer cancel()
	err := g.server.shutdown(ctx)
	b.close(grace - time.Since(begun))
	g.log.Info("stopped", "took", time.Since(begun), "cutOff", err != nil)
}
