package main

import (
	"fmt"
	"time"
)

// Times of the case.
const (
	staleCopyAge  = 4 * time.Second
	staleAway     = time.Second
	settled       = 10 * time.Second // ConfigApplyMs 2 s, MaxSkewMs 5 s and StableWindowMs 3 s
	staleWatch    = 12 * time.Second
	newApps       = "zeta41c"
	staleMachines = 4
)

// playStale brings the store back from an older copy. The operator, who waits for it, moves
// the routes of the orders to another service as soon as it is back. Long after that, it
// looks which service the machines use.
func playStale(w *world) int {
	for i := range 2 {
		newRunner(w.store, fmt.Sprintf("i-5b77e20%d", i), newApps, fmt.Sprintf("%s.%d:8080", w.fleet.network, 120+i))
	}
	w.configure(configuration{version: 2, prepaid: prepaid})
	var machines []*vm
	for i := range staleMachines {
		machines = append(machines, w.fleet.add(fmt.Sprintf("edge-a-%d", i+1), itoa(i+1)))
	}
	l := &load{rec: w.rec}
	next := func() request {
		return request{id: newID(), path: orderPath, key: apiKey, deadline: time.Second}
	}
	for _, v := range machines {
		v.awaitReady(10 * time.Second)
		l.run(v, 200*time.Millisecond, next)
	}
	time.Sleep(12 * time.Second)
	returned := make(chan bool)
	go func() {
		if w.trouble {
			w.store.drill(staleCopyAge, staleAway, false)
		} else {
			time.Sleep(staleAway)
		}
		close(returned)
	}()
	time.Sleep(staleAway / 2)
	if !w.trouble {
		<-returned
	}
	acknowledged := w.configure(configuration{version: 5, prepaid: prepaid, service: newApps})
	<-returned
	time.Sleep(settled + staleWatch)
	stale := map[string]int{}
	fresh := map[string]int{}
	for _, a := range l.stop() {
		if a.sent.Before(acknowledged.Add(settled)) {
			continue
		}
		old := 0
		for _, n := range w.apps {
			old += n.runsOf(a.id)
		}
		if old > 0 {
			stale[a.vm]++
		} else if a.status == 200 {
			fresh[a.vm]++
		}
	}
	for _, v := range machines {
		w.rec.say("%s: of the orders sent later than %v after the acknowledgement, %d ran at the old service, %d at the new one", v.name, settled, stale[v.name], fresh[v.name])
	}
	if len(stale) > 0 {
		w.rec.say("CONFIG broken: %d of %d machines handle orders by a version that was replaced", len(stale), len(machines))
		return broken
	}
	w.rec.say("CONFIG held")
	return held
}
