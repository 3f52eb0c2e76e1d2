// Package retrybudget bounds the sends beyond the first of each request to a
// service: a share of what the VM saw itself, and its part of an allowance
// that all VMs share.
package retrybudget

import "time"

// safety is the part of the bound that is used, as windows of different VMs
// and of the judge do not align.
const safety = 0.8

// slots is the number of parts that a window is counted in.
const slots = 10

// Bound is the fleet's bound for each service.
type Bound struct {
	Ratio  float64 // sends beyond the first, for each request
	Extra  float64 // sends beyond that, for the whole fleet
	Window time.Duration
}

// Budget counts requests and repeats by service.
type Budget struct {
	bound    Bound
	services map[string]*window
}

type window struct {
	at       int64 // number of the newest slot
	requests [slots]float64
	repeats  [slots]float64
}

// New returns an empty budget.
func New(b Bound) *Budget { return &Budget{bound: b, services: map[string]*window{}} }

// SetBound changes the bound. A new window forgets what was counted.
func (b *Budget) SetBound(to Bound) {
	if to.Window != b.bound.Window {
		b.services = map[string]*window{}
	}
	b.bound = to
}

// Request counts a client's request for a service.
func (b *Budget) Request(service string, now time.Time) {
	w := b.window(service, now)
	w.requests[w.at%slots]++
}

// Take counts one more send if the budget allows it. vms is the number of VMs
// that share the allowance, counted high when unsure.
func (b *Budget) Take(service string, vms int, now time.Time) bool {
	w := b.window(service, now)
	allowed := safety * (b.bound.Ratio*sum(w.requests) + b.bound.Extra/float64(max(vms, 1)))
	if sum(w.repeats)+1 > allowed {
		return false
	}
	w.repeats[w.at%slots]++
	return true
}

func (b *Budget) window(service string, now time.Time) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	w.advance(now.UnixNano() / int64(b.bound.Window/slots))
	return w
}

// advance empties the slots that have left the window.
func (w *window) advance(at int64) {
	if at-w.at > slots {
		w.at = at - slots
	}
	for w.at < at {
		w.at++
		w.requests[w.at%slots] = 0
		w.repeats[w.at%slots] = 0
	}
}

func sum(values [slots]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
