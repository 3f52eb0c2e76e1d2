package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"hawthornspar/core/coldstart"
	"hawthornspar/core/endpoints"
	"hawthornspar/core/escrow"
	"hawthornspar/core/evacuation"
	"hawthornspar/core/home"
	"hawthornspar/core/quarantine"
	"hawthornspar/core/retrybudget"
	"hawthornspar/core/revision"
	"hawthornspar/core/route"
)

// state is the data that the decisions of core are based on, guarded by its
// lock. No method waits for anything but the lock.
type state struct {
	mu            sync.Mutex
	vmName        string
	failureDomain string
	routeTable    *route.Table // nil until a configuration is known
	endpoints     *endpoints.Table
	registryKnown bool // whether the store or another VM has sent the registry of endpoints
	// registryVersion is the store's version that the known registry
	// corresponds to.
	registryVersion revision.Version
	knowledge       endpoints.Knowledge
	eras            revision.Tracker
	restored        *restoreReport // of the last step back; nil for none
	steppedBackAt   time.Time      // when the store's last step back was seen; zero for never
	evacuations     evacuation.Set
	groups          []*group
	retries         *retrybudget.Budget
	members         []home.VM // VMs that are alive, as last read; nil when none are known
	homesKnown      bool      // whether this VM knows the home VMs
	vmCount         int       // number of VMs that share limits
	ownRate         float64   // client requests per second at this VM
	otherRates      float64   // client requests per second at the other VMs, as last read
	random          endpoints.Random
	quarantine      *quarantine.Table
	vm              coldstart.VM // this VM, for cold endpoints
	coldMargin      coldstart.Margin
}

// globalRandom is the random source of the process.
type globalRandom struct{}

func (globalRandom) Float64() float64 { return rand.Float64() }

func newState(s Settings) *state {
	return &state{
		vmName: s.Name, failureDomain: s.FailureDomain, endpoints: endpoints.NewTable(),
		groups:  newGroups(s),
		retries: retrybudget.New(s.Retries),
		vmCount: defaultVMCount, random: globalRandom{}, quarantine: quarantine.NewTable(s.Name),
		vm: coldstart.VM{Name: s.Name, StartedAt: time.Now()}, coldMargin: s.Cold,
	}
}

// routes returns the routing table in force; nil until a configuration and the
// registry are known.
func (s *state) routes() *route.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.registryKnown {
		return nil
	}
	return s.routeTable
}

// configure puts a newer configuration in force. It returns false for one that
// is not newer.
func (s *state) configure(d *route.Document) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routeTable != nil && d.Version <= s.routeTable.Document.Version {
		return false
	}
	s.routeTable = route.NewTable(d)
	s.setColdMargin(s.coldMargin)
	for _, a := range d.Accounts {
		if a.Prepaid == nil {
			s.group(a.Name).budgets.Configure(a.Name, 0, false)
			continue
		}
		s.group(a.Name).budgets.Configure(a.Name, *a.Prepaid, true)
	}
	return true
}

// startAttempt chooses an endpoint and starts an attempt there. It returns nil
// when no endpoint that is not in attempted accepts new requests.
func (s *state) startAttempt(r endpoints.Request, attempted map[string]bool) *endpoints.Attempt {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	attempt := s.endpoints.StartAttempt(r, attempted, s.failureDomain, s.random, now)
	if attempt == nil {
		return nil
	}
	attempt.RegistryVersion, attempt.RegistryAge = s.registryVersion, s.knowledge.Registry.Age(now)
	return attempt
}

// hasLeft reports whether an attempt's endpoint has left or is leaving.
func (s *state) hasLeft(attempt *endpoints.Attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints.HasLeft(attempt.Endpoint, time.Now())
}

// recordFirstChunk records that the first chunk of an attempt's response
// arrived.
func (s *state) recordFirstChunk(attempt *endpoints.Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	attempt.FirstChunk(time.Now())
}

// endAttempt records the outcome of an attempt. It reports whether the attempt
// was misdirected, or failed while its endpoint was not avoided.
func (s *state) endAttempt(attempt *endpoints.Attempt, o endpoints.Outcome) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return attempt.End(o, time.Now())
}

// countRequest counts a request for the retry budget.
func (s *state) countRequest(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retries.CountRequest(service, time.Now())
}

// takeRetry reports whether the retry budget allows one more attempt, and
// counts it if so.
func (s *state) takeRetry(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retries.TakeRetry(service, s.vmCount, time.Now())
}

// maxConnections returns this VM's share of the connections to an endpoint; 0
// for no limit.
func (s *state) maxConnections(service string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.routeTable.Service(service)
	if d == nil || d.MaxConnections == 0 {
		return 0
	}
	return home.Share(d.MaxConnections, s.vmCount, s.ownRate, s.otherRates)
}

// setWaiting records whether a request waits for tokens. *current is what was
// last recorded for the request.
func (s *state) setWaiting(account string, tokens int64, current *bool, waiting bool) {
	if *current == waiting {
		return
	}
	*current = waiting
	s.mu.Lock()
	defer s.mu.Unlock()
	budgets := s.group(account).budgets
	if waiting {
		budgets.AddWaiting(account, tokens)
		return
	}
	budgets.RemoveWaiting(account, tokens)
}

// settle ends a reservation. used is the number of tokens that its request
// used.
func (s *state) settle(account string, r *escrow.Reservation, used int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group(account).budgets.Settle(r, used)
}
