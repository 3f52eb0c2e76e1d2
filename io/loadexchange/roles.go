package loadexchange

import (
	"slices"
	"time"

	"hawthornspar/core/endpointload"
	"hawthornspar/core/home"
)

const (
	// maxCollectors bounds the VMs that are asked in turn. A VM that reaches none
	// of these is itself cut off, and handshakes with further ones would only cost
	// time.
	maxCollectors = 3
	// openLinks is the number of own collectors to which a connection is kept
	// open: the first in the order, and the one that replaces it.
	openLinks = 2
	// sumSpread spreads the first connections to collectors of other domains. Few
	// VMs open these.
	sumSpread = 200 * time.Millisecond
)

// roles says which VMs are collectors, by the VMs that are registered.
type roles struct {
	own    []home.VM            // of this VM's domain, in the order in which they are asked
	others map[string][]home.VM // of the other failure domains, in order, by domain
}

// newRoles derives the roles from the registered VMs.
func newRoles(domain string, vms []home.VM) roles {
	r := roles{own: firstCollectors(domain, vms), others: map[string][]home.VM{}}
	for _, v := range vms {
		if _, known := r.others[v.Domain]; known || v.Domain == domain || v.Domain == "" {
			continue
		}
		r.others[v.Domain] = firstCollectors(v.Domain, vms)
	}
	return r
}

// before returns the collectors of this VM's domain that are asked before the named one;
// none if that is not a collector.
func (r roles) before(name string) []home.VM {
	i := slices.IndexFunc(r.own, func(v home.VM) bool { return v.Name == name })
	return r.own[:max(i, 0)]
}

func firstCollectors(domain string, vms []home.VM) []home.VM {
	list := endpointload.CollectorsOf(domain, vms)
	return list[:min(len(list), maxCollectors)]
}

// target is the VM that an exchange is made with.
type target struct {
	link *link // nil when isSelf, and when there is none
	self bool  // this VM is the collector
}

// collector returns the first collector in the order that is usable. The caller holds
// the lock.
func (e *Exchanger) collector(t Transport) target {
	for _, v := range e.roles.own {
		if v.Name == e.name {
			if e.leaving {
				continue
			}
			return target{self: true}
		}
		if l := e.links[v.Name]; t != nil && l != nil && l.usable(t) {
			return target{link: l}
		}
	}
	return target{}
}

// tendAll keeps the connections to collectors open. Links to VMs that are no longer
// registered are forgotten. The caller holds the lock.
func (e *Exchanger) tendAll(t Transport, now time.Time) {
	kept := map[string]*link{}
	e.tendFirst(kept, e.roles.own, openLinks, e.spread, t, now)
	if e.collecting.active(now) {
		for _, list := range e.roles.others {
			e.tendFirst(kept, list, 1, sumSpread, t, now)
		}
	}
	for name, l := range e.links {
		if kept[name] == nil && now.Sub(l.usedAt) > keepOpenAfter {
			delete(e.links, name)
		}
	}
}

// tendFirst tends the first links of a list of which as many as wanted are hopeful, up
// to this VM itself, and adds them to kept. The caller holds the lock.
func (e *Exchanger) tendFirst(kept map[string]*link, list []home.VM, wanted int, spread time.Duration, t Transport, now time.Time) {
	for _, v := range list {
		if v.Name == e.name || wanted == 0 {
			return
		}
		l := e.linkTo(v, spread, now)
		kept[v.Name] = l
		e.tend(l, t, now)
		if l.hopeful() {
			wanted--
		}
	}
}
