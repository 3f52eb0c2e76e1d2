package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// heartbeat is the time between two writes of a runner's entry.
const heartbeat = 1200 * time.Millisecond

// runner is a sound runner. Each of its starts is a new incarnation with a new id.
type runner struct {
	name, service, zone string
	address             string
	slots               int
	store               *store
	record              *record
	handle              func(*runner, *call) // runs a request
	mu                  sync.Mutex
	id                  string
	starts              int
	listener            net.Listener
	conns               map[net.Conn]bool
	stopBeats           chan struct{}
	up                  bool
	gate                chan struct{} // a place for each slot
	ran                 map[string]int
}

// call is one request that a runner runs.
type call struct {
	runner  *runner
	id      string
	request *http.Request
	body    []byte
	conn    net.Conn
	gone    chan struct{} // closed when the caller has closed the connection
}

func newRunner(name, service, zone string, slots int, s *store, rec *record, handle func(*runner, *call)) *runner {
	r := &runner{name: name, service: service, zone: zone, slots: slots, store: s, record: rec, handle: handle, address: freePort("tcp"), ran: map[string]int{}}
	r.start()
	return r
}

// start starts an incarnation and registers it.
func (r *runner) start() {
	l, err := net.Listen("tcp4", r.address)
	must(err)
	r.mu.Lock()
	r.starts++
	r.id = fmt.Sprintf("i-%s-%d", r.name, r.starts)
	r.listener, r.conns = l, map[net.Conn]bool{}
	r.gate, r.stopBeats = make(chan struct{}, r.slots), make(chan struct{})
	r.up = true
	id, gate, stop := r.id, r.gate, r.stopBeats
	r.mu.Unlock()
	go r.beat(id, time.Now().UnixMilli(), stop)
	go r.accept(l, id, gate)
}

// beat writes the entry of an incarnation until that ends.
func (r *runner) beat(id string, born int64, stop chan struct{}) {
	for n := 1; ; n++ {
		r.store.put("servers", id, map[string]any{
			"Service": r.service, "Address": r.address, "Zone": r.zone, "Version": "v1", "Slots": r.slots, "State": "ready",
			"ColdRemainingMs": 0, "Sequence": n, "born": born,
		})
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// crash ends an incarnation as the end of its process does: the port refuses, connections are reset. Its entry
// is removed after three intervals of silence. crash returns false if the incarnation has ended already.
func (r *runner) crash(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up || r.id != id {
		return false
	}
	r.up = false
	r.listener.Close()
	close(r.stopBeats)
	for c := range r.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	time.AfterFunc(3*heartbeat, func() { r.store.remove("servers", id) })
	return true
}

// current returns the id of the last incarnation.
func (r *runner) current() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id
}

func (r *runner) accept(l net.Listener, id string, gate chan struct{}) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.serve(c, id, gate)
	}
}

// serve serves the requests of a connection one after the other.
func (r *runner) serve(c net.Conn, id string, gate chan struct{}) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		attempt := request.Header.Get("X-Attempt-Id")
		if e := request.Header.Get("X-Expect-Instance"); e != "" && e != id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", attempt, id)
			continue
		}
		select {
		case gate <- struct{}{}:
		default:
			fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", attempt)
			continue
		}
		r.mu.Lock()
		r.ran[attempt]++
		r.mu.Unlock()
		r.record.line("%s runs %s %s", id, attempt, request.RequestURI)
		k := &call{runner: r, id: id, request: request, body: body, conn: c, gone: make(chan struct{})}
		r.handle(r, k)
		<-gate
	}
}

// runs returns how often a request ran at the runner.
func (r *runner) runs(attempt string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[attempt]
}

// answer sends a whole answer.
func (k *call) answer(text string) {
	a := k.request.Header.Get("X-Attempt-Id")
	fmt.Fprintf(k.conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: %s.%s\r\nContent-Length: %d\r\n\r\n%s", a, k.id, a, len(text), text)
}

// beginStream sends the head of a stream of events.
func (k *call) beginStream() {
	a := k.request.Header.Get("X-Attempt-Id")
	fmt.Fprintf(k.conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Response-Seal: %s.%s\r\nTransfer-Encoding: chunked\r\n\r\n", a, k.id, a)
}

// event sends one event, and reports whether the connection is still open.
func (k *call) event(n int) bool {
	text := fmt.Sprintf("id: %d\ndata: piece %d of %s %s\n\n", n, n, k.request.Header.Get("X-Attempt-Id"), strings.Repeat("x", 40))
	_, err := fmt.Fprintf(k.conn, "%x\r\n%s\r\n", len(text), text)
	return err == nil
}

func (k *call) endStream() { fmt.Fprint(k.conn, "0\r\n\r\n") }
