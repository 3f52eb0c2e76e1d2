package main

import (
	"time"
)

// Times of the case.
const (
	lethalCopyAge  = 4 * time.Second
	lethalAway     = time.Second
	stableWindow   = 3 * time.Second
	lethalDown     = 2 * time.Second // until a crashed runner is back
	lethalPeriod   = 3500 * time.Millisecond
	lethalAttempts = 16
	allowedRetries = 3
)

// playLethal sends a request that crashes each runner that begins to run it, three times in
// two seconds and then every three and a half seconds, at changing machines. A moment after the third
// crash the store comes back from an older copy.
func playLethal(w *world) int {
	w.configure(configuration{version: 2, prepaid: 1 << 40})
	body := "the request that crashes runners"
	for _, n := range w.apps {
		n.lethal, n.down, n.workTime = body, lethalDown, 60*time.Millisecond
	}
	var machines []*vm
	for i := range 8 {
		machines = append(machines, w.fleet.add("edge-a-"+itoa(i+1), itoa(i+1)))
	}
	orders, streams := &load{rec: w.rec}, &load{rec: w.rec}
	for _, v := range machines {
		v.awaitReady(10 * time.Second)
		orders.run(v, 100*time.Millisecond, func() request {
			return request{id: newID(), path: orderPath, key: apiKey, deadline: time.Second}
		})
		streams.run(v, 250*time.Millisecond, func() request {
			return request{id: newID(), path: streamPath, key: apiKey, prompt: promptTokens, output: outputTokens, deadline: 12 * time.Second}
		})
	}
	time.Sleep(6 * time.Second)
	crashes := func() int {
		total := 0
		for _, n := range w.apps {
			n.mu.Lock()
			total += n.crashes
			n.mu.Unlock()
		}
		return total
	}
	var third, stable time.Time // of the third crash; from when the store counts as stable
	retries := 0
	for i := range lethalAttempts {
		sent, before := time.Now(), crashes()
		send(w.rec, machines[i%len(machines)], request{id: newID(), path: orderPath, key: apiKey, deadline: time.Second, body: body})
		reached := crashes() > before
		switch {
		case third.IsZero() && crashes() >= 3:
			third = time.Now()
			w.rec.note("third crash")
			time.Sleep(time.Second)
			if w.trouble {
				w.store.drill(lethalCopyAge, lethalAway, false)
			} else {
				time.Sleep(lethalAway)
			}
			stable = time.Now().Add(stableWindow)
		case third.IsZero():
			time.Sleep(time.Second)
			continue
		case reached && sent.After(third.Add(stableWindow)) && sent.After(stable):
			retries++
			w.rec.note("retry %d reached a runner, %.1f s after the third crash", retries, sent.Sub(third).Seconds())
		}
		time.Sleep(lethalPeriod)
	}
	lost := 0
	for _, a := range orders.stop() {
		if a.status != 200 && a.sent.After(stable) && a.status != 503 {
			lost++
		}
	}
	streams.stop()
	w.rec.say("crashes: %d; retries that reached runners by machines in touch, later than %v after the third crash: %d; sound orders that ended without an answer of their runner meanwhile: %d", crashes(), stableWindow, retries, lost)
	if retries > allowedRetries {
		w.rec.say("BUDGET broken: a request that crashes runners reached them in more than %d retries", allowedRetries)
		return broken
	}
	w.rec.say("BUDGET held")
	return held
}
