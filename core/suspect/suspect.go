// Package suspect finds requests that crash endpoints and bars them. When an
// endpoint dies, all that ran there becomes suspect. A suspect is tried again
// alone among suspects; at its second death it is quarantined fleet-wide.
package suspect

import (
	"slices"
	"time"

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

// suspect is a fingerprint that ran on endpoints when they died.
type suspect struct {
	deaths    int
	endpoints []string // that died
	since     time.Time
	readyAt   time.Time // the next trial may start
	trial     int64     // request under trial on this VM, 0 for none
	held      []*entity.Request
}

// Times of suspicion.
const (
	trialDelay  = 50 * time.Millisecond // lets the reports of other VMs arrive
	forgetAfter = 10 * time.Minute
)

// New returns the system.
func New(quarantiner Quarantiner) *System { return &System{quarantiner: quarantiner} }

// Handle implements world.System.
func (s *System) Handle(w *world.World, event inbox.Event) {
	switch e := event.(type) {
	case inbox.AttemptEnded:
		s.ended(w, e)
	case inbox.PeerSaid:
		if m, ok := e.Message.(entity.SuspectReport); ok {
			s.reported(w, m)
		}
	}
}

// Tick implements world.System.
func (s *System) Tick(w *world.World) {
	for _, r := range w.Take(entity.PhaseSuspect) {
		s.hold(w, r)
	}
	for _, r := range w.Ended {
		if p, ok := s.suspects.Get(r.Fingerprint); ok && p.trial == r.ID {
			p.trial = 0
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
// whole answer in a trial clears it.
func (s *System) ended(w *world.World, e inbox.AttemptEnded) {
	r, ok := w.Requests.Get(e.Request)
	if !ok || r.Attempt != e.Attempt {
		return
	}
	// An endpoint that was not yet found in health again may have been dead all
	// along, whatever it was sent.
	if e.Outcome == inbox.OutcomeBroken && e.Died && r.Blamed {
		s.died(w, r)
	}
	if e.Outcome == inbox.OutcomeAnswered && r.SoleSuspect {
		s.tell(w, r.Fingerprint, 0, "")
		s.clear(w, r.Fingerprint)
	}
}

// died counts a death. One that happened outside a trial counts once, since
// the request had company.
func (s *System) died(w *world.World, r *entity.Request) {
	p := s.suspect(w, r.Fingerprint)
	p.endpoints = append(p.endpoints, r.Endpoint)
	p.deaths = max(p.deaths, 1)
	if r.SoleSuspect {
		p.deaths = 2
	}
	s.tell(w, r.Fingerprint, p.deaths, r.Endpoint)
	if p.deaths >= w.Policy.QuarantineDeaths {
		s.bar(w, r.Fingerprint)
		s.quarantiner.Quarantine(w, r.Fingerprint)
	}
}

// suspect returns a fingerprint's entry, a new one if there is none.
func (s *System) suspect(w *world.World, fingerprint string) *suspect {
	p, ok := s.suspects.Get(fingerprint)
	if !ok {
		p = &suspect{since: w.Now, readyAt: w.Now.Add(trialDelay)}
		s.suspects.Put(fingerprint, p)
	}
	return p
}

func (s *System) tell(w *world.World, fingerprint string, deaths int, endpoint string) {
	for _, p := range w.Heard() {
		w.Send(p.VM, entity.SuspectReport{Fingerprint: fingerprint, Deaths: deaths, Endpoint: endpoint})
	}
}

// reported takes another VM's news of a fingerprint.
func (s *System) reported(w *world.World, m entity.SuspectReport) {
	switch {
	case m.Deaths >= w.Policy.QuarantineDeaths:
		s.bar(w, m.Fingerprint)
	case m.Deaths == 0:
		s.clear(w, m.Fingerprint)
	default:
		p := s.suspect(w, m.Fingerprint)
		p.deaths = max(p.deaths, m.Deaths)
		p.endpoints = append(p.endpoints, m.Endpoint)
	}
}

// clear ends a suspicion and lets the held requests go on.
func (s *System) clear(w *world.World, fingerprint string) {
	for _, r := range s.take(fingerprint) {
		w.Enter(r, entity.PhaseQueued)
	}
}

// bar quarantines a fingerprint on this VM at once. The configuration makes
// it last.
func (s *System) bar(w *world.World, fingerprint string) {
	w.Config.Barred.Put(fingerprint, entity.Quarantine{Fingerprint: fingerprint})
	w.Log("quarantined", "fingerprint", fingerprint)
	for _, r := range s.take(fingerprint) {
		w.Refuse(r, entity.ReasonQuarantined, 0)
	}
}

// take forgets a fingerprint and returns the requests held for it.
func (s *System) take(fingerprint string) []*entity.Request {
	p, ok := s.suspects.Get(fingerprint)
	if !ok {
		return nil
	}
	s.suspects.Delete(fingerprint)
	return slices.DeleteFunc(p.held, func(r *entity.Request) bool { return r.Phase != entity.PhaseSuspect })
}

// hold keeps a suspect request for its trial, or passes it to the one VM that
// tries its fingerprint.
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
	vm := judge(w, r, p.endpoints)
	if r.Forwarded || vm.Name == w.Self.Name {
		p.held = append(p.held, r)
		return
	}
	r.Phase = entity.PhaseForwarded
	w.Emit(outbox.Forward{Request: r.ID, To: vm, MayHaveRun: r.Exposed()})
	w.Emit(outbox.Count{Counter: world.CounterRetries, Reason: "forwardedForTrial"})
}

// advance starts the next trial, and ends waits that last too long.
func (s *System) advance(w *world.World, fingerprint string, p *suspect) {
	p.held = slices.DeleteFunc(p.held, func(r *entity.Request) bool { return r.Phase != entity.PhaseSuspect })
	if w.Now.Sub(p.since) > forgetAfter {
		s.clear(w, fingerprint)
		return
	}
	for _, r := range p.held {
		if !w.Now.Before(r.Deadline) {
			w.Refuse(r, entity.ReasonOverloaded, time.Second)
		}
	}
	if p.trial != 0 || len(p.held) == 0 || w.Now.Before(p.readyAt) {
		return
	}
	r := p.held[0]
	p.held = p.held[1:]
	if r.Phase != entity.PhaseSuspect {
		return
	}
	p.trial, r.SoleSuspect = r.ID, true
	w.Enter(r, entity.PhaseQueued)
}
