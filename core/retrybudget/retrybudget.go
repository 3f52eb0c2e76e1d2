// Package retrybudget limits the retries of requests to each service in a sliding
// window. A VM may send retries up to a ratio of the requests that it received
// itself, plus its part of an allowance that all VMs share.
package retrybudget

import "time"

// safetyFactor is the part of the limit that is used, as the windows of
// different VMs align neither with each other nor with the window in which the
// fleet's retries are measured.
const safetyFactor = 0.8

// windowSlots is the number of slots into which a window is divided.
const windowSlots = 10

// Limit is the fleet's limit on the retries to each service in one window.
type Limit struct {
	Ratio  float64 // retries for each request
	Extra  float64 // additional retries of the whole fleet
	Window time.Duration
}

// Budget counts requests and retries by service. It is not safe for concurrent
// use.
type Budget struct {
	limit    Limit
	services map[string]*window
}

// window counts the requests and retries of one service in a ring of slots.
type window struct {
	slot     int64 // number of the newest slot since the Unix epoch
	requests [windowSlots]float64
	retries  [windowSlots]float64
}

// New returns a budget without requests and retries.
func New(limit Limit) *Budget { return &Budget{limit: limit, services: map[string]*window{}} }

// SetLimit changes the limit. All counts are discarded when the duration of the
// window changes.
func (b *Budget) SetLimit(to Limit) {
	if to.Window != b.limit.Window {
		b.services = map[string]*window{}
	}
	b.limit = to
}

// CountRequest counts a client's request for a service.
func (b *Budget) CountRequest(service string, now time.Time) {
	w := b.window(service, now)
	w.requests[w.slot%windowSlots]++
}

// TakeRetry counts a retry if the budget allows it, and reports whether it
// does. vms is the number of VMs that share the allowance. An uncertain number
// must be rounded up, so that the VMs together stay within the limit.
func (b *Budget) TakeRetry(service string, vms int, now time.Time) bool {
	w := b.window(service, now)
	allowed := safetyFactor * (b.limit.Ratio*sum(w.requests) + b.limit.Extra/float64(max(vms, 1)))
	if sum(w.retries)+1 > allowed {
		return false
	}
	w.retries[w.slot%windowSlots]++
	return true
}

// window returns the window of a service, advanced to now.
func (b *Budget) window(service string, now time.Time) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	w.advance(now.UnixNano() / int64(b.limit.Window/windowSlots))
	return w
}

// advance moves the window to a newer slot and clears the slots that it no longer
// covers.
func (w *window) advance(slot int64) {
	if slot-w.slot > windowSlots {
		w.slot = slot - windowSlots
	}
	for w.slot < slot {
		w.slot++
		w.requests[w.slot%windowSlots] = 0
		w.retries[w.slot%windowSlots] = 0
	}
}

func sum(values [windowSlots]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
