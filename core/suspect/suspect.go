// Package suspect finds requests that crash endpoints and bars them. When an
// endpoint dies, all that ran there becomes suspect. A suspect is tried again
// alone among suspects; at its second death it is quarantined fleet-wide.
package suspect

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// Quarantiner makes a quarantine part of the configuration.
type Quarantiner interface {
	Quarantine(w *world.World, fingerprint string)
}

// System holds suspects and tries them one at a time.
type System struct {
	quarantiner Quarantiner
	suspects    entity.Table[string, *suspect]
}

// suspect is a fingerprint that ran on an endpoint when it died.
type suspect struct {
	deaths  int
	trial   string // VM that tries it
	since   time.Time
	readyAt time.Time // the trial may start
	running bool      // a trial is under way on this VM
	held    []*entity.Request
}

// New returns the system.
func New(quarantiner Quarantiner) *System { return &System{quarantiner: quarantiner} }

// Handle implements world.System.
func (s *System) Handle(w *world.World, event inbox.Event) {
	switch e := event.(type) {
	case inbox.AttemptEnded:
		s.ended(w, e)
	case inbox.PeerSaid:
		if m, ok := e.Message.(entity.SuspectReport); ok {
			s.reported(w, e.From, m)
		}
	}
}

// Tick implements world.System.
func (s *System) Tick(w *world.World) {
	for _, r := range w.Take(entity.PhaseSuspect) {
		s.hold(w, r)
	}
	for _, r := range w.Ended {
		if p, ok := s.suspects.Get(r.Fingerprint); ok && r.SoleSuspect {
			p.running = false
		}
	}
	for _, fingerprint := range s.suspects.Keys() {
		p, _ := s.suspects.Get(fingerprint)
		s.advance(w, fingerprint, p)
	}
}

// Check tells whether a request is suspect and must be held for a trial.
func (s *System) Check(r *entity.Request) bool {
	_, ok := s.suspects.Get(r.Fingerprint)
	return ok
}

// ended takes the end of an attempt: a death makes its request suspect, a
// whole answer clears it.
func (s *System) ended(w *world.World, e inbox.AttemptEnded) {
	r, ok := w.Requests.Get(e.Request)
	if !ok || r.Attempt != e.Attempt {
		return
	}
	switch {
	case e.Outcome == inbox.OutcomeBroken && e.Died:
		s.died(w, r)
	case e.Outcome == inbox.OutcomeAnswered:
		s.cleared(w, r)
	case r.SoleSuspect:
		s.untried(r)
	}
}

func (s *System) died(w *world.World, r *entity.Request) {
	p, ok := s.suspects.Get(r.Fingerprint)
	if !ok {
		p = &suspect{since: w.Now}
		s.suspects.Put(r.Fingerprint, p)
	}
	switch {
	case r.SoleSuspect:
		p.deaths++
		p.running = false
	case p.deaths == 0:
		p.deaths = 1
	}
	if p.trial == "" {
		p.trial, p.readyAt = w.Self.Name, w.Now.Add(trialDelay)
	}
	s.tell(w, r.Fingerprint, p.deaths, r.Endpoint)
	if p.deaths >= w.Policy.QuarantineDeaths {
		s.quarantine(w, r.Fingerprint, p)
		s.quarantiner.Quarantine(w, r.Fingerprint)
	}
}

// trialDelay lets the reports of other VMs arrive before a trial.
const trialDelay = 50 * time.Millisecond

func (s *System) tell(w *world.World, fingerprint string, deaths int, endpoint string) {
	for _, p := range w.Heard() {
		w.Send(p.VM, entity.SuspectReport{Fingerprint: fingerprint, Deaths: deaths, Endpoint: endpoint})
	}
}

// cleared ends the suspicion of a request that was answered in a trial.
func (s *System) cleared(w *world.World, r *entity.Request) {
	p, ok := s.suspects.Get(r.Fingerprint)
	if !ok || !r.SoleSuspect {
		return
	}
	s.tell(w, r.Fingerprint, 0, "")
	s.release(w, r.Fingerprint, p)
}

func (s *System) release(w *world.World, fingerprint string, p *suspect) {
	s.suspects.Delete(fingerprint)
	for _, r := range p.held {
		if r.Phase == entity.PhaseSuspect {
			r.SoleSuspect = false
			w.Enter(r, entity.PhaseQueued)
		}
	}
}

// untried notes that a trial ended without a verdict.
func (s *System) untried(r *entity.Request) {
	if p, ok := s.suspects.Get(r.Fingerprint); ok {
		p.running = false
	}
}

// quarantine bars a fingerprint on this VM at once. The configuration makes
// it last.
func (s *System) quarantine(w *world.World, fingerprint string, p *suspect) {
	s.suspects.Delete(fingerprint)
	w.Config.Barred.Put(fingerprint, entity.Quarantine{Fingerprint: fingerprint})
	w.Log("quarantined", "fingerprint", fingerprint)
	for _, r := range p.held {
		if r.Phase == entity.PhaseSuspect {
			w.Refuse(r, entity.ReasonQuarantined, 0)
		}
	}
}

// reported takes another VM's news of a fingerprint.
func (s *System) reported(w *world.World, from entity.VM, m entity.SuspectReport) {
	p, ok := s.suspects.Get(m.Fingerprint)
	switch {
	case m.Deaths >= w.Policy.QuarantineDeaths:
		if !ok {
			p = &suspect{}
		}
		s.quarantine(w, m.Fingerprint, p)
	case m.Deaths == 0 && ok:
		s.release(w, m.Fingerprint, p)
	case m.Deaths > 0 && !ok:
		s.suspects.Put(m.Fingerprint, &suspect{deaths: m.Deaths, trial: from.Name, since: w.Now})
	case m.Deaths > 0 && !p.running && from.Name < p.trial:
		p.trial = from.Name
	}
}

// hold keeps a suspect request until its trial, or another VM's, has a verdict.
func (s *System) hold(w *world.World, r *entity.Request) {
	if _, barred := w.Config.Barred.Get(r.Fingerprint); barred {
		w.Refuse(r, entity.ReasonQuarantined, 0)
		return
	}
	p, ok := s.suspects.Get(r.Fingerprint)
	if !ok {
		w.Enter(r, entity.PhaseQueued)
		return
	}
	p.held = append(p.held, r)
}

// advance starts this VM's trial, takes over from a VM that fell silent, and
// refuses requests that waited too long.
func (s *System) advance(w *world.World, fingerprint string, p *suspect) {
	p.held = slices.DeleteFunc(p.held, func(r *entity.Request) bool { return r.Phase != entity.PhaseSuspect })
	for _, r := range p.held {
		if !w.Now.Before(r.Deadline) && !r.Exposed() {
			w.Refuse(r, entity.ReasonOverloaded, time.Second)
		}
	}
	if p.trial != w.Self.Name && w.Now.Sub(p.since) > trialSilence {
		p.trial, p.since = w.Self.Name, w.Now
	}
	if w.Now.Sub(p.since) > forgetAfter {
		s.release(w, fingerprint, p)
		return
	}
	if p.trial != w.Self.Name || p.running || len(p.held) == 0 || w.Now.Before(p.readyAt) {
		return
	}
	r := p.held[0]
	p.held = p.held[1:]
	if r.Phase == entity.PhaseSuspect {
		p.running = true
		r.SoleSuspect = true
		s.place(w, r)
	}
}

// Times of suspicion.
const (
	trialSilence = 10 * time.Second
	forgetAfter  = 10 * time.Minute
)

// place queues a trial here, or passes it to a VM that owns an endpoint for it.
func (s *System) place(w *world.World, r *entity.Request) {
	owners := owners(w, r)
	if r.Forwarded || len(owners) == 0 || slices.ContainsFunc(owners, func(vm entity.VM) bool { return vm.Name == w.Self.Name }) {
		w.Enter(r, entity.PhaseQueued)
		return
	}
	r.Phase = entity.PhaseForwarded
	w.Emit(outbox.Forward{Request: r.ID, To: owners[0], MayHaveRun: r.Exposed()})
	w.Emit(outbox.Count{Counter: world.CounterRetries, Reason: "forwardedForTrial"})
}

// owners returns the VMs that own trials on the endpoints of a service.
func owners(w *world.World, r *entity.Request) []entity.VM {
	var found []entity.VM
	for _, e := range w.Endpoints.Rows() {
		if e.Spec.Serves(r.Service) && !e.Spec.Leaving && !w.Now.Before(e.DownUntil) && !slices.Contains(r.Avoid, e.Spec.Name) {
			found = append(found, Owner(w, e.Spec.Name))
		}
	}
	return found
}

// Owner returns the one VM that may run suspects on an endpoint, so that two
// VMs' suspects do not meet there.
func Owner(w *world.World, endpoint string) entity.VM {
	best, hash := w.Self, xxhash.Sum64String(w.Self.Name+"|"+endpoint)
	for _, p := range w.Heard() {
		if h := xxhash.Sum64String(p.Name + "|" + endpoint); h > hash && !p.Leaving {
			best, hash = p.VM, h
		}
	}
	return best
}
