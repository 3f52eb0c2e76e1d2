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
	heartbeat = 1200 * time.Millisecond
	// silence is how long the store keeps the entry of a runner that is silent.
	silence = 3 * heartbeat
)

// fatal says when a request crashes the runner that runs it.
type fatal int

const (
	harmless   fatal = iota
	atBegin          // when it begins to run, with its first token, of which nothing is sent
	afterBegun       // when the first event of the answer has been written
)

// runnerSettings are the properties of a model runner.
type runnerSettings struct {
	service    string
	slots      int           // requests that run at once
	queue      int           // further requests that wait
	prefill    time.Duration // from the beginning to the first event
	events     int
	pause      time.Duration // after each event
	retryAfter string        // in the 503 of a full runner; empty for none
	downtime   time.Duration // of a crash
	fatal      func(r *http.Request, body string) fatal
}

// runner is a stand-in for a model runner. Each start is a new incarnation.
type runner struct {
	runnerSettings
	name    string
	address string
	store   *store
	record  *record
	mu      sync.Mutex
	life    int
	born    int64
	up      bool
	server  *http.Server
	stopped chan struct{} // of this life
	running int
	free    chan struct{}
	taken   int // requests that run or wait
}

func newRunner(name, ip string, s runnerSettings, st *store, rec *record) (*runner, error) {
	r := &runner{runnerSettings: s, name: name, address: ip + ":0", store: st, record: rec}
	return r, r.start()
}

// id returns the InstanceId of the present incarnation. The caller holds the lock.
func (r *runner) id() string { return fmt.Sprintf("%s-%d", r.name, r.life) }

// start begins a new incarnation and registers it.
func (r *runner) start() error {
	l, err := net.Listen("tcp4", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.address = l.Addr().String()
	r.life++
	r.born, r.up, r.taken = time.Now().UnixMilli(), true, 0
	r.free, r.stopped = make(chan struct{}, r.slots), make(chan struct{})
	for range r.slots {
		r.free <- struct{}{}
	}
	life := r.life
	server := &http.Server{
		Handler:     http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.serve(w, q, life) }),
		IdleTimeout: 20 * time.Second,
	}
	r.server = server
	id, stopped := r.id(), r.stopped
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go r.beat(id, stopped)
	r.record.line("runner %s starts at %s", id, r.address)
	return nil
}

// beat registers an incarnation until it ends, and lets its entry lapse then.
func (r *runner) beat(id string, stopped chan struct{}) {
	for sequence := 1; ; sequence++ {
		r.store.put("servers", id, map[string]any{
			"Service": r.service, "Address": r.address, "Zone": "lodz-a", "Version": "v1", "Slots": r.slots, "State": "ready",
			"ColdRemainingMs": 0, "Stage": "both", "Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []any{}}}, "Sequence": sequence, "born": r.born,
		})
		select {
		case <-time.After(heartbeat):
		case <-stopped:
			time.Sleep(silence)
			r.store.remove("servers", id)
			return
		}
	}
}

// crash ends the process of an incarnation: its port refuses connections, and its open
// ones end. It starts again after the downtime.
func (r *runner) crash(life int, by string) {
	r.mu.Lock()
	if !r.up || r.life != life {
		r.mu.Unlock()
		return
	}
	r.up = false
	id, server := r.id(), r.server
	close(r.stopped)
	r.mu.Unlock()
	r.record.crash(id, by)
	_ = server.Close()
	go func() {
		time.Sleep(r.downtime)
		if err := r.start(); err != nil {
			r.record.line("runner %s does not start: %v", r.name, err)
		}
	}()
}

// admit takes a place for a request. It returns false if the runner is full.
func (r *runner) admit() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.taken >= r.slots+r.queue {
		return false
	}
	r.taken++
	return true
}

func (r *runner) leave(life int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life == life {
		r.taken--
	}
}

func (r *runner) serve(w http.ResponseWriter, q *http.Request, life int) {
	attempt := q.Header.Get("X-Attempt-Id")
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	id, free, stopped, current := r.id(), r.free, r.stopped, r.life == life && r.up
	r.mu.Unlock()
	if !current {
		panic(http.ErrAbortHandler)
	}
	kind := r.fatal(q, string(body))
	w.Header().Set("X-Attempt-Id", attempt)
	w.Header().Set("X-Instance-Id", id)
	if q.Header.Get("X-Expect-Instance") != id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !r.admit() {
		w.Header().Set("X-Not-Executed", "1")
		if r.retryAfter != "" {
			w.Header().Set("Retry-After", r.retryAfter)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		r.record.line("runner %s is full: 503 for %s", id, attempt)
		return
	}
	defer r.leave(life)
	r.record.taken(attempt, id, kind != harmless)
	ctx, cancel := context.WithCancel(q.Context())
	defer cancel()
	if ms, err := strconv.Atoi(q.Header.Get("X-Deadline-Ms")); err == nil {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	select {
	case <-free:
		defer func() { free <- struct{}{} }()
	case <-ctx.Done():
		return
	case <-stopped:
		panic(http.ErrAbortHandler)
	}
	if !sleep(ctx, stopped, r.prefill) {
		panic(http.ErrAbortHandler)
	}
	r.record.run(attempt, id)
	if kind == atBegin {
		r.crash(life, attempt)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Seal", id)
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	for n := 1; n <= r.events; n++ {
		_, _ = io.WriteString(w, event(attempt, n))
		_ = control.Flush()
		if kind == afterBegun {
			time.Sleep(crashDelay)
			r.crash(life, attempt)
			panic(http.ErrAbortHandler)
		}
		if !sleep(ctx, stopped, r.pause) {
			panic(http.ErrAbortHandler)
		}
	}
}

// crashDelay is the time from the first event of an answer to the crash.
const crashDelay = 5 * time.Millisecond

// event returns one event of the answer to a request.
func event(attempt string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, attempt, n)
}

// complete returns the whole answer to a request.
func complete(attempt string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(event(attempt, n))
	}
	return b.String()
}

// sleep waits, and returns false if the request or the runner ends before.
func sleep(ctx context.Context, stopped <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
	case <-stopped:
	}
	return false
}
