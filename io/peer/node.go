// Package peer speaks to the fleet's other VMs over QUIC with mutual TLS:
// messages on one-way streams, forwarded requests as HTTP/3.
package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"google.golang.org/protobuf/proto"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/io/protobuf"
	"hawthornspar/io/wire"
)

// messageProtocol is the ALPN name of the message streams.
const messageProtocol = "hawthornspar/1"

// Post takes events for the core.
type Post func(inbox.Event)

// Node is this VM's end of all peer channels.
type Node struct {
	self      entity.VM
	post      Post
	log       logr.Logger
	transport *quic.Transport
	listener  *quic.Listener
	dialTLS   *tls.Config
	web       *http3.Server
	client    *http3.Transport
	mu        sync.Mutex
	channels  map[string]*channel
	forward   map[string]*quic.Conn // connections for forwarded requests, by address
	idle      time.Duration
	ctx       context.Context
	cancel    context.CancelFunc
	sent      atomic.Int64
}

// Option changes how a node is opened.
type Option func(*Node)

// WithIdle keeps resting connections for d. A caller that sets more than the
// default has to Drop those to VMs that do not answer, which may have been
// replaced.
func WithIdle(d time.Duration) Option { return func(n *Node) { n.idle = d } }

// Listen opens the node on self.Address. The handler serves requests that
// other VMs forward.
func Listen(self entity.VM, listen string, mutual *tls.Config, handler http.Handler, post Post, log logr.Logger, options ...Option) (*Node, error) {
	address, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "peer socket")
	}
	n := &Node{self: self, post: post, log: log, channels: map[string]*channel{}, forward: map[string]*quic.Conn{}, idle: idleTimeout}
	for _, o := range options {
		o(n)
	}
	n.transport = &quic.Transport{Conn: socket}
	serverTLS := mutual.Clone()
	serverTLS.NextProtos = []string{messageProtocol, http3.NextProtoH3}
	n.listener, err = n.transport.Listen(serverTLS, quicConfig(n.idle))
	if err != nil {
		return nil, errors.Wrap(err, "peer listener")
	}
	n.dialTLS = mutual.Clone()
	n.dialTLS.NextProtos = []string{messageProtocol}
	webTLS := mutual.Clone()
	n.web = &http3.Server{Handler: handler}
	n.client = &http3.Transport{TLSClientConfig: webTLS, QUICConfig: quicConfig(n.idle), Dial: n.dialWeb}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	go n.run()
	return n, nil
}

// dialWeb opens a connection for forwarded requests from the node's own socket.
func (n *Node) dialWeb(ctx context.Context, address string, t *tls.Config, q *quic.Config) (*quic.Conn, error) {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	conn, err := n.transport.Dial(ctx, to, t, q)
	if err != nil {
		return nil, errors.Wrap(err, "peer")
	}
	n.mu.Lock()
	n.forward[address] = conn
	n.mu.Unlock()
	return conn, nil
}

// Drop closes the connection for forwarded requests to an address, which may
// have been silent since its VM was replaced. The next request opens another.
func (n *Node) Drop(address string) {
	n.mu.Lock()
	conn := n.forward[address]
	delete(n.forward, address)
	n.mu.Unlock()
	if conn == nil {
		return
	}
	if err := conn.CloseWithError(0, "no answer"); err != nil {
		n.log.V(1).Info("peer connection not closed", "address", address, "error", err.Error())
	}
}

// Close ends all channels.
func (n *Node) Close() {
	n.cancel()
	n.client.Close()
	n.listener.Close()
	n.transport.Close()
}

// BytesSent returns how many message bytes this VM sent.
func (n *Node) BytesSent() int64 { return n.sent.Load() }

func (n *Node) run() {
	for {
		conn, err := n.listener.Accept(n.ctx)
		if err != nil {
			return
		}
		if conn.ConnectionState().TLS.NegotiatedProtocol == messageProtocol {
			r := &receiver{node: n, conn: conn}
			go r.run()
			continue
		}
		c := &webConn{node: n, conn: conn}
		go c.run()
	}
}

// webConn serves forwarded requests of one peer.
type webConn struct {
	node *Node
	conn *quic.Conn
}

func (c *webConn) run() {
	if err := c.node.web.ServeQUICConn(c.conn); err != nil {
		c.node.log.V(1).Info("forwarding connection ended", "cause", err.Error())
	}
}

// RoundTrip sends a request to another VM. Its URL must be https with the
// peer's IP:port.
func (n *Node) RoundTrip(r *http.Request) (*http.Response, error) { return n.client.RoundTrip(r) }

// Send queues a message for a peer. Messages may be lost, never reordered.
func (n *Node) Send(to entity.VM, message entity.Message) {
	n.mu.Lock()
	c, ok := n.channels[to.Name]
	if !ok || c.stale(to) {
		if ok {
			c.close()
		}
		c = newChannel(n, to)
		n.channels[to.Name] = c
	}
	n.mu.Unlock()
	c.push(message)
}

// receiver reads the message streams of one connection.
type receiver struct {
	node *Node
	conn *quic.Conn
}

func (r *receiver) run() {
	for {
		stream, err := r.conn.AcceptUniStream(r.node.ctx)
		if err != nil {
			return
		}
		d := &reader{node: r.node, stream: stream, name: commonName(r.conn)}
		go d.run()
	}
}

func commonName(conn *quic.Conn) string {
	return conn.ConnectionState().TLS.PeerCertificates[0].Subject.CommonName
}

// reader posts the messages of one stream.
type reader struct {
	node   *Node
	stream io.Reader
	name   string
	from   entity.VM // as the stream's first envelope says
}

func (r *reader) run() {
	for {
		raw, err := readFrame(r.stream)
		if err != nil {
			return
		}
		var e wire.Envelope
		if err := proto.Unmarshal(raw, &e); err != nil {
			r.node.log.Info("unreadable peer message", "from", r.name, "cause", err.Error())
			return
		}
		if e.From != "" {
			r.from = entity.VM{Name: e.From, Incarnation: e.Incarnation, Address: e.Address, Domain: e.Domain}
		}
		if r.from.Name != r.name {
			r.node.log.Info("peer used another's name", "certificate", r.name, "claimed", r.from.Name)
			return
		}
		r.deliver(&e)
	}
}

func (r *reader) deliver(e *wire.Envelope) {
	for _, m := range e.Messages {
		if message := protobuf.MessageFromWire(m); message != nil {
			r.node.post(inbox.PeerSaid{From: r.from, Message: message})
		}
	}
}
