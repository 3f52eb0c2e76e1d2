// Package home assigns client accounts to the home VMs that keep their budgets.
// Accounts are hashed into groups, and a few VMs are the home VMs of each group.
// Only these draw tokens from the store; the other VMs borrow from them, so that
// neither the writes nor the conflicts in the store grow with the number of VMs.
package home

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// HomesPerGroup is the number of home VMs of each group. With this many,
	// most of a budget stays available when a few of them are lost.
	HomesPerGroup = 8
	// registrationTTL is how long a VM counts as alive after its last
	// registration. It covers several registration intervals and a long loss of
	// the VM's connection to the store.
	registrationTTL = 30 * time.Second
)

// VM is the registration of a VM.
type VM struct {
	Name        string  `json:"name"`
	Incarnation string  `json:"incarnation"`
	Address     string  `json:"address"` // IP:port for other VMs
	StoreMs     int64   `json:"storeMs"` // lower bound of the store's clock at the registration
	Rate        float64 `json:"rate"`    // client requests per second
	Domain      string  `json:"domain"`  // failure domain; empty if unknown
	// LinkBytesPerSecond is the speed of the VM's link; 0 if unknown.
	LinkBytesPerSecond int64 `json:"link"`
}

// Alive returns the VMs that are alive by their registrations. Their ages are
// relative to the newest registration, so that no VM expires merely because an
// outage of the store prevents registrations.
func Alive(all []VM) []VM {
	newest := int64(0)
	for _, v := range all {
		newest = max(newest, v.StoreMs)
	}
	var alive []VM
	for _, v := range all {
		if newest-v.StoreMs <= registrationTTL.Milliseconds() {
			alive = append(alive, v)
		}
	}
	return alive
}

// GroupOf returns the group of an account, from 0 to groups-1.
func GroupOf(account string, groups int) int {
	return int(xxhash.Sum64String(account) % uint64(groups))
}

// HomesOf returns the home VMs of a group among vms, by rendezvous hashing.
func HomesOf(group int, vms []VM) []VM {
	ordered := rendezvousOrder(vms, "group/"+strconv.Itoa(group)+"/")
	return ordered[:min(HomesPerGroup, len(ordered))]
}

// OrderFor returns homes in the order in which a VM sends them requests. The
// order differs between VMs, so that the home VMs of a group share the load.
func OrderFor(vm string, homes []VM) []VM { return rendezvousOrder(homes, "from/"+vm+"/") }

// First returns the first n of vms in the order that rendezvous hashing gives them for a
// key, or all if there are fewer.
func First(n int, key string, vms []VM) []VM {
	ordered := rendezvousOrder(vms, key+"/")
	return ordered[:min(n, len(ordered))]
}

// rendezvousOrder returns a copy of vms, sorted by the hash of salt and name,
// highest first.
func rendezvousOrder(vms []VM, salt string) []VM {
	ordered := slices.Clone(vms)
	slices.SortFunc(ordered, func(a, b VM) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(salt+b.Name), xxhash.Sum64String(salt+a.Name)), cmp.Compare(a.Name, b.Name))
	})
	return ordered
}
