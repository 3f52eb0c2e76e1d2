// Package suspect finds requests that crash endpoints and quarantines them.
// When an endpoint crashes, all requests that ran there become suspects. A
// suspect is retried in a trial, on an endpoint that runs no other suspect. If
// that endpoint crashes too, the request's fingerprint is quarantined on all VMs.
package suspect

import (
	"slices"
	"time"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// Quarantiner adds quarantines to the configuration.
type Quarantiner interface {
	// Quarantine makes all VMs refuse requests with the fingerprint.
	Quarantine(w *world.World, fingerprint string)
}

// System holds suspect requests and runs one trial of a fingerprint at a time.
type System struct {
	quarantiner Quarantiner
	suspects    entity.Table[string, *suspect]      // by fingerprint
	announced   entity.Table[string, *announcement] // by fingerprint
}

// suspect is a fingerprint whose requests ran on endpoints when they crashed.
type suspect struct {
	crashes   int       // 1 for any number of crashes outside trials, and one for each in a trial
	endpoints []string  // names of the crashed endpoints
	since     time.Time // first crash known to this VM
	trialAt   time.Time // earliest start of the first trial
	trial     int64     // ID of the request in a trial on this VM, 0 for none
	waiting   []*entity.Request
}

// Durations counted from the first crash of a suspect.
const (
	trialDelay   = 50 * time.Millisecond // until the first trial; lets the reports of other VMs arrive
	maxSuspicion = 10 * time.Minute      // a suspect that is not quarantined by then is cleared
)

// New returns the system of suspects.
func New(quarantiner Quarantiner) *System { return &System{quarantiner: quarantiner} }

// Handle implements world.System.
func (s *System) Handle(w *world.World, event inbox.Event) {
	switch e := event.(type) {
	case inbox.Submitted:
		s.handleSubmitted(w, e.Submission)
	case inbox.AttemptEnded:
		s.handleAttemptEnded(w, e)
	case inbox.PeerMessage:
		if m, ok := e.Message.(entity.SuspectReport); ok {
			s.applyReport(w, e.From, m)
		}
	}
}

// Tick implements world.System.
func (s *System) Tick(w *world.World) {
	for _, r := range w.TakeEntered(entity.PhaseSuspect) {
		s.holdOrForward(w, r)
	}
	for _, r := range w.ClosedLastPass {
		if p, ok := s.suspects.Get(r.Fingerprint); ok && p.trial == r.ID {
			p.trial = 0
		}
	}
	for _, fingerprint := range s.suspects.Keys() {
		p, _ := s.suspects.Get(fingerprint)
		s.advance(w, fingerprint, p)
	}
	s.refuseAnnounced(w)
}

// IsSuspect reports whether a request is suspect and has to wait for a trial, or is
// quarantined since it was admitted.
func (s *System) IsSuspect(w *world.World, r *entity.Request) bool {
	_, ok := s.suspects.Get(r.Fingerprint)
	return ok || w.Config.IsQuarantined(r)
}

// handleSubmitted makes a request that was forwarded for its trial suspect here, even if
// the report of the crash arrives later.
func (s *System) handleSubmitted(w *world.World, sub entity.Submission) {
	if len(sub.CrashedEndpoints) > 0 {
		s.addCrashes(w, sub.Fingerprint, 1, sub.CrashedEndpoints)
	}
}

// addCrashes adds crashes that another VM has seen.
func (s *System) addCrashes(w *world.World, fingerprint string, crashes int, endpoints []string) {
	p := s.suspectOf(w, fingerprint)
	p.crashes = max(p.crashes, crashes)
	for _, e := range endpoints {
		if !slices.Contains(p.endpoints, e) {
			p.endpoints = append(p.endpoints, e)
		}
	}
}

// handleAttemptEnded handles the end of an attempt. A crash of the endpoint makes
// the request suspect; a complete response in a trial clears the suspicion.
func (s *System) handleAttemptEnded(w *world.World, e inbox.AttemptEnded) {
	r, ok := w.Requests.Get(e.Request)
	if !ok || r.Attempt != e.Attempt {
		return
	}
	// The crash does not make the request suspect if the endpoint had not
	// recovered from an earlier failure when the request was sent: it may have
	// been down all along.
	if e.Outcome == inbox.OutcomeConnectionFailed && e.EndpointCrashed && r.EndpointWasHealthy {
		s.countCrash(w, r)
	}
	if e.Outcome != inbox.OutcomeCompleted {
		return
	}
	if r.InTrial {
		s.report(w, r.Fingerprint, 0, "")
		s.clear(w, r.Fingerprint)
	}
	s.clearPrefix(w, r)
}

// countCrash counts a crash of the request's endpoint. All crashes outside trials
// together count as one, since another request on the endpoint may have caused
// them.
func (s *System) countCrash(w *world.World, r *entity.Request) {
	p := s.suspectOf(w, r.Fingerprint)
	p.endpoints = append(p.endpoints, r.Endpoint)
	if r.InTrial || p.crashes == 0 {
		p.crashes++
	}
	s.report(w, r.Fingerprint, p.crashes, r.Endpoint)
	if p.crashes >= w.Policy.QuarantineCrashes {
		s.announce(w, r.Fingerprint)
		s.quarantine(w, r.Fingerprint)
		s.quarantiner.Quarantine(w, r.Fingerprint)
		s.countPrefix(w, r)
	}
}

// suspectOf returns the suspect with a fingerprint and adds it if there is none.
func (s *System) suspectOf(w *world.World, fingerprint string) *suspect {
	p, ok := s.suspects.Get(fingerprint)
	if !ok {
		p = &suspect{since: w.Now, trialAt: w.Now.Add(trialDelay)}
		s.suspects.Put(fingerprint, p)
	}
	return p
}

// report sends the number of crashes of a fingerprint to the alive peers. Zero
// crashes clear the suspect.
func (s *System) report(w *world.World, fingerprint string, crashes int, endpoint string) {
	for _, p := range w.AlivePeers() {
		w.Send(p.VM, entity.SuspectReport{Fingerprint: fingerprint, Crashes: crashes, Endpoint: endpoint})
	}
}

// applyReport applies another VM's report of a fingerprint, and acknowledges one of a
// quarantine.
func (s *System) applyReport(w *world.World, from entity.VM, m entity.SuspectReport) {
	switch {
	case m.Crashes >= crashLimit(w, m.Fingerprint):
		s.quarantine(w, m.Fingerprint)
		s.acknowledge(w, from, m)
	case m.Crashes == 0:
		s.clear(w, m.Fingerprint)
	default:
		s.addCrashes(w, m.Fingerprint, m.Crashes, []string{m.Endpoint})
	}
}

// clear removes a suspect and returns its waiting requests to the queue.
func (s *System) clear(w *world.World, fingerprint string) {
	for _, r := range s.remove(fingerprint) {
		w.SetPhase(r, entity.PhaseQueued)
	}
}

// quarantine refuses a fingerprint on this VM with immediate effect. Only the
// Quarantiner records the quarantine in the configuration.
func (s *System) quarantine(w *world.World, fingerprint string) {
	w.Config.Quarantined.Put(fingerprint, entity.Quarantine{Fingerprint: fingerprint})
	w.Log("quarantined", "fingerprint", fingerprint)
	for _, r := range s.remove(fingerprint) {
		s.refuse(w, r)
	}
}

// remove removes a suspect and returns the requests that still wait for its
// trial.
func (s *System) remove(fingerprint string) []*entity.Request {
	p, ok := s.suspects.Get(fingerprint)
	if !ok {
		return nil
	}
	s.suspects.Delete(fingerprint)
	return slices.DeleteFunc(p.waiting, func(r *entity.Request) bool { return r.Phase != entity.PhaseSuspect })
}

// holdOrForward makes a suspect request wait for its trial, or forwards it to the
// VM that runs the trials of its fingerprint.
func (s *System) holdOrForward(w *world.World, r *entity.Request) {
	if w.Config.IsQuarantined(r) {
		s.refuse(w, r)
		return
	}
	p, ok := s.suspects.Get(r.Fingerprint)
	if !ok {
		w.SetPhase(r, entity.PhaseQueued)
		return
	}
	vm := trialVM(w, r, p.endpoints)
	if r.Forwarded || vm.Name == w.Self.Name {
		p.waiting = append(p.waiting, r)
		return
	}
	r.Phase = entity.PhaseForwarded
	w.Emit(outbox.Forward{Request: r.ID, To: vm, MayHaveRun: r.PossiblyRun(), CrashedEndpoints: p.endpoints})
	w.Emit(outbox.Count{Counter: world.CounterRetries, Reason: "forwardedForTrial"})
}

// advance clears a suspect that is too old, refuses waiting requests whose
// deadline passed, and starts the next trial if none is running.
func (s *System) advance(w *world.World, fingerprint string, p *suspect) {
	p.waiting = slices.DeleteFunc(p.waiting, func(r *entity.Request) bool { return r.Phase != entity.PhaseSuspect })
	if w.Now.Sub(p.since) > maxSuspicion {
		s.clear(w, fingerprint)
		return
	}
	for _, r := range p.waiting {
		if !w.Now.Before(r.Deadline) {
			w.Refuse(r, entity.ReasonOverloaded, time.Second)
		}
	}
	if p.trial != 0 || len(p.waiting) == 0 || w.Now.Before(p.trialAt) {
		return
	}
	r := p.waiting[0]
	p.waiting = p.waiting[1:]
	if r.Phase != entity.PhaseSuspect {
		return
	}
	p.trial, r.InTrial = r.ID, true
	w.SetPhase(r, entity.PhaseQueued)
}
