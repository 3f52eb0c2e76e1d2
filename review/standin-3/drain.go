package main

import (
	"time"
)

// Times and counts of the case.
const (
	drainCopyAge  = 5 * time.Second
	drainAway     = 2 * time.Second
	drainsAfter   = 4 * time.Second // after the store is back, so that it is stable again
	drainNotice   = 2 * time.Second // DrainMs
	servesOn      = 9 * time.Second // after the store has accepted that the entry is removed
	drainMachines = 60
)

// playDrain brings the store back from an older copy. Once it is stable again, a runner
// leaves: its entry is removed, it goes on serving for some seconds and exits.
func playDrain(w *world) int {
	w.configure(configuration{version: 2, prepaid: 1 << 40})
	for _, n := range w.apps {
		n.workTime = 60 * time.Millisecond
	}
	var machines []*vm
	for i := range drainMachines {
		machines = append(machines, w.fleet.add("edge-a-"+itoa(i+1), itoa(i+1)))
	}
	orders, streams := &load{rec: w.rec}, &load{rec: w.rec}
	for _, v := range machines {
		v.awaitReady(20 * time.Second)
		orders.run(v, 600*time.Millisecond, func() request {
			return request{id: newID(), path: orderPath, key: apiKey, deadline: time.Second}
		})
		streams.run(v, 1500*time.Millisecond, func() request {
			return request{id: newID(), path: streamPath, key: apiKey, prompt: promptTokens, output: outputTokens, deadline: 12 * time.Second}
		})
	}
	time.Sleep(8 * time.Second)
	if w.trouble {
		w.store.drill(drainCopyAge, drainAway, true)
	} else {
		time.Sleep(drainAway)
	}
	time.Sleep(drainsAfter)
	leaving := w.apps[0]
	accepted := leaving.leave()
	w.rec.note("the store has accepted that the entry of runner %s is removed; it serves on", leaving.currentID())
	time.Sleep(servesOn)
	leaving.exit()
	exited := time.Now()
	w.rec.note("the runner has exited")
	time.Sleep(2 * time.Second)
	streams.stop()
	late, total, lost := map[string]int{}, 0, 0
	for _, a := range orders.stop() {
		if leaving.runsOf(a.id) == 0 || !a.sent.After(accepted.Add(drainNotice)) {
			continue
		}
		late[a.vm]++
		total++
		if a.status != 200 {
			lost++
			w.rec.note("order id=%s, sent by %s %.1f s after that, ran at the leaving runner and ended with status %d", a.id, a.vm, a.sent.Sub(accepted).Seconds(), a.status)
		}
	}
	for name, n := range late {
		w.rec.note("%s: %d orders reached the runner later than %v after its entry was removed", name, n, drainNotice)
	}
	w.rec.say("orders that reached the runner later than %v after its entry was removed, until it exited %.1f s after that: %d, from %d of %d machines; %d of them ended without the runner's answer", drainNotice, exited.Sub(accepted).Seconds(), total, len(late), len(machines), lost)
	if total > 0 {
		w.rec.say("DRAIN broken")
		return broken
	}
	w.rec.say("DRAIN held")
	return held
}
