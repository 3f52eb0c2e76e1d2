// Package peer connects the VMs of a fleet over QUIC with mutual TLS: messages
// travel on unidirectional streams, forwarded requests over HTTP/3.
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
	"hawthornspar/io/http1"
	"hawthornspar/io/protobuf"
	"hawthornspar/io/wire"
)

// messageProtocol is the ALPN name of connections that carry message streams.
const messageProtocol = "hawthornspar/1"

// Post queues an event for the core.
type Post func(inbox.Event)

// Node exchanges messages and forwarded requests with the other VMs, on one UDP
// socket.
type Node struct {
	self         entity.VM
	post         Post
	log          logr.Logger
	transport    *quic.Transport
	listener     *quic.Listener
	messageTLS   *tls.Config
	server       *http3.Server     // for forwarded requests
	client       *http3.Transport  // for forwarded requests
	checked      http.RoundTripper // client, without malformed responses
	mu           sync.Mutex
	channels     map[string]*channel   // by VM name
	forwardConns map[string]*quic.Conn // outgoing connections for forwarded requests, by address
	maxIdle      time.Duration         // of accepted connections and of those in forwardConns
	ctx          context.Context
	cancel       context.CancelFunc
	bytesSent    atomic.Int64 // in message frames
}

// Option changes a default of Listen.
type Option func(*Node)

// WithIdleTimeout keeps connections for forwarded requests open until they have
// been idle for d. A caller that sets more than the default must call CloseConn for
// the address of a VM that does not respond: the VM may have been replaced.
func WithIdleTimeout(d time.Duration) Option { return func(n *Node) { n.maxIdle = d } }

// Listen opens the node of the VM self on the UDP address listen. The handler
// serves requests that other VMs forward, and post receives their messages.
func Listen(self entity.VM, listen string, mutualTLS *tls.Config, handler http.Handler, post Post, log logr.Logger, options ...Option) (*Node, error) {
	address, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "resolve listen address")
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "open peer socket")
	}
	n := &Node{self: self, post: post, log: log, channels: map[string]*channel{}, forwardConns: map[string]*quic.Conn{}, maxIdle: idleTimeout}
	for _, o := range options {
		o(n)
	}
	n.transport = &quic.Transport{Conn: socket}
	serverTLS := mutualTLS.Clone()
	serverTLS.NextProtos = []string{messageProtocol, http3.NextProtoH3}
	n.listener, err = n.transport.Listen(serverTLS, quicConfig(n.maxIdle))
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	n.messageTLS = mutualTLS.Clone()
	n.messageTLS.NextProtos = []string{messageProtocol}
	forwardTLS := mutualTLS.Clone()
	n.server = &http3.Server{Handler: handler}
	n.client = &http3.Transport{TLSClientConfig: forwardTLS, QUICConfig: quicConfig(n.maxIdle), Dial: n.dialForward}
	n.checked = &http1.CheckedTransport{Base: n.client}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	go n.run()
	return n, nil
}

// dialForward opens a connection for forwarded requests on the node's socket.
func (n *Node) dialForward(ctx context.Context, address string, t *tls.Config, q *quic.Config) (*quic.Conn, error) {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "resolve peer address")
	}
	conn, err := n.transport.Dial(ctx, to, t, q)
	if err != nil {
		return nil, errors.Wrap(err, "peer")
	}
	n.mu.Lock()
	n.forwardConns[address] = conn
	n.mu.Unlock()
	return conn, nil
}

// Connected reports whether a connection for forwarded requests to an address is
// open.
func (n *Node) Connected(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	conn := n.forwardConns[address]
	return conn != nil && conn.Context().Err() == nil
}

// CloseConn closes the connection for forwarded requests to an address. A VM
// replaced without notice leaves its peers' connections open, and requests on
// them get no response until the idle timeout. The next request opens a new
// connection.
func (n *Node) CloseConn(address string) {
	n.mu.Lock()
	conn := n.forwardConns[address]
	delete(n.forwardConns, address)
	n.mu.Unlock()
	if conn == nil {
		return
	}
	if err := conn.CloseWithError(0, "no answer"); err != nil {
		n.log.V(1).Info("closing peer connection failed", "address", address, "error", err.Error())
	}
}

// Close closes the listener and all connections.
func (n *Node) Close() {
	n.cancel()
	n.client.Close()
	n.listener.Close()
	n.transport.Close()
}

// BytesSent returns the number of bytes sent in message frames.
func (n *Node) BytesSent() int64 { return n.bytesSent.Load() }

// run accepts connections and serves each according to its negotiated protocol.
func (n *Node) run() {
	for {
		conn, err := n.listener.Accept(n.ctx)
		if err != nil {
			return
		}
		if conn.ConnectionState().TLS.NegotiatedProtocol == messageProtocol {
			r := &messageReceiver{node: n, conn: conn}
			go r.run()
			continue
		}
		c := &forwardReceiver{node: n, conn: conn}
		go c.run()
	}
}

// forwardReceiver serves the forwarded requests of one connection.
type forwardReceiver struct {
	node *Node
	conn *quic.Conn
}

func (c *forwardReceiver) run() {
	if err := c.node.server.ServeQUICConn(c.conn); err != nil {
		c.node.log.V(1).Info("connection for forwarded requests ended", "cause", err.Error())
	}
}

// RoundTrip sends a request to another VM. Its URL must have the scheme https
// and the other VM's IP:port.
func (n *Node) RoundTrip(r *http.Request) (*http.Response, error) { return n.checked.RoundTrip(r) }

// Send queues a message for another VM. Messages may be lost but are never
// reordered.
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

// messageReceiver accepts the message streams of one connection.
type messageReceiver struct {
	node *Node
	conn *quic.Conn
}

func (r *messageReceiver) run() {
	for {
		stream, err := r.conn.AcceptUniStream(r.node.ctx)
		if err != nil {
			return
		}
		s := &streamReader{node: r.node, stream: stream, name: commonName(r.conn)}
		go s.run()
	}
}

// commonName returns the VM name in the certificate of the other end.
func commonName(conn *quic.Conn) string {
	return conn.ConnectionState().TLS.PeerCertificates[0].Subject.CommonName
}

// streamReader posts the messages of one stream.
type streamReader struct {
	node   *Node
	stream io.Reader
	name   string    // in the sender's certificate
	from   entity.VM // as the stream's first envelope identifies the sender
}

// run reads envelopes until the stream ends, or until one is malformed or names
// another VM than the sender's certificate.
func (r *streamReader) run() {
	for {
		raw, err := readFrame(r.stream)
		if err != nil {
			return
		}
		var e wire.Envelope
		if err := proto.Unmarshal(raw, &e); err != nil {
			r.node.log.Info("peer message could not be decoded", "from", r.name, "cause", err.Error())
			return
		}
		if e.From != "" {
			r.from = entity.VM{Name: e.From, Incarnation: e.Incarnation, Address: e.Address, Domain: e.Domain}
		}
		if r.from.Name != r.name {
			r.node.log.Info("peer claimed a name other than its certificate's", "certificate", r.name, "claimed", r.from.Name)
			return
		}
		r.deliver(&e)
	}
}

// deliver posts the messages of an envelope and skips those of unknown kinds.
func (r *streamReader) deliver(e *wire.Envelope) {
	for _, m := range e.Messages {
		if message := protobuf.MessageFromWire(m); message != nil {
			r.node.post(inbox.PeerMessage{From: r.from, Message: message})
		}
	}
}
