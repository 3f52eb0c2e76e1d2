package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// runner is a stand-in for a sound runner.
type runner struct {
	id, service, address string
	eventPause           time.Duration
	workTime             time.Duration
	record               *recorder
	store                *store
	born                 int64
	sequence             int

	mu       sync.Mutex
	state    string
	silent   bool // it has crashed or leaves, and writes no entry
	runs     map[string]int
	listener net.Listener
	conns    map[net.Conn]bool

	incarnation, crashes int
	lethal               string // the body of the requests that crash it; empty for none
	down                 time.Duration
}

func newRunner(s *store, id, service, address string) *runner {
	n := &runner{id: id, service: service, address: address, record: s.record, store: s, state: "ready", runs: map[string]int{}, born: time.Now().UnixMilli(), eventPause: 10 * time.Millisecond, workTime: 15 * time.Millisecond}
	n.listen()
	n.beat()
	go n.beatLoop()
	return n
}

// listen opens the runner's address.
func (n *runner) listen() {
	l, err := net.Listen("tcp4", n.address)
	if err != nil {
		cannotRun("runner: " + err.Error())
	}
	conns := map[net.Conn]bool{}
	server := &http.Server{Handler: n, ConnState: func(c net.Conn, state http.ConnState) {
		n.mu.Lock()
		defer n.mu.Unlock()
		if state == http.StateNew {
			conns[c] = true
		} else if state == http.StateClosed {
			delete(conns, c)
		}
	}}
	n.mu.Lock()
	n.listener, n.conns = l, conns
	n.mu.Unlock()
	go server.Serve(l)
}

// crash ends the runner at once, with all that it runs. It is back after some seconds, with
// a new id, and its old entry is removed after three heartbeats of silence.
func (n *runner) crash(down time.Duration) {
	n.mu.Lock()
	if n.silent {
		n.mu.Unlock()
		return
	}
	old := n.id
	n.crashes++
	n.silent = true
	n.closeAll()
	n.mu.Unlock()
	go func() {
		time.Sleep(down)
		n.mu.Lock()
		n.incarnation++
		n.id = fmt.Sprintf("%s-%d", strings.SplitN(old, "-x", 2)[0]+"-x", n.incarnation)
		n.born, n.sequence, n.silent = time.Now().UnixMilli(), 0, false
		n.mu.Unlock()
		n.listen()
		n.record.note("runner %s is back as %s", old, n.id)
		for !n.beat() {
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(max(3*heartbeat-down, 0))
		for !n.store.remove("servers", old) {
			time.Sleep(100 * time.Millisecond)
		}
	}()
}

// beat writes the runner's entry.
func (n *runner) beat() bool {
	n.mu.Lock()
	n.sequence++
	state, sequence, silent, id, born := n.state, n.sequence, n.silent, n.id, n.born
	n.mu.Unlock()
	if silent {
		return true
	}
	return n.store.write("servers", id, map[string]any{
		"Service": n.service, "Address": n.address, "Zone": "zone-a", "Version": "v1", "Slots": 32, "State": state, "ColdRemainingMs": 0, "Sequence": sequence, "born": born,
	})
}

func (n *runner) beatLoop() {
	for {
		time.Sleep(heartbeat)
		for !n.beat() {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// leave removes the runner's entry without a report that it drains, and returns when the store
// has accepted that. The runner goes on serving until exit.
func (n *runner) leave() time.Time {
	n.mu.Lock()
	n.silent = true
	n.mu.Unlock()
	for !n.store.remove("servers", n.currentID()) {
		time.Sleep(100 * time.Millisecond)
	}
	return time.Now()
}

// exit ends the runner at once, with all that it runs.
func (n *runner) exit() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closeAll()
}

// closeAll closes the address and resets all connections. The caller holds the lock.
func (n *runner) closeAll() {
	n.listener.Close()
	for c := range n.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
}

// runsOf returns how often a request has run here.
func (n *runner) runsOf(id string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.runs[id]
}

// currentID returns the id of the current incarnation.
func (n *runner) currentID() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.id
}

// ServeHTTP implements http.Handler.
func (n *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	own := n.currentID()
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", own)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := w.Header()
	h.Set("X-Attempt-Id", id)
	if e := r.Header.Get("X-Expect-Instance"); e != "" && e != own {
		h.Set("X-Instance-Id", own)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n.mu.Lock()
	n.runs[id]++
	n.mu.Unlock()
	n.record.note("run id=%s runner=%s service=%s path=%s tenant=%s tokens=%s", id, own, n.service, r.URL.Path, r.Header.Get("X-Tenant"), r.Header.Get("X-Token-Counts"))
	if n.lethal != "" && string(body) == n.lethal {
		n.record.note("runner %s crashes by id=%s", own, id)
		n.crash(n.down)
		panic(http.ErrAbortHandler)
	}
	h.Set("X-Response-Seal", "seal."+own+"."+id)
	if tokens := r.Header.Get("X-Token-Counts"); tokens != "" {
		n.stream(w, r, tokens)
		return
	}
	time.Sleep(n.workTime)
	fmt.Fprintf(w, "answer of %s to %s", own, id)
}

// stream writes as many events as the request allows at most.
func (n *runner) stream(w http.ResponseWriter, r *http.Request, tokens string) {
	_, output, _ := strings.Cut(tokens, ",")
	most, _ := strconv.Atoi(output)
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(n.workTime)
	for i := first + 1; i <= most/tokensPerEvent; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, r.Header.Get("X-Attempt-Id")); err != nil {
			return
		}
		http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(n.eventPause):
		}
	}
}
