package soak

import (
	"context"
	"fmt"
	"slices"
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
	// crashed maxCrashes endpoints, and requests with a part of a prompt after it has
	// crashed maxPartCrashes.
	maxCrashes             = 3
	maxPartCrashes         = 5
	maxRetriesAfterCrashes = 3
)

// oddEntries are registry entries of other writers.
var oddEntries = []string{
	`{"Service":"apps","Address":"127.0.0.1:99999","Zone":"z","Slots":4,"State":"ready"}`,
	`{"Service":"apps","Address":"127.0.0.1:1","Zone":"z","Slots":1e999,"State":"ready"}`,
	strings.Repeat(`{"Service":`, 5_000) + "1" + strings.Repeat("}", 5_000),
}

// lethalParts are the parts of prompts that crash endpoints.
var lethalParts = []string{"lethal-0", "lethal-1", "lethal-2"}

// sendLethal sends one lethal request again and again, to one VM after the other.
func (j *injector) sendLethal() {
	target := standin.OrderPrefix
	if j.event.Target%2 == 1 {
		target = standin.LookPrefix
	}
	j.sendRepeatedly("l", func(int) Request {
		return Request{Target: target, Account: j.harness.accounts()[0].Name, Body: fmt.Sprint(lethalBody, j.event.Target)}
	})
}

// sendLethalParts sends requests that share nothing but a lethal part, which stands
// anywhere in their prompts but last, to one VM after the other.
func (j *injector) sendLethalParts() {
	accounts, part := j.harness.accounts(), lethalParts[j.event.Target%len(lethalParts)]
	target := standin.StreamPrefix
	if j.event.Target%2 == 1 {
		target = standin.ResumePrefix
	}
	j.sendRepeatedly("p", func(i int) Request {
		account := accounts[i%len(accounts)].Name
		id := fmt.Sprintf("lethal-%d-%d", j.event.Target, i)
		parts := slices.Insert(soundParts(account, id, i%documents), i%3, part)
		return Request{Target: target, Account: account, Body: id, PromptTokens: 100, MaxOutputTokens: 25, Parts: parts}
	})
}

// sendRepeatedly sends requests to one VM after the other while the event lasts. The
// i-th has the content that next returns.
func (j *injector) sendRepeatedly(prefix string, next func(i int) Request) {
	h, e := j.harness, j.event
	end := time.Now().Add(lethalPeriod + e.Duration)
	h.mu.Lock()
	h.history.EndpointFaults = append(h.history.EndpointFaults, Interval{time.Now(), end.Add(registrationExpiry)})
	h.mu.Unlock()
	for i := 0; time.Now().Before(end); i++ {
		v := h.vms[(e.Target+i)%len(h.vms)]
		q := next(i)
		q.ID, q.VM = fmt.Sprintf("%s%d-%d", prefix, e.Target, i), v.name
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

// excessCrashes finds requests, and parts of prompts, that undisturbed VMs sent too often
// after they had crashed maxCrashes and maxPartCrashes endpoints.
func excessCrashes(x *index) (found []Violation) {
	requests, parts := map[string][]standin.Run{}, map[string][]standin.Run{} // by body, and by part
	for _, r := range x.Runs {
		if strings.HasPrefix(r.Body, lethalBody) {
			requests[r.Body] = append(requests[r.Body], r)
		}
		for _, part := range lethalParts {
			if strings.Contains(r.Header.Get("X-Prefix-Hash"), part+":") {
				parts[part] = append(parts[part], r)
			}
		}
	}
	return append(excessSends(x, requests, maxCrashes), excessSends(x, parts, maxPartCrashes)...)
}

// excessSends finds what undisturbed VMs sent too often after a number of crashes. runs
// are by what crashed the endpoints.
func excessSends(x *index, runs map[string][]standin.Run, crashes int) (found []Violation) {
	for name, list := range runs {
		sortByStart(list)
		retries := 0
		for _, r := range list[min(crashes, len(list)):] {
			q, last := x.requests[r.ID], list[crashes-1].Started
			if r.Started.Sub(last) > settleTime && q != nil && x.undisturbed(q.VM, Interval{last, r.Started}) {
				retries++
			}
		}
		if retries > maxRetriesAfterCrashes {
			found = append(found, newViolation("crashes", "%q was sent %d times after crash number %d, %d in all", name, retries, crashes, len(list)))
		}
	}
	return found
}
