// Package shutdown decides when this VM is ready for clients, and shuts it down
// without interrupting a request.
package shutdown

import (
	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// Backlog is what a part of this VM has to finish before the process exits,
// such as charges to write to the ledger.
type Backlog interface {
	// Pending returns the number of items that remain.
	Pending(w *world.World) int
}

// Registration is this VM's row in the table.
type Registration interface {
	// Registered reports whether this incarnation owns the row.
	Registered() bool
	// Row returns the row as last committed.
	Row() entity.VMRow
}

// Configuration is this VM's configuration. Synced reports whether the VM has
// caught up with the newest configuration at least once.
type Configuration interface{ Synced() bool }

// System decides whether this VM is ready and, after a ShutdownRequested event,
// when the process may exit.
type System struct {
	backlogs     []Backlog
	registration Registration
	config       Configuration
	readyEmitted bool // at least one Ready command was emitted
	stopped      bool // the ShutdownComplete command was emitted
}

// New returns the system of readiness and shutdown.
func New(config Configuration, backlogs ...Backlog) *System {
	return &System{config: config, backlogs: backlogs}
}

// Bind sets the registration. It is not a parameter of New because the
// registration itself depends on this system.
func (s *System) Bind(registration Registration) { s.registration = registration }

// Handle implements world.System.
func (s *System) Handle(w *world.World, event inbox.Event) {
	if _, ok := event.(inbox.ShutdownRequested); ok && !w.ShuttingDown {
		w.ShuttingDown = true
		w.Log("stopping")
		for _, p := range w.AlivePeers() {
			w.Send(p.VM, entity.Heartbeat{ConfigVersion: w.Config.Version, ShuttingDown: true})
		}
	}
}

// Tick implements world.System.
func (s *System) Tick(w *world.World) {
	ready := s.config.Synced() && !w.ShuttingDown && !w.Fenced
	if ready != w.Ready || !s.readyEmitted {
		w.Ready, s.readyEmitted = ready, true
		w.Emit(outbox.Ready{Ready: ready})
	}
	if w.ShuttingDown && !s.stopped && !s.registration.Registered() && s.remaining(w) == 0 {
		s.stop(w)
	}
}

// remaining returns the number of requests, backlog items and grants with
// unspent tokens that have to end before this VM's row is closed.
func (s *System) remaining(w *world.World) int {
	n := w.Requests.Len()
	for _, b := range s.backlogs {
		n += b.Pending(w)
	}
	for _, g := range w.Grants.Rows() {
		if g.HasUnspent() {
			n++
		}
	}
	return n
}

func (s *System) stop(w *world.World) {
	s.stopped = true
	w.Log("stopped")
	w.Emit(outbox.ShutdownComplete{})
}

// Compose implements ledger.TransactionSource. The last transaction of this VM
// closes its row.
func (s *System) Compose(w *world.World) ([]entity.Check, []entity.Put) {
	if !w.ShuttingDown || s.stopped || s.remaining(w) > 0 {
		return nil, nil
	}
	row := s.registration.Row()
	row.Closed = true
	return nil, []entity.Put{{Key: entity.VMKey(w.Self.Name), Document: row}}
}

// Committed implements ledger.TransactionSource.
func (s *System) Committed(w *world.World, _ int64) { s.stop(w) }

// Conflicted implements ledger.TransactionSource. The transaction is composed
// again on a later tick.
func (s *System) Conflicted(*world.World, []entity.Row) {}
