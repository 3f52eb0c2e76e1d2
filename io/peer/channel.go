package peer

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/proto"

	"hawthornspar/core/entity"
	"hawthornspar/io/protobuf"
	"hawthornspar/io/wire"
)

// Bounds of a channel.
const (
	maxQueued     = 4_096
	maxFrameBytes = 4 << 20
	dialTimeout   = time.Second
	redialWait    = 300 * time.Millisecond
	idleTimeout   = 3 * time.Second
	writeTimeout  = 2 * time.Second
)

// quicConfig returns the configuration of connections that may rest for idle.
// Both ends' timeouts count, the shorter one wins.
func quicConfig(idle time.Duration) *quic.Config {
	return &quic.Config{HandshakeIdleTimeout: dialTimeout, MaxIdleTimeout: idle}
}

// channel sends messages to one address, on a connection that it opens at need.
type channel struct {
	node    *Node
	to      entity.VM
	mu      sync.Mutex
	queue   []entity.Message
	wake    chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	conn    *quic.Conn
	stream  *quic.SendStream
	number  int64
	greeted bool // the stream's first envelope named this VM
}

func newChannel(n *Node, to entity.VM) *channel {
	c := &channel{node: n, to: to, wake: make(chan struct{}, 1)}
	c.ctx, c.cancel = context.WithCancel(n.ctx)
	go c.run()
	return c
}

func (c *channel) close() { c.cancel() }

// stale tells whether the peer moved or was replaced, so that the connection
// leads nowhere.
func (c *channel) stale(to entity.VM) bool {
	return c.to.Address != to.Address || c.to.Incarnation != to.Incarnation
}

// push queues a message, and drops the oldest when too many wait.
func (c *channel) push(message entity.Message) {
	c.mu.Lock()
	c.queue = append(c.queue, message)
	if len(c.queue) > maxQueued {
		c.queue = c.queue[len(c.queue)-maxQueued:]
	}
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *channel) take() []entity.Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.queue
	c.queue = nil
	return taken
}

func (c *channel) run() {
	defer c.drop()
	for {
		select {
		case <-c.wake:
		case <-c.ctx.Done():
			return
		}
		messages := c.take()
		if len(messages) == 0 {
			continue
		}
		if err := c.send(messages); err != nil {
			c.drop()
			c.rest()
		}
	}
}

// rest waits before the next dial. What was queued meanwhile is stale.
func (c *channel) rest() {
	t := time.NewTimer(redialWait)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.ctx.Done():
	}
}

func (c *channel) send(messages []entity.Message) error {
	if err := c.open(); err != nil {
		return err
	}
	c.number++
	self := c.node.self
	e := &wire.Envelope{Sequence: c.number}
	if !c.greeted {
		e.From, e.Incarnation, e.Address, e.Domain = self.Name, self.Incarnation, self.Address, self.Domain
	}
	for _, m := range messages {
		e.Messages = append(e.Messages, protobuf.MessageToWire(m))
	}
	raw, err := proto.Marshal(e)
	if err != nil {
		return err
	}
	c.stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := writeFrame(c.stream, raw)
	c.node.sent.Add(int64(n))
	c.greeted = err == nil
	return err
}

func (c *channel) open() error {
	if c.stream != nil && c.conn.Context().Err() == nil {
		return nil
	}
	c.drop()
	address, err := net.ResolveUDPAddr("udp", c.to.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.ctx, dialTimeout)
	defer cancel()
	c.conn, err = c.node.transport.Dial(ctx, address, c.node.dialTLS, quicConfig(idleTimeout))
	if err != nil {
		return err
	}
	c.stream, err = c.conn.OpenUniStreamSync(ctx)
	return err
}

func (c *channel) drop() {
	if c.conn != nil {
		c.conn.CloseWithError(0, "")
	}
	c.conn, c.stream, c.greeted = nil, nil, false
}

func writeFrame(w io.Writer, raw []byte) (int, error) {
	frame := binary.AppendUvarint(make([]byte, 0, len(raw)+binary.MaxVarintLen32), uint64(len(raw)))
	return w.Write(append(frame, raw...))
}

// FrameError says that a frame breaks the protocol.
type FrameError struct{ Bytes uint64 }

// Error implements error.
func (e *FrameError) Error() string { return "peer frame is too large" }

func readFrame(r io.Reader) ([]byte, error) {
	size, err := binary.ReadUvarint(byteReader{r})
	if err != nil {
		return nil, err
	}
	if size > maxFrameBytes {
		return nil, &FrameError{Bytes: size}
	}
	raw := make([]byte, size)
	_, err = io.ReadFull(r, raw)
	return raw, err
}

// byteReader reads single bytes without reading ahead.
type byteReader struct{ io.Reader }

// ReadByte implements io.ByteReader.
func (b byteReader) ReadByte() (byte, error) {
	var one [1]byte
	_, err := io.ReadFull(b.Reader, one[:])
	return one[0], err
}
