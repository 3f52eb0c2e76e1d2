package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"hawthornspar/core/endpoints"
	"hawthornspar/core/escrow"
	"hawthornspar/core/home"
	"hawthornspar/core/retrybudget"
	"hawthornspar/core/route"
)

// state guards the decisions of core. Each method is one decision; none waits.
type state struct {
	mu        sync.Mutex
	domain    string
	table     *route.Table // nil until a configuration is known
	endpoints *endpoints.Table
	registry  bool // the registry has been read
	// registryVersion is the store's version that the registry is known as of.
	registryVersion int64
	groups          []*group
	retries         *retrybudget.Budget
	members         []home.VM // that run, as last read; nil when none are known
	joined          bool      // it is known who holds the budgets
	vms             int       // VMs that share limits
	rate            float64   // requests of clients a second at this VM
	otherRates      float64   // and at the other VMs, as last read
	random          endpoints.Random
}

type globalRandom struct{}

func (globalRandom) Float64() float64 { return rand.Float64() }

func newState(s Settings) *state {
	return &state{
		domain: s.Domain, endpoints: endpoints.NewTable(),
		groups:  newGroups(s),
		retries: retrybudget.New(s.Retries),
		vms:     defaultVMs, random: globalRandom{},
	}
}

// routes returns the table in force; nil while none is known.
func (s *state) routes() *route.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.registry {
		return nil
	}
	return s.table
}

// configure takes a newer document. It returns false for one that is not newer.
func (s *state) configure(d *route.Document) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table != nil && d.Version <= s.table.Document.Version {
		return false
	}
	s.table = route.NewTable(d)
	for _, a := range d.Accounts {
		if a.Prepaid == nil {
			s.group(a.Name).book.Configure(a.Name, 0, false)
			continue
		}
		s.group(a.Name).book.Configure(a.Name, *a.Prepaid, true)
	}
	return true
}

// place chooses an endpoint and counts the send; nil when none takes work.
func (s *state) place(w endpoints.Work, tried map[string]bool) *endpoints.Send {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints.Choose(w, tried, s.domain, s.random, now)
	if e == nil {
		return nil
	}
	send := e.Begin(w, now)
	send.Registry = s.registryVersion
	return send
}

func (s *state) first(send *endpoints.Send) {
	s.mu.Lock()
	defer s.mu.Unlock()
	send.First(time.Now())
}

// end counts the end of a send; true when its endpoint is newly avoided.
func (s *state) end(send *endpoints.Send, o endpoints.Outcome) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return send.End(o, time.Now())
}

// countRequest counts a request for the retry budget.
func (s *state) countRequest(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retries.Request(service, time.Now())
}

// takeRetry asks the retry budget for one more send.
func (s *state) takeRetry(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retries.Take(service, s.vms, time.Now())
}

// connections returns this VM's share of the connections to an endpoint; 0 for
// no limit.
func (s *state) connections(service string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.table.Service(service)
	if d == nil || d.MaxConnections == 0 {
		return 0
	}
	return home.Share(d.MaxConnections, s.vms, s.rate, s.otherRates)
}

// wait tells the book that a request begins or ceases to wait for tokens; waits
// keeps which of both was told last.
func (s *state) wait(account string, tokens int64, waits *bool, begins bool) {
	if *waits == begins {
		return
	}
	*waits = begins
	s.mu.Lock()
	defer s.mu.Unlock()
	book := s.group(account).book
	if begins {
		book.Wait(account, tokens)
		return
	}
	book.Leave(account, tokens)
}

func (s *state) settle(account string, r *escrow.Reservation, used int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group(account).book.Settle(r, used)
}
