package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// The deployment and the disruption of earlyHeads.
const (
	deskRunners  = 7
	deskWork     = 300 * time.Millisecond
	slowTimes    = 4 // how many times as long a slow runner works
	deskTimeout  = time.Second
	keptClients  = 12
	keptRequests = 25
	allowedCuts  = 3
)

// keptClient is a client that sends its orders over one connection as long as the machine keeps it open.
type keptClient struct {
	machine   *machine
	record    *record
	transport *http.Transport
}

// send sends an order over the client's connection. It reports whether that was a kept one, and was closed
// without any byte of an answer.
func (k *keptClient) send(id string) (status int, kept, closed bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { kept = i.Reused }})
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+k.machine.listen+"/order/x", bytes.NewReader([]byte("crate")))
	must(err)
	r.GetBody = nil // so that net/http does not send it again
	r.Host = host
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Api-Key", key)
	r.Header.Set("X-Deadline-Ms", "5000")
	began := time.Now()
	response, err := k.transport.RoundTrip(r)
	if err != nil {
		closed = !errors.Is(err, context.DeadlineExceeded)
		k.record.line("%s: kept %v, no answer after %d ms: %v", id, kept, time.Since(began).Milliseconds(), err)
		return 0, kept, closed
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	k.record.line("%s: kept %v, status %d after %d ms, whole %v", id, kept, response.StatusCode, time.Since(began).Milliseconds(), err == nil)
	return response.StatusCode, kept, false
}

// earlyHeads plays orders over kept connections while one of seven runners is slow. Runners send the head of an
// answer as they begin to work, and its body when it is ready. The rule is that at most three kept connections are
// closed without an answer to a request that a sound runner got.
func earlyHeads(rec *record, trouble bool) bool {
	s := newStore()
	configure(s, 3, 0, []map[string]any{route("order", "/order/", "non_idempotent", "huno90b", deskTimeout, 1, nil)}, []map[string]any{desk()})
	var desks []*runner
	for i := range deskRunners {
		work := deskWork
		if trouble && i == 0 {
			work *= slowTimes
		}
		desks = append(desks, newRunner(fmt.Sprintf("d%d", i), "huno90b", "kandy", 6, s, rec, func(_ *runner, k *call) {
			a := k.request.Header.Get("X-Attempt-Id")
			fmt.Fprintf(k.conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: %s.%s\r\nContent-Length: 6\r\n\r\n", a, k.id, a)
			time.Sleep(work)
			fmt.Fprint(k.conn, "booked")
		}))
	}
	m := newMachine("edge-kandy-1", "kandy", s.address, nil, 284)
	m.start()
	m.awaitReady()
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent, cuts := 0, 0
	for c := range keptClients {
		wg.Go(func() {
			k := &keptClient{machine: m, record: rec, transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
			for i := range keptRequests {
				id := fmt.Sprintf("order%d-%d", c, i)
				_, kept, closed := k.send(id)
				ran := 0
				for _, r := range desks {
					ran += r.runs(id)
				}
				mu.Lock()
				sent++
				if kept && closed && ran > 0 {
					cuts++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	rec.say("%d orders; kept connections that were closed without an answer to an order that ran: %d (allowed: %d)", sent, cuts, allowedCuts)
	return cuts <= allowedCuts
}
