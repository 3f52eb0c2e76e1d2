package soak

import (
	"fmt"
	"time"

	"hawthornspar/platform/standin"
)

// Request is one request of a caller, with the response as the caller saw it.
type Request struct {
	ID, VM, Target, Account, Body string
	PromptTokens, MaxOutputTokens int64    // 0 for app services
	Parts                         []string // ids of the parts of the prompt
	Sent, Ended                   time.Time
	Disconnected                  time.Time // when the caller closed the connection before the response ended; zero if the caller did not
	Status                        int       // 0 without a response
	Reset                         bool      // the connection was reset before a response
	Order                         string    // of a request that may run only once: the same in all attempts of its caller
	ResponseID, Seal              string    // X-Attempt-Id and X-Response-Seal, which holds the endpoint's id
	ResponseBody                  string
	Complete                      bool // the response arrived completely, as far as its HTTP framing shows
}

// Interval is a period of time.
type Interval struct{ From, To time.Time }

// ConfigChange is a configuration that the operator wrote.
type ConfigChange struct {
	At       time.Time
	Document standin.Document
}

// Drain is an endpoint's change to draining.
type Drain struct {
	Endpoint string // id
	At       time.Time
}

// Shutdown is a SIGTERM sent to a VM.
type Shutdown struct {
	VM string
	At time.Time
}

// History is what callers, endpoints and the harness recorded during a run.
type History struct {
	Requests         []Request
	Runs             []standin.Run
	Arrivals         []standin.Arrival // at all endpoints, in the order of each
	ConfigChanges    []ConfigChange
	Drains           []Drain
	Shutdowns        []Shutdown
	Crashes          []VMCrash
	VMFaults         map[string][]Interval // by VM: signals, and cuts of its link to the store
	StoreFaults      []Interval
	EndpointFaults   []Interval // of any endpoint
	RecoveryDeadline time.Time  // from which requests must be served again
	Ended            time.Time
}

// VMCrash is a daemon's panic, fatal error or data race.
type VMCrash struct{ VM string }

// Violation is an invariant that did not hold.
type Violation struct {
	Invariant string
	Detail    string
}

// String implements fmt.Stringer.
func (v Violation) String() string { return v.Invariant + ": " + v.Detail }

func newViolation(invariant, format string, args ...any) Violation {
	return Violation{Invariant: invariant, Detail: fmt.Sprintf(format, args...)}
}

// overlaps reports whether any of the intervals overlaps i.
func overlaps(intervals []Interval, i Interval) bool {
	for _, o := range intervals {
		if o.From.Before(i.To) && i.From.Before(o.To) {
			return true
		}
	}
	return false
}

// undisturbed reports whether neither the VM nor the store had a fault in the
// interval or in the settleTime before it.
func (h *History) undisturbed(vm string, i Interval) bool {
	i.From = i.From.Add(-settleTime)
	return !overlaps(h.VMFaults[vm], i) && !overlaps(h.StoreFaults, i)
}
