// Package link is a test double of a network link: it forwards TCP connections
// and UDP datagrams to a target, and injects faults into them.
package link

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hawthornspar/timer"
)

// Link forwards what arrives at its own address to a target.
type Link struct {
	target    string // IP:port
	clock     timer.Clock
	mu        sync.Mutex
	cut       bool
	denied    map[string]bool         // IP addresses of senders whose datagrams are dropped
	conns     map[net.Conn]bool       // open TCP connections, to clients and to the target
	upstreams map[string]*net.UDPConn // sockets connected to the target, by address of the sender
	bytes     int64                   // forwarded over TCP and UDP, both ways
	toTarget  directionFaults
	toClient  directionFaults
}

// directionFaults are the faults that are injected into one direction of all TCP
// connections.
type directionFaults struct {
	stalled chan struct{} // closed to release the writes that wait for it; nil if the direction is not stalled
	delay   time.Duration // of each write
}

// State is the link's state, as GET / shows it.
type State struct {
	Cut   bool  `json:"cut"`
	Bytes int64 `json:"bytes"` // forwarded over TCP and UDP, both ways
}

// New returns a link to target, an IP:port.
func New(target string) *Link {
	return &Link{target: target, clock: timer.SystemClock{}, denied: map[string]bool{}, conns: map[net.Conn]bool{}, upstreams: map[string]*net.UDPConn{}}
}

// ServeTCP forwards connections until the listener closes.
func (l *Link) ServeTCP(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		f := &tcpForwarder{link: l, client: conn}
		go f.run()
	}
}

// tcpForwarder forwards one TCP connection.
type tcpForwarder struct {
	link           *Link
	client, server net.Conn
}

func (f *tcpForwarder) run() {
	defer f.client.Close()
	if !f.link.addConn(f.client) {
		return
	}
	defer f.link.removeConn(f.client)
	server, err := net.Dial("tcp", f.link.target)
	if err != nil {
		return
	}
	f.server = server
	defer server.Close()
	if !f.link.addConn(server) {
		return
	}
	defer f.link.removeConn(server)
	toClient := &streamCopier{f.link, server, f.client, &f.link.toClient}
	go toClient.run()
	(&streamCopier{f.link, f.client, server, &f.link.toTarget}).run()
}

// streamCopier copies one direction of a TCP connection, and closes the
// connections to the client and to the target when that direction ends.
type streamCopier struct {
	link     *Link
	from, to net.Conn
	faults   *directionFaults
}

func (c *streamCopier) run() {
	_, err := io.Copy(faultWriter{c.to, c.link, c.faults}, c.from)
	if err != nil {
		resetOnClose(c.to) // a regular close would hide from the receiver that the stream is incomplete
	}
	c.to.Close()
	c.from.Close()
}

// resetOnClose makes the next Close of a TCP connection send a reset.
func resetOnClose(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
}

// faultWriter injects the faults of a direction into writes, and counts the
// written bytes.
type faultWriter struct {
	io.Writer
	link   *Link
	faults *directionFaults
}

func (w faultWriter) Write(p []byte) (int, error) {
	w.link.injectFaults(w.faults)
	n, err := w.Writer.Write(p)
	w.link.addBytes(n)
	return n, err
}

// injectFaults delays a write, and blocks it while its direction is stalled.
func (l *Link) injectFaults(faults *directionFaults) {
	l.mu.Lock()
	stalled, delay := faults.stalled, faults.delay
	l.mu.Unlock()
	if delay > 0 {
		ticks := l.clock.NewTicker(delay)
		<-ticks.C
		ticks.Stop()
	}
	if stalled != nil {
		<-stalled
	}
}

// SetStalled stalls either direction of all TCP connections without closing
// them, or releases the stalled bytes.
func (l *Link) SetStalled(toTarget, toClient bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.toTarget.setStalled(toTarget)
	l.toClient.setStalled(toClient)
}

// setStalled makes the writes of a direction wait, or releases them.
func (f *directionFaults) setStalled(stalled bool) {
	if stalled == (f.stalled != nil) {
		return
	}
	if stalled {
		f.stalled = make(chan struct{})
		return
	}
	close(f.stalled)
	f.stalled = nil
}

// SetDelay delays each TCP write, both ways. 0 ends the delay.
func (l *Link) SetDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.toTarget.delay, l.toClient.delay = delay, delay
}

// addConn records an open connection, so that cutting the link closes it. While
// the link is cut, it returns false and records nothing.
func (l *Link) addConn(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return false
	}
	l.conns[c] = true
	return true
}

func (l *Link) removeConn(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *Link) addBytes(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes += int64(n)
}

// dropsDatagrams reports whether datagrams from and to a sender are dropped.
func (l *Link) dropsDatagrams(sender *net.UDPAddr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut || l.denied[sender.IP.String()]
}

// SetSenderDenied drops the datagrams from and to the sender at ip, or forwards
// them again.
func (l *Link) SetSenderDenied(ip string, denied bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.denied[ip] = denied
}

// maxDatagramBytes is the largest value of the length field of UDP, so that a
// buffer of this size truncates no payload.
const maxDatagramBytes = 65_535

// ServeUDP forwards datagrams until the socket closes.
func (l *Link) ServeUDP(socket *net.UDPConn) error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := socket.ReadFromUDP(buffer)
		if err != nil {
			return err
		}
		if l.dropsDatagrams(from) {
			continue
		}
		if upstream := l.upstream(socket, from); upstream != nil {
			upstream.Write(buffer[:n])
			l.addBytes(n)
		}
	}
}

// upstream returns the socket that forwards the datagrams of one sender to the
// target. It opens the socket on first use, and returns nil if that fails.
func (l *Link) upstream(socket *net.UDPConn, from *net.UDPAddr) *net.UDPConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if upstream, ok := l.upstreams[from.String()]; ok {
		return upstream
	}
	target, err := net.ResolveUDPAddr("udp", l.target)
	if err != nil {
		return nil
	}
	upstream, err := net.DialUDP("udp", nil, target)
	if err != nil {
		return nil
	}
	l.upstreams[from.String()] = upstream
	f := &returnForwarder{link: l, socket: socket, upstream: upstream, to: from}
	go f.run()
	return upstream
}

// returnForwarder forwards the target's datagrams to one sender.
type returnForwarder struct {
	link             *Link
	socket, upstream *net.UDPConn
	to               *net.UDPAddr
}

func (f *returnForwarder) run() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := f.upstream.Read(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			ticks := f.link.clock.NewTicker(readRetryDelay)
			<-ticks.C
			ticks.Stop()
			continue
		}
		if !f.link.dropsDatagrams(f.to) {
			f.socket.WriteToUDP(buffer[:n], f.to)
			f.link.addBytes(n)
		}
	}
}

// readRetryDelay is the wait after a failed read, which is how a socket reports
// that the target refused a datagram.
const readRetryDelay = 10 * time.Millisecond

// SetCut cuts or heals the link. Cutting closes every TCP connection. While the
// link is cut, the link closes new connections at once and drops datagrams.
func (l *Link) SetCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if !cut {
		return
	}
	for c := range l.conns {
		c.Close()
	}
}

// Handler returns the admin handler: GET / shows the State, POST /cut and
// POST /heal cut and heal the link.
func (l *Link) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cut", func(http.ResponseWriter, *http.Request) { l.SetCut(true) })
	mux.HandleFunc("POST /heal", func(http.ResponseWriter, *http.Request) { l.SetCut(false) })
	mux.HandleFunc("GET /", func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		defer l.mu.Unlock()
		json.NewEncoder(w).Encode(State{Cut: l.cut, Bytes: l.bytes})
	})
	return mux
}
