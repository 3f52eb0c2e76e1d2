package suspect

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"hawthornspar/core/entity"
	"hawthornspar/core/world"
)

// judge returns the VM that tries a fingerprint: the owner of the live
// endpoint that is nearest to it. All VMs find the same one, so that trials
// of one fingerprint follow each other.
func judge(w *world.World, r *entity.Request, dead []string) entity.VM {
	best, hash := "", uint64(0)
	for _, e := range w.Endpoints.Rows() {
		if !e.Spec.Serves(r.Service) || e.Spec.Leaving || slices.Contains(dead, e.Spec.Name) {
			continue
		}
		if h := xxhash.Sum64String(r.Fingerprint + "|" + e.Spec.Name); best == "" || h > hash {
			best, hash = e.Spec.Name, h
		}
	}
	if best == "" {
		return w.Self
	}
	return Owner(w, best)
}

// Owner returns the one VM that may run suspects on an endpoint, so that two
// VMs' suspects do not meet there.
func Owner(w *world.World, endpoint string) entity.VM {
	best, hash := w.Self, xxhash.Sum64String(w.Self.Name+"|"+endpoint)
	for _, p := range w.Heard() {
		if h := xxhash.Sum64String(p.Name + "|" + endpoint); h > hash && !p.Leaving {
			best, hash = p.VM, h
		}
	}
	return best
}
