// Package home assigns the client accounts to the VMs that keep their budgets.
// Accounts fall into groups; a few VMs are the homes of each group. Only they
// draw from the store, the other VMs borrow from them, so that neither the
// writes nor the conflicts in the store grow with the number of VMs.
package home

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Count is the number of homes of each group, so that the loss of any few
	// leaves most of a budget within reach.
	Count = 8
	// life is how long a VM counts as running after its last registration. It
	// covers several periods of registration and a long cut of the VM from the
	// store.
	life = 30 * time.Second
)

// VM is a VM as it registered itself.
type VM struct {
	Name        string  `json:"name"`
	Incarnation string  `json:"incarnation"`
	Address     string  `json:"address"` // IP:port for other VMs
	StoreMs     int64   `json:"storeMs"` // the store's clock at the registration, or earlier
	Rate        float64 `json:"rate"`    // requests of clients a second
}

// Living returns the VMs that registered lately. Ages are counted from the
// newest registration, so that an outage of the store lets nobody expire.
func Living(all []VM) []VM {
	newest := int64(0)
	for _, v := range all {
		newest = max(newest, v.StoreMs)
	}
	var living []VM
	for _, v := range all {
		if newest-v.StoreMs <= life.Milliseconds() {
			living = append(living, v)
		}
	}
	return living
}

// Group returns the group of an account, from 0 to groups-1.
func Group(account string, groups int) int {
	return int(xxhash.Sum64String(account) % uint64(groups))
}

// Of returns a group's homes among the running VMs, by rendezvous hashing.
func Of(group int, vms []VM) []VM {
	ranked := rank(vms, "group/"+strconv.Itoa(group)+"/")
	return ranked[:min(Count, len(ranked))]
}

// OrderFor returns homes in the order in which a VM asks them. VMs differ in
// it, so that the homes of a group share the load.
func OrderFor(vm string, homes []VM) []VM { return rank(homes, "from/"+vm+"/") }

func rank(vms []VM, salt string) []VM {
	ranked := slices.Clone(vms)
	slices.SortFunc(ranked, func(a, b VM) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(salt+b.Name), xxhash.Sum64String(salt+a.Name)), cmp.Compare(a.Name, b.Name))
	})
	return ranked
}
