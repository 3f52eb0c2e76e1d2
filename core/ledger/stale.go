package ledger

import (
	"slices"
	"time"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// staleEvery is the time between looks at the origins of kept charges.
const staleEvery = 2 * time.Second

// lookUp reads all VMs' rows when charges are kept for an origin that is not
// heard of any more, since its last word may have been lost.
func (c *Copies) lookUp(w *world.World) {
	if c.reading != 0 || w.Now.Before(c.lookAt) || !w.TableUp {
		return
	}
	c.lookAt = w.Now.Add(staleEvery)
	for _, origin := range c.held.Keys() {
		if !heardFrom(w, origin) {
			c.reading = w.NextID()
			w.Emit(outbox.Read{ID: c.reading, Prefixes: []string{entity.VMPrefix}})
			return
		}
	}
}

func heardFrom(w *world.World, incarnation string) bool {
	return slices.ContainsFunc(w.Heard(), func(p *entity.Peer) bool { return p.Incarnation == incarnation })
}

// lookedUp forgets the charges of origins that are closed or recovered: they
// are in the ledger. An origin that a row names as live or unrecovered is kept.
func (c *Copies) lookedUp(e inbox.ReadDone) {
	c.reading = 0
	if !e.OK {
		return
	}
	var open []string
	for _, row := range e.Rows {
		vm, _ := row.Document.(entity.VMRow)
		open = append(open, vm.Unrecovered...)
		if !vm.Closed {
			open = append(open, vm.Incarnation)
		}
	}
	for _, origin := range c.held.Keys() {
		if !slices.Contains(open, origin) {
			c.Drop(origin)
		}
	}
}
