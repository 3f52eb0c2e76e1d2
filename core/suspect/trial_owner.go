package suspect

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"hawthornspar/core/entity"
	"hawthornspar/core/world"
)

// trialVM returns the VM that runs the trials of a request's fingerprint.
// Rendezvous hashing picks an endpoint that did not crash, and the VM is the
// owner of that endpoint. All VMs choose the same VM, so that trials of one
// fingerprint run one after another.
func trialVM(w *world.World, r *entity.Request, crashed []string) entity.VM {
	best, hash := "", uint64(0)
	for _, e := range w.Endpoints.Rows() {
		if !e.Spec.Serves(r.Service) || e.Spec.Draining || slices.Contains(crashed, e.Spec.Name) {
			continue
		}
		if h := xxhash.Sum64String(r.Fingerprint + "|" + e.Spec.Name); best == "" || h > hash {
			best, hash = e.Spec.Name, h
		}
	}
	if best == "" {
		return w.Self
	}
	return TrialOwner(w, best)
}

// TrialOwner returns the only VM that may run suspects on an endpoint, so that
// suspects from two VMs never run there at the same time.
func TrialOwner(w *world.World, endpoint string) entity.VM {
	best, hash := w.Self, xxhash.Sum64String(w.Self.Name+"|"+endpoint)
	for _, p := range w.AlivePeers() {
		if h := xxhash.Sum64String(p.Name + "|" + endpoint); h > hash && !p.ShuttingDown {
			best, hash = p.VM, h
		}
	}
	return best
}
