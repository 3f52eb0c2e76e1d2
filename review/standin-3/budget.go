package main

import (
	"net/http"
	"time"
)

// Times of the case.
const (
	copyAge       = 4 * time.Second
	drillAfter    = 6 * time.Second // after the traffic has begun
	drillAway     = time.Second
	newVMAfter    = 9 * time.Second
	budgetTraffic = 40 * time.Second
	prepaid       = 400_000
	promptTokens  = 600
	outputTokens  = 400
)

// playBudget spends a tenant's budget while the store comes back from an older copy, after
// which a machine is added. It sums up what was read for the tenant and delivered to it.
func playBudget(w *world) int {
	w.configure(configuration{version: 2, prepaid: prepaid})
	first, second := w.fleet.add("edge-a-1", "1"), w.fleet.add("edge-a-2", "2")
	first.awaitReady(10 * time.Second)
	second.awaitReady(10 * time.Second)
	time.Sleep(3 * time.Second)
	l := &load{rec: w.rec}
	next := func() request {
		return request{id: newID(), path: streamPath, key: apiKey, prompt: promptTokens, output: outputTokens, deadline: 12 * time.Second}
	}
	l.run(first, 100*time.Millisecond, next)
	l.run(second, 100*time.Millisecond, next)
	began := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	at(drillAfter)
	if w.trouble {
		w.store.drill(copyAge, drillAway, false)
	}
	at(newVMAfter)
	third := w.fleet.add("edge-a-3", "3")
	third.awaitReady(10 * time.Second)
	l.run(third, 100*time.Millisecond, next)
	for time.Since(began) < budgetTraffic {
		time.Sleep(2 * time.Second)
		w.rec.note("delivered so far: %d of %d tokens", delivered(l.all()), int64(prepaid))
	}
	answers := l.stop()
	total := delivered(answers)
	counts := map[int]int{}
	for _, a := range answers {
		counts[a.status]++
	}
	w.rec.say("answers by status: %v", counts)
	w.rec.say("prepaid %d tokens, consumed %d tokens (prompts of streams that began, and events that clients got)", int64(prepaid), total)
	if total > prepaid {
		w.rec.say("BUDGET broken: the tenant got %d tokens more than its Prepaid", total-prepaid)
		return broken
	}
	w.rec.say("BUDGET held")
	return held
}

// delivered returns the tokens of the requests of which clients got at least one event.
func delivered(answers []answer) int64 {
	total := int64(0)
	for _, a := range answers {
		if a.status == http.StatusOK && a.events > 0 {
			total += promptTokens + int64(a.events)*tokensPerEvent
		}
	}
	return total
}
