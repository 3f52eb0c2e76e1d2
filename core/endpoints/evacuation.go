package endpoints

import "time"

// evacuations are the failure domains whose endpoints accept no new requests, and when the
// last evacuation of a domain ended.
type evacuations struct {
	current map[string]bool
	endedAt map[string]time.Time
}

// StartEvacuation records that the endpoints of a failure domain get no new requests.
func (t *Table) StartEvacuation(domain string) { t.evacuations.current[domain] = true }

// EndEvacuation records that the evacuation of a failure domain was taken back. Its endpoints
// may have been cold meanwhile, and count as cold from then on.
func (t *Table) EndEvacuation(domain string, now time.Time) {
	delete(t.evacuations.current, domain)
	t.evacuations.endedAt[domain] = now
}

// IsEvacuated reports whether an endpoint is in an evacuated failure domain.
func (t *Table) IsEvacuated(e *Endpoint) bool { return t.evacuations.current[e.Domain] }

// AllEvacuated reports whether a service has endpoints that accept requests by the registry
// and their own word, and all of them are in evacuated failure domains.
func (t *Table) AllEvacuated(service string, now time.Time) bool {
	n := 0
	for _, e := range t.byService[service] {
		if !e.registered(now) {
			continue
		}
		if !t.IsEvacuated(e) {
			return false
		}
		n++
	}
	return n > 0
}
