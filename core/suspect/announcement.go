package suspect

import (
	"slices"
	"time"

	"hawthornspar/core/entity"
	"hawthornspar/core/world"
)

// maxAnnounceTime bounds how long refusals wait for the acknowledgements of peers, one of
// which may be silent.
const maxAnnounceTime = time.Second

// announcement is a quarantine of which this VM has told its peers. Until they have
// acknowledged it, callers get no answer: those who are told of the quarantine may send
// the request again at once, to any VM.
type announcement struct {
	unacknowledged []string // names of peers
	until          time.Time
	waiting        []*entity.Request
}

// announce starts the announcement of a quarantine that this VM has just reported.
func (s *System) announce(w *world.World, fingerprint string) {
	a := &announcement{until: w.Now.Add(maxAnnounceTime)}
	for _, p := range w.AlivePeers() {
		a.unacknowledged = append(a.unacknowledged, p.Name)
	}
	s.announced.Put(fingerprint, a)
}

// acknowledge answers the report of a quarantine, or applies such an answer, which names
// no endpoint.
func (s *System) acknowledge(w *world.World, from entity.VM, m entity.SuspectReport) {
	if m.Endpoint != "" {
		w.Send(from, entity.SuspectReport{Fingerprint: m.Fingerprint, Crashes: m.Crashes})
		return
	}
	if a, ok := s.announced.Get(m.Fingerprint); ok {
		a.unacknowledged = slices.DeleteFunc(a.unacknowledged, func(name string) bool { return name == from.Name })
	}
}

// refuse refuses a quarantined request once the quarantine is announced.
func (s *System) refuse(w *world.World, r *entity.Request) {
	if a, ok := s.announced.Get(r.Fingerprint); ok {
		a.waiting = append(a.waiting, r)
		return
	}
	w.Refuse(r, entity.ReasonQuarantined, 0)
}

// refuseAnnounced refuses the requests whose quarantine all peers have acknowledged.
func (s *System) refuseAnnounced(w *world.World) {
	for _, fingerprint := range s.announced.Keys() {
		a, _ := s.announced.Get(fingerprint)
		if len(a.unacknowledged) > 0 && w.Now.Before(a.until) {
			continue
		}
		s.announced.Delete(fingerprint)
		for _, r := range a.waiting {
			if r.Phase == entity.PhaseSuspect {
				w.Refuse(r, entity.ReasonQuarantined, 0)
			}
		}
	}
}
