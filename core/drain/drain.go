// Package drain shuts this VM down without cutting off a request.
package drain

import (
	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// Work tells what is left to write before the process may exit.
type Work interface {
	// Left returns how many things are left.
	Left(w *world.World) int
}

// Registry knows this VM's row.
type Registry interface {
	Registered() bool
	Row() entity.VMRow
}

// Configured tells whether this VM has a configuration.
type Configured interface{ Synced() bool }

// System decides readiness and, after StopAsked, when the process may exit.
type System struct {
	work     []Work
	registry Registry
	config   Configured
	told     bool
	stopped  bool
}

// New returns the drain system.
func New(config Configured, work ...Work) *System { return &System{config: config, work: work} }

// Bind gives the system the registry, which is built after it.
func (s *System) Bind(registry Registry) { s.registry = registry }

// Handle implements world.System.
func (s *System) Handle(w *world.World, event inbox.Event) {
	if _, ok := event.(inbox.StopAsked); ok && !w.Leaving {
		w.Leaving = true
		w.Log("stopping")
		for _, p := range w.Heard() {
			w.Send(p.VM, entity.Heartbeat{ConfigVersion: w.Config.Version, Leaving: true})
		}
	}
}

// Tick implements world.System.
func (s *System) Tick(w *world.World) {
	ready := s.config.Synced() && !w.Leaving && !w.Fenced
	if ready != w.Ready || !s.told {
		w.Ready, s.told = ready, true
		w.Emit(outbox.Ready{Ready: ready})
	}
	if w.Leaving && !s.stopped && !s.registry.Registered() && s.left(w) == 0 {
		s.stop(w)
	}
}

// left counts what must end before the VM's row is closed.
func (s *System) left(w *world.World) int {
	n := w.Requests.Len()
	for _, k := range s.work {
		n += k.Left(w)
	}
	for _, g := range w.Grants.Rows() {
		if g.Open() {
			n++
		}
	}
	return n
}

func (s *System) stop(w *world.World) {
	s.stopped = true
	w.Log("stopped")
	w.Emit(outbox.Stopped{})
}

// Compose implements ledger.Part: the last transaction closes the row.
func (s *System) Compose(w *world.World) ([]entity.Check, []entity.Put) {
	if !w.Leaving || s.stopped || s.left(w) > 0 {
		return nil, nil
	}
	row := s.registry.Row()
	row.Closed = true
	return nil, []entity.Put{{Key: entity.VMKey(w.Self.Name), Document: row}}
}

// Committed implements ledger.Part.
func (s *System) Committed(w *world.World, _ int64) { s.stop(w) }

// Conflicted implements ledger.Part.
func (s *System) Conflicted(*world.World, []entity.Row) {}
