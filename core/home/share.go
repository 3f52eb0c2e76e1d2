package home

// equalFraction is the fraction of a fleet-wide limit that is divided equally,
// so that a VM whose traffic is just starting has a share; the rest is divided
// by traffic.
const equalFraction = 0.5

// Share returns a VM's share of a limit that applies to all VMs together, such
// as the connections to one endpoint: one part divided equally, the rest by the
// rate of requests. otherRates is the sum of the rates that the other VMs
// registered. The share is at least one.
func Share(limit, vms int, ownRate, otherRates float64) int {
	equal := 1 / float64(max(vms, 1))
	byRate := equal
	if otherRates > 0 {
		byRate = ownRate / (ownRate + otherRates)
	}
	return max(int(float64(limit)*(equalFraction*equal+(1-equalFraction)*byRate)), 1)
}

// SumOtherRates returns the sum of the rates that VMs other than the named one
// registered.
func SumOtherRates(vms []VM, except string) float64 {
	sum := 0.0
	for _, v := range vms {
		if v.Name != except {
			sum += v.Rate
		}
	}
	return sum
}
