package home

// equalPart is the part of a limit of the fleet that VMs share equally, so that
// one whose traffic begins has something; the rest goes by traffic.
const equalPart = 0.5

// Share returns a VM's part of a limit that all VMs keep together, such as the
// connections to one endpoint: half of it equally, half by the rate of requests.
// rate is the VM's own, rates those that the others registered. It is at least
// one.
func Share(limit, vms int, rate, rates float64) int {
	equal := 1 / float64(max(vms, 1))
	byRate := equal
	if rates > 0 {
		byRate = rate / (rate + rates)
	}
	return max(int(float64(limit)*(equalPart*equal+(1-equalPart)*byRate)), 1)
}

// Rates returns the sum of the rates that VMs other than the named one
// registered.
func Rates(vms []VM, except string) float64 {
	sum := 0.0
	for _, v := range vms {
		if v.Name != except {
			sum += v.Rate
		}
	}
	return sum
}
