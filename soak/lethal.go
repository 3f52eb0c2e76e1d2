package soak

import (
	"context"
	"fmt"
	"strings"
	"time"

	"hawthornspar/platform/standin"
)

// Requests that crash endpoints.
const (
	// lethalBody begins the body of such a request.
	lethalBody = "lethal request "
	// lethalDowntime is how long an endpoint is down after a crash.
	lethalDowntime = 400 * time.Millisecond
	// lethalInterval is the time between the requests of one Lethal event, which last
	// lethalPeriod and the event's duration.
	lethalInterval = 150 * time.Millisecond
	lethalPeriod   = 6 * time.Second
	// maxRetriesAfterCrashes is how often a request may be sent again after it has
	// crashed maxCrashes endpoints.
	maxCrashes             = 3
	maxRetriesAfterCrashes = 3
)

// oddEntries are registry entries of other writers.
var oddEntries = []string{
	`{"Service":"apps","Address":"127.0.0.1:99999","Zone":"z","Slots":4,"State":"ready"}`,
	`{"Service":"apps","Address":"127.0.0.1:1","Zone":"z","Slots":1e999,"State":"ready"}`,
	strings.Repeat(`{"Service":`, 5_000) + "1" + strings.Repeat("}", 5_000),
}

// sendLethal sends one lethal request again and again, to one VM after the other.
func (j *injector) sendLethal() {
	h, e := j.harness, j.event
	end := time.Now().Add(lethalPeriod + e.Duration)
	h.mu.Lock()
	h.history.EndpointFaults = append(h.history.EndpointFaults, Interval{time.Now(), end.Add(registrationExpiry)})
	h.mu.Unlock()
	target := standin.OrderPrefix
	if e.Target%2 == 1 {
		target = standin.LookPrefix
	}
	for i := 0; time.Now().Before(end); i++ {
		v := h.vms[(e.Target+i)%len(h.vms)]
		q := Request{ID: fmt.Sprintf("l%d-%d", e.Target, i), VM: v.name, Target: target, Account: h.accounts()[0].Name, Body: fmt.Sprint(lethalBody, e.Target)}
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		c := &caller{harness: h, vm: v, client: standin.NewClient(v.listen)}
		c.exchange(ctx, &q)
		cancel()
		h.record(q)
		time.Sleep(lethalInterval)
	}
}

// restarted registers an endpoint that has started again after a crash. One that was
// draining goes on draining.
func (h *Harness) restarted(s *standin.Endpoint) {
	for _, e := range h.endpoints {
		if e.standIn != s {
			continue
		}
		h.mu.Lock()
		draining := e.draining
		h.mu.Unlock()
		if err := h.register(e, draining); err != nil {
			fmt.Fprintln(h.options.Out, err)
		}
	}
}

// excessCrashes finds requests that undisturbed VMs sent too often after they had
// crashed maxCrashes endpoints.
func excessCrashes(x *index) (found []Violation) {
	runs := map[string][]standin.Run{} // by body, the earliest first
	for _, r := range x.Runs {
		if strings.HasPrefix(r.Body, lethalBody) {
			runs[r.Body] = append(runs[r.Body], r)
		}
	}
	for body, list := range runs {
		sortByStart(list)
		retries := 0
		for _, r := range list[min(maxCrashes, len(list)):] {
			q, third := x.requests[r.ID], list[maxCrashes-1].Started
			if r.Started.Sub(third) > settleTime && q != nil && x.undisturbed(q.VM, Interval{third, r.Started}) {
				retries++
			}
		}
		if retries > maxRetriesAfterCrashes {
			found = append(found, newViolation("crashes", "%q was sent %d times after its third crash, %d in all", body, retries, len(list)))
		}
	}
	return found
}
