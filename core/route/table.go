package route

import (
	"sort"
	"strings"
)

// Table finds routes, services and accounts of one document. It is read-only
// after NewTable.
type Table struct {
	Document *Document
	byHost   map[string][]*Route // longest prefix first
	keys     map[string]*Account
	services map[string]*Service
}

// NewTable indexes a document.
func NewTable(d *Document) *Table {
	t := &Table{
		Document: d,
		byHost:   map[string][]*Route{},
		keys:     map[string]*Account{},
		services: map[string]*Service{},
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
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Accounts {
		a := &d.Accounts[i]
		for _, k := range a.Keys {
			t.keys[k] = a
		}
	}
	return t
}

// Match returns the route of a host header and a raw path: the longest prefix
// that begins the path. It returns nil when there is none.
func (t *Table) Match(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the account that holds an API key, or nil.
func (t *Table) Account(key string) *Account { return t.keys[key] }

// NeedsKey tells whether a route's requests must carry an API key.
func (t *Table) NeedsKey(r *Route) bool { return len(t.Document.Accounts) > 0 && !r.Anonymous }

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Pick returns the service that takes a request, by the weights of the
// route's splits. point is uniform in [0, 1).
func (r *Route) Pick(point float64) string {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	left := point * float64(total)
	for _, s := range r.Splits {
		left -= float64(s.Weight)
		if left < 0 {
			return s.Service
		}
	}
	if len(r.Splits) == 0 {
		return ""
	}
	return r.Splits[len(r.Splits)-1].Service
}

// Rank returns the priority of a request: the account's, or else the route's.
func (r *Route) Rank(a *Account) int {
	if a != nil && a.Priority != nil {
		return *a.Priority
	}
	return r.Priority
}
