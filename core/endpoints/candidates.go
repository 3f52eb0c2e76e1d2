package endpoints

import (
	"slices"
	"time"
)

// VMs that act on the same knowledge would all choose the same endpoint. Each
// therefore compares a random subset, also by a fresh summary, as the sums of
// other failure domains in it may be 200 ms old.
const (
	minCandidates = 4
	maxCandidates = 12
	// candidateAge is the age of knowledge at which the number of candidates,
	// which falls with it, would be zero.
	candidateAge = 500 * time.Millisecond
	// domainPart is the part of the candidates from the VM's own failure domain.
	domainPart = 0.5
)

// candidateCount returns how many endpoints are compared by knowledge of an age:
// fewer by older knowledge, on which more VMs have acted.
func candidateCount(age time.Duration) int {
	part := 1 - age.Seconds()/candidateAge.Seconds()
	return max(minCandidates, int(part*maxCandidates))
}

// sample returns n random endpoints of a list, among them a part from the VM's
// own failure domain, and the required ones that are not nil. It reorders the list.
func sample(list []*Endpoint, n int, domain string, random Random, required ...*Endpoint) []*Endpoint {
	if n >= len(list) {
		return list
	}
	near := 0 // the endpoints before this index are in the domain
	for i, e := range list {
		if e.Domain == domain {
			list[i], list[near] = list[near], list[i]
			near++
		}
	}
	fromDomain := min(int(domainPart*float64(n)), near)
	pick(list[:near], 0, fromDomain, random)
	pick(list, fromDomain, n, random)
	chosen := list[:n:n]
	for _, e := range required {
		if e != nil && !slices.Contains(chosen, e) {
			chosen = append(chosen, e)
		}
	}
	return chosen
}

// pick moves random elements to the indices from first to last-1, out of those
// from first on.
func pick(list []*Endpoint, first, last int, random Random) {
	for i := first; i < last; i++ {
		j := i + int(random.Float64()*float64(len(list)-i))
		list[i], list[j] = list[j], list[i]
	}
}
