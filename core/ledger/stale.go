package ledger

import (
	"slices"
	"time"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// originCheckInterval is the minimum time between two checks of the origins
// of stored charges.
const originCheckInterval = 2 * time.Second

// checkOrigins reads all VMs' rows if charges are stored for an origin that
// is no longer alive, since the message that allows their deletion may have
// been lost.
func (c *Copier) checkOrigins(w *world.World) {
	if c.originReadID != 0 || w.Now.Before(c.originCheckAt) || !w.TableReachable {
		return
	}
	c.originCheckAt = w.Now.Add(originCheckInterval)
	for _, origin := range c.stored.Keys() {
		if !isAlive(w, origin) {
			c.originReadID = w.NextID()
			w.Emit(outbox.Read{ID: c.originReadID, Prefixes: []string{entity.VMPrefix}})
			return
		}
	}
}

// isAlive reports whether a peer with this incarnation is alive.
func isAlive(w *world.World, incarnation string) bool {
	return slices.ContainsFunc(w.AlivePeers(), func(p *entity.Peer) bool { return p.Incarnation == incarnation })
}

// dropClosedOrigins deletes the charges of origins that are closed or
// recovered, since these charges are in the ledger. It keeps the charges of an
// origin that any row names as its open or unrecovered incarnation.
func (c *Copier) dropClosedOrigins(e inbox.ReadDone) {
	c.originReadID = 0
	if !e.OK {
		return
	}
	var open []string
	for _, row := range e.Rows {
		vm, _ := row.Document.(entity.VMRow)
		open = append(open, vm.UnrecoveredIncarnations...)
		if !vm.Closed {
			open = append(open, vm.Incarnation)
		}
	}
	for _, origin := range c.stored.Keys() {
		if !slices.Contains(open, origin) {
			c.Drop(origin)
		}
	}
}
