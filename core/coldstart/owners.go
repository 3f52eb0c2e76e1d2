package coldstart

import (
	"time"

	"hawthornspar/core/home"
)

// silenceAfterStart is how long a VM sends nothing to cold endpoints after its own start,
// as it does not know what its predecessor of the same name sent in the last second.
const silenceAfterStart = time.Second

// VM is one VM's knowledge of the members of the fleet, by which it knows whether it is an
// owner. The zero value owns nothing.
type VM struct {
	Name      string
	StartedAt time.Time // of the process
	Members   []home.VM // nil while unknown
}

// Owns reports whether the VM is one of the owners of an endpoint.
func (v VM) Owns(endpoint string, owners int) bool {
	for _, o := range home.First(owners, "cold/"+endpoint, v.Members) {
		if o.Name == v.Name {
			return true
		}
	}
	return false
}

// Silence returns for how much longer the VM sends nothing to any cold endpoint.
func (v VM) Silence(now time.Time) time.Duration {
	return max(silenceAfterStart-now.Sub(v.StartedAt), 0)
}
