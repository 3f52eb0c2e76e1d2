package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	orderService = "wuno96b"
	orderPath    = "/puxa403/"
	orderWork    = 15 * time.Millisecond
	orderTimeout = 600 * time.Millisecond
	orderBytes   = 800
)

// desk is a stand-in for runners of the order service.
type desk struct {
	name, address string
	born          int64
	store         *store
	record        *record
	failEvery     int // each so many-th order that it runs gets a 503; 0 for none
	mu            sync.Mutex
	orders        int
	book          *book
}

// book keeps which orders ran.
type book struct {
	mu  sync.Mutex
	ran map[string]int // by the attempt's id
}

func (b *book) enter(attempt string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ran[attempt]++
}

func (b *book) runs(attempt string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ran[attempt]
}

func (d *desk) start(ip string) error {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return err
	}
	d.address, d.born = l.Addr().String(), time.Now().UnixMilli()
	go func() { _ = (&http.Server{Handler: d, IdleTimeout: 20 * time.Second}).Serve(l) }()
	go d.beat()
	return nil
}

func (d *desk) beat() {
	for sequence := 1; ; sequence++ {
		d.store.put("servers", d.name, map[string]any{
			"Service": orderService, "Address": d.address, "Zone": "lodz-a", "Version": "v1", "Slots": 6, "State": "ready",
			"ColdRemainingMs": 0, "Sequence": sequence, "born": d.born,
		})
		time.Sleep(heartbeat)
	}
}

func (d *desk) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	attempt := q.Header.Get("X-Attempt-Id")
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Attempt-Id", attempt)
	if q.Header.Get("X-Expect-Instance") != d.name {
		w.Header().Set("X-Instance-Id", d.name)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	d.book.enter(attempt)
	d.record.line("runner %s runs %s: %s", d.name, attempt, body)
	time.Sleep(orderWork)
	d.mu.Lock()
	d.orders++
	fails := d.failEvery > 0 && d.orders%d.failEvery == 0
	d.mu.Unlock()
	if fails {
		d.record.line("runner %s has run %s and answers 503 without X-Not-Executed", d.name, attempt)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("X-Response-Seal", d.name)
	_, _ = io.WriteString(w, strings.Repeat("x", orderBytes))
}

// bookOrder sends one order as the platform's clients do: after a promise that it has not
// run, the client sends it once more, as a new attempt.
func (c *caseRun) bookOrder(n int) []string {
	end := time.Now().Add(orderTimeout)
	var got []string
	for attempt := range 2 {
		id := fmt.Sprintf("o%05d-%d", n, attempt)
		v := c.vms[(n+attempt)%len(c.vms)]
		c.record.line("client sends order %d as %s to %s", n, id, v.name)
		status, retryAfter := sendOrder(v, id, fmt.Sprintf("order %d", n), time.Until(end))
		c.record.line("client gets %d for %s", status, id)
		got = append(got, fmt.Sprintf("%s %d", id, status))
		if !promise(status) || time.Until(end) < retryAfter {
			break
		}
		time.Sleep(retryAfter)
	}
	return got
}

// promise reports whether a status says that the request has not run and never will.
func promise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func sendOrder(v *vm, id, body string, timeout time.Duration) (status int, retryAfter time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.listen+orderPath+"2f", strings.NewReader(body))
	if err != nil {
		return 0, 0
	}
	r.GetBody = nil
	r.Host = host
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Api-Key", apiKey)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}).Do(r)
	if err != nil {
		return 0, 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, 0
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, time.Duration(seconds * float64(time.Second))
}

// playOrder: one of eight runners of the order service fails part of its requests with
// a 503 that does not say that the request has not run.
func playOrder(c *caseRun) (int, error) {
	config := configuration(2, 4)
	config["Routes"] = []any{map[string]any{
		"Name": "r-order", "Host": host, "Prefix": orderPath, "RouteType": "non_idempotent", "TimeoutMs": 600, "TargetLatencyMs": 100, "Priority": 2,
		"Service": orderService, "MaxAttempts": 1, "Anonymous": false, "SessionAffinity": false, "StreamResume": false,
	}}
	config["Services"] = []any{map[string]any{"Name": orderService, "HealthCheckPath": "/healthz", "MaxConnections": 110, "Protocol": "h1", "Tls": false}}
	if !c.store.put("op", "config", config) {
		return cannotRun, fmt.Errorf("no configuration")
	}
	b := &book{ran: map[string]int{}}
	for i := range 8 {
		d := &desk{name: fmt.Sprintf("i-desk-%d", i), store: c.store, record: c.record, book: b}
		if i == 0 && c.trouble {
			d.failEvery = 3
		}
		if err := d.start(loopback(100 + i)); err != nil {
			return cannotRun, err
		}
	}
	if err := c.startVMs(3); err != nil {
		return cannotRun, err
	}
	var mu sync.Mutex
	var sent sync.WaitGroup
	refusedAndRan, twice := 0, 0
	for n := range 600 {
		sent.Add(1)
		go func() {
			defer sent.Done()
			got := c.bookOrder(n)
			mu.Lock()
			defer mu.Unlock()
			ran := 0
			for _, g := range got {
				var id string
				var status int
				_, _ = fmt.Sscanf(g, "%s %d", &id, &status)
				ran += b.runs(id)
				if promise(status) && b.runs(id) > 0 {
					refusedAndRan++
				}
			}
			if ran > 1 {
				twice++
			}
		}()
		time.Sleep(25 * time.Millisecond)
	}
	sent.Wait()
	text := fmt.Sprintf("600 orders; %d were answered with a promise that they had not run, and had run; %d orders ran twice as the client trusted it", refusedAndRan, twice)
	c.record.line("%s", text)
	fmt.Println(text)
	if refusedAndRan > 0 {
		return broken, nil
	}
	return held, nil
}
