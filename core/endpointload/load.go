// Package endpointload adds up what all VMs have in flight at each endpoint, and
// learns how fast each endpoint is. In each failure domain one VM, the
// collector, receives the reports of the domain's VMs, exchanges sums with the
// collectors of the other domains, and responds with what others have.
package endpointload

// Bounds of one load. More than this at one endpoint is a fault or a forgery.
const (
	maxRunning = 10_000
	maxTokens  = 100_000_000
)

// Load is what some VMs have in flight at one endpoint.
type Load struct {
	Running       int   // requests that have not ended
	PrefillTokens int64 // uncached prompt tokens of requests whose first event has not come
	HeldTokens    int64 // prompt and most output tokens of requests that have not ended
}

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{l.Running + o.Running, l.PrefillTokens + o.PrefillTokens, l.HeldTokens + o.HeldTokens}
}

// minus returns l without o.
func (l Load) minus(o Load) Load {
	return Load{l.Running - o.Running, l.PrefillTokens - o.PrefillTokens, l.HeldTokens - o.HeldTokens}
}

// Clipped returns the load with negative and absurd numbers replaced by the
// nearest possible ones.
func (l Load) Clipped() Load {
	return Load{min(max(l.Running, 0), maxRunning), min(max(l.PrefillTokens, 0), maxTokens), min(max(l.HeldTokens, 0), maxTokens)}
}

// Report is what one VM has in flight. It is a state and not a difference, so
// that a lost or repeated report does no harm.
type Report struct {
	VM           string
	Domain       string          // failure domain of the VM
	Sequence     int64           // rises with each report of the VM
	Loads        map[string]Load // by endpoint id
	Observations []Observation   // since the previous report
}

// Entry is what others have in flight at one endpoint.
type Entry struct {
	Load  Load
	Speed float64 // relative to the service's usual, which is 1; 0 if unknown or close to 1
}

// Summary is what others have in flight at each endpoint, by endpoint id.
type Summary struct{ Entries map[string]Entry }

// DomainSum is what the VMs of one failure domain have in flight, and what
// their collector has observed.
type DomainSum struct {
	Domain   string
	VM       string                 // the collector; set by the sender. Sums of two collectors of one domain add up
	Sequence int64                  // rises with each sum of the collector
	Loads    map[string]Load        // by endpoint id
	Speeds   map[string]SpeedSample // by endpoint id, from this collector's own observations
}
