package suspect

import (
	"hawthornspar/core/entity"
	"hawthornspar/core/world"
)

// crashLimit returns the number of crashes from which a fingerprint is quarantined. For
// the start of prompts, each is a request that was quarantined; there is one more, as
// the quarantine of a start concerns sound requests too.
func crashLimit(w *world.World, fingerprint string) int {
	if entity.IsPrefixFingerprint(fingerprint) {
		return w.Policy.QuarantineCrashes + 1
	}
	return w.Policy.QuarantineCrashes
}

// countPrefix counts a request that was quarantined against the start of its prompt. When
// several requests were, that share it and nothing else, the start is quarantined too.
func (s *System) countPrefix(w *world.World, r *entity.Request) {
	prefix := r.PrefixFingerprint()
	if prefix == "" {
		return
	}
	p := s.suspectOf(w, prefix)
	p.crashes++
	s.report(w, prefix, p.crashes, r.Endpoint)
	if p.crashes < crashLimit(w, prefix) {
		return
	}
	s.quarantine(w, prefix)
	s.quarantiner.Quarantine(w, prefix)
}

// clearPrefix ends the suspicion of the start of a prompt, as an endpoint has run a
// request with it to its end.
func (s *System) clearPrefix(w *world.World, r *entity.Request) {
	prefix := r.PrefixFingerprint()
	if _, suspected := s.suspects.Get(prefix); !suspected {
		return
	}
	s.report(w, prefix, 0, "")
	s.clear(w, prefix)
}
