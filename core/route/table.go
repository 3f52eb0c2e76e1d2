package route

import (
	"slices"
	"sort"
	"strings"
)

// Table looks up the routes, services and accounts of one document. It does not
// change after NewTable.
type Table struct {
	Document       *Document
	byHost         map[string][]*Route // longest prefix first
	accountsByKey  map[string]*Account
	servicesByName map[string]*Service
}

// NewTable indexes a document.
func NewTable(d *Document) *Table {
	t := &Table{
		Document:       d,
		byHost:         map[string][]*Route{},
		accountsByKey:  map[string]*Account{},
		servicesByName: map[string]*Service{},
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range d.Services {
		t.servicesByName[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Accounts {
		a := &d.Accounts[i]
		for _, k := range a.Keys {
			t.accountsByKey[k] = a
		}
	}
	return t
}

// Match returns the route for a host header and a raw path, which is the one
// with the longest matching prefix, or nil when none matches. The host's port
// and case are ignored.
func (t *Table) Match(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the client account that an API key belongs to, or nil.
func (t *Table) Account(key string) *Account { return t.accountsByKey[key] }

// NeedsKey reports whether a route's requests must carry an API key. No
// route needs a key while no accounts are configured.
func (t *Table) NeedsKey(r *Route) bool { return len(t.Document.Accounts) > 0 && !r.Anonymous }

// Service returns the service with a name, or nil.
func (t *Table) Service(name string) *Service { return t.servicesByName[name] }

// DescribesEngines reports whether any service has model engines that the
// configuration describes.
func (t *Table) DescribesEngines() bool {
	return slices.ContainsFunc(t.Document.Services, func(s Service) bool { return s.Engine != nil })
}

// PickService returns the service for a request, chosen by the weights of the
// route's splits. point is a uniform random number in [0, 1). PickService
// returns "" for a route without splits.
func (r *Route) PickService(point float64) string {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	remaining := point * float64(total)
	for _, s := range r.Splits {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	if len(r.Splits) == 0 {
		return ""
	}
	return r.Splits[len(r.Splits)-1].Service
}

// EffectivePriority returns the priority of a request, which is the account's
// if it has one, and the route's otherwise. a may be nil.
func (r *Route) EffectivePriority(a *Account) int {
	if a != nil && a.Priority != nil {
		return *a.Priority
	}
	return r.Priority
}
