// Package link stands in for a network link: it forwards TCP and UDP between
// two addresses and can be cut and healed.
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
	target string
	clock  timer.Service
	mu     sync.Mutex
	cut    bool
	denied map[string]bool // senders' IP numbers that are cut off
	conns  map[net.Conn]bool
	flows  map[string]*net.UDPConn
	bytes  int64
	there  direction // to the target
	back   direction // to the client
}

// direction is how a link treats what goes one way over TCP.
type direction struct {
	held  chan struct{} // bytes wait until it is closed; nil for open
	delay time.Duration // added to each piece
}

// State is the link's state.
type State struct {
	Cut   bool  `json:"cut"`
	Bytes int64 `json:"bytes"`
}

// New returns a link to target, an IP:port.
func New(target string) *Link {
	return &Link{target: target, clock: timer.Real{}, denied: map[string]bool{}, conns: map[net.Conn]bool{}, flows: map[string]*net.UDPConn{}}
}

// ServeTCP accepts connections until the listener closes.
func (l *Link) ServeTCP(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		p := &pipe{link: l, client: conn}
		go p.run()
	}
}

// pipe forwards one TCP connection.
type pipe struct {
	link           *Link
	client, server net.Conn
}

func (p *pipe) run() {
	defer p.client.Close()
	if !p.link.add(p.client) {
		return
	}
	defer p.link.remove(p.client)
	server, err := net.Dial("tcp", p.link.target)
	if err != nil {
		return
	}
	p.server = server
	defer server.Close()
	if !p.link.add(server) {
		return
	}
	defer p.link.remove(server)
	back := &half{p.link, server, p.client, &p.link.back}
	go back.run()
	(&half{p.link, p.client, server, &p.link.there}).run()
}

// half copies one direction and closes both ends when it ends.
type half struct {
	link     *Link
	from, to net.Conn
	way      *direction
}

func (h *half) run() {
	_, err := io.Copy(counted{h.to, h.link, h.way}, h.from)
	if err != nil {
		reset(h.to) // a reset is not an end
	}
	h.to.Close()
	h.from.Close()
}

// reset makes the close of a connection a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
}

// counted counts what is written.
type counted struct {
	io.Writer
	link *Link
	way  *direction
}

func (c counted) Write(p []byte) (int, error) {
	c.link.wait(c.way)
	n, err := c.Writer.Write(p)
	c.link.count(n)
	return n, err
}

// wait delays a piece as its direction says.
func (l *Link) wait(way *direction) {
	l.mu.Lock()
	held, delay := way.held, way.delay
	l.mu.Unlock()
	if delay > 0 {
		pause := l.clock.Subscribe(delay)
		<-pause.C
		pause.Stop()
	}
	if held != nil {
		<-held
	}
}

// Hold silences TCP connections in either direction without closing them, or
// lets what was held pass.
func (l *Link) Hold(there, back bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.there.hold(there)
	l.back.hold(back)
}

func (d *direction) hold(held bool) {
	if held == (d.held != nil) {
		return
	}
	if held {
		d.held = make(chan struct{})
		return
	}
	close(d.held)
	d.held = nil
}

// Delay adds a time to each piece that passes over TCP, both ways.
func (l *Link) Delay(by time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.there.delay, l.back.delay = by, by
}

func (l *Link) add(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return false
	}
	l.conns[c] = true
	return true
}

func (l *Link) remove(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *Link) count(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes += int64(n)
}

// drops tells whether datagrams from and to a sender are lost.
func (l *Link) drops(sender *net.UDPAddr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut || l.denied[sender.IP.String()]
}

// Deny cuts off one sender of datagrams, or lets it through again.
func (l *Link) Deny(ip string, denied bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.denied[ip] = denied
}

// maxDatagram is the largest UDP payload.
const maxDatagram = 65_535

// ServeUDP forwards datagrams until the socket closes.
func (l *Link) ServeUDP(socket *net.UDPConn) error {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := socket.ReadFromUDP(buffer)
		if err != nil {
			return err
		}
		if l.drops(from) {
			continue
		}
		if flow := l.flow(socket, from); flow != nil {
			flow.Write(buffer[:n])
			l.count(n)
		}
	}
}

// flow returns the socket that speaks for one sender, and opens it at need.
func (l *Link) flow(socket *net.UDPConn, from *net.UDPAddr) *net.UDPConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if flow, ok := l.flows[from.String()]; ok {
		return flow
	}
	target, err := net.ResolveUDPAddr("udp", l.target)
	if err != nil {
		return nil
	}
	flow, err := net.DialUDP("udp", nil, target)
	if err != nil {
		return nil
	}
	l.flows[from.String()] = flow
	a := &answers{link: l, socket: socket, flow: flow, to: from}
	go a.run()
	return flow
}

// answers forwards datagrams back to one sender.
type answers struct {
	link         *Link
	socket, flow *net.UDPConn
	to           *net.UDPAddr
}

func (a *answers) run() {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := a.flow.Read(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			pause := a.link.clock.Subscribe(refusedPause)
			<-pause.C
			pause.Stop()
			continue
		}
		if !a.link.drops(a.to) {
			a.socket.WriteToUDP(buffer[:n], a.to)
			a.link.count(n)
		}
	}
}

// refusedPause is the wait after the target refused a datagram.
const refusedPause = 10 * time.Millisecond

// Set cuts or heals the link. Cutting closes every TCP connection.
func (l *Link) Set(cut bool) {
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

// Handler returns the admin handler: GET / shows the state, POST /cut and
// POST /heal change it.
func (l *Link) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cut", func(http.ResponseWriter, *http.Request) { l.Set(true) })
	mux.HandleFunc("POST /heal", func(http.ResponseWriter, *http.Request) { l.Set(false) })
	mux.HandleFunc("GET /", func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		defer l.mu.Unlock()
		json.NewEncoder(w).Encode(State{Cut: l.cut, Bytes: l.bytes})
	})
	return mux
}
