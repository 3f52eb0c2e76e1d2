package load

// crowdedFactor is how many times the load of the other VMs a VM must have for
// its clients to be better served there.
const crowdedFactor = 2

// VMLoad is the load of a VM and what it carries.
type VMLoad struct {
	Rate               float64 // client requests per second
	LinkBytesPerSecond float64 // capacity of the VM's link; 0 when unknown
}

// Crowded reports whether a VM has far more requests for its link than the other
// VMs together for theirs. The load balancer gives a client's connections to one
// VM, and a request that is refused there is sent again to another one.
func Crowded(own VMLoad, others []VMLoad) bool {
	var sum VMLoad
	for _, o := range others {
		if o.LinkBytesPerSecond > 0 {
			sum.Rate += o.Rate
			sum.LinkBytesPerSecond += o.LinkBytesPerSecond
		}
	}
	if own.LinkBytesPerSecond <= 0 || sum.LinkBytesPerSecond <= 0 {
		return false
	}
	return own.Rate/own.LinkBytesPerSecond > crowdedFactor*sum.Rate/sum.LinkBytesPerSecond
}
