package endpointload

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hawthornspar/core/home"
)

// CollectorsOf returns the VMs of a failure domain that may be its collector, in
// the order in which they are asked: the largest link first, and among equal
// links by rendezvous hashing. VMs whose domain or link is unknown are no
// collectors.
func CollectorsOf(domain string, vms []home.VM) []home.VM {
	var list []home.VM
	for _, v := range vms {
		if domain != "" && v.Domain == domain && v.LinkBytesPerSecond > 0 {
			list = append(list, v)
		}
	}
	weight := func(v home.VM) uint64 { return xxhash.Sum64String("collector/" + domain + "/" + v.Name) }
	slices.SortFunc(list, func(a, b home.VM) int {
		return cmp.Or(cmp.Compare(b.LinkBytesPerSecond, a.LinkBytesPerSecond), cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Name, b.Name))
	})
	return list
}
