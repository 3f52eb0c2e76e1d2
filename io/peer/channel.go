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

// Limits and timeouts of a channel.
const (
	maxQueuedMessages = 4_096
	maxFrameBytes     = 4 << 20
	dialTimeout       = time.Second
	redialDelay       = 300 * time.Millisecond
	idleTimeout       = 3 * time.Second
	writeTimeout      = 2 * time.Second
)

// quicConfig returns the configuration of connections that are closed after
// they were idle for maxIdle. Each end announces its own limit, and QUIC applies
// the shorter of the two.
func quicConfig(maxIdle time.Duration) *quic.Config {
	return &quic.Config{HandshakeIdleTimeout: dialTimeout, MaxIdleTimeout: maxIdle}
}

// channel sends messages to one VM on a stream that it opens when needed.
type channel struct {
	node       *Node
	to         entity.VM
	mu         sync.Mutex
	queue      []entity.Message
	wake       chan struct{} // signals that messages were queued
	ctx        context.Context
	cancel     context.CancelFunc
	conn       *quic.Conn
	stream     *quic.SendStream
	sequence   int64 // of the last envelope
	identified bool  // an envelope on the stream has identified this VM
}

func newChannel(n *Node, to entity.VM) *channel {
	c := &channel{node: n, to: to, wake: make(chan struct{}, 1)}
	c.ctx, c.cancel = context.WithCancel(n.ctx)
	go c.run()
	return c
}

// close ends run, which closes the connection.
func (c *channel) close() { c.cancel() }

// stale reports whether to has another address or incarnation than the VM that
// the channel connects to, so that messages to it need a new channel.
func (c *channel) stale(to entity.VM) bool {
	return c.to.Address != to.Address || c.to.Incarnation != to.Incarnation
}

// push queues a message. If more than maxQueuedMessages wait, it discards the
// oldest.
func (c *channel) push(message entity.Message) {
	c.mu.Lock()
	c.queue = append(c.queue, message)
	if len(c.queue) > maxQueuedMessages {
		c.queue = c.queue[len(c.queue)-maxQueuedMessages:]
	}
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// takeAll removes and returns all queued messages.
func (c *channel) takeAll() []entity.Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.queue
	c.queue = nil
	return taken
}

// run sends queued messages until the channel is closed. When sending fails, it
// drops the messages taken and the connection, and waits before it redials.
func (c *channel) run() {
	defer c.disconnect()
	for {
		select {
		case <-c.wake:
		case <-c.ctx.Done():
			return
		}
		messages := c.takeAll()
		if len(messages) == 0 {
			continue
		}
		if err := c.send(messages); err != nil {
			c.disconnect()
			c.backOff()
		}
	}
}

// backOff waits for redialDelay, or until the channel is closed.
func (c *channel) backOff() {
	t := time.NewTimer(redialDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.ctx.Done():
	}
}

// send writes messages as one envelope and connects first if necessary.
func (c *channel) send(messages []entity.Message) error {
	if err := c.connect(); err != nil {
		return err
	}
	c.sequence++
	self := c.node.self
	e := &wire.Envelope{Sequence: c.sequence}
	if !c.identified {
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
	c.node.bytesSent.Add(int64(n))
	c.identified = err == nil
	return err
}

// connect opens a connection and a stream unless the current ones are still open.
func (c *channel) connect() error {
	if c.stream != nil && c.conn.Context().Err() == nil {
		return nil
	}
	c.disconnect()
	address, err := net.ResolveUDPAddr("udp", c.to.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.ctx, dialTimeout)
	defer cancel()
	c.conn, err = c.node.transport.Dial(ctx, address, c.node.messageTLS, quicConfig(idleTimeout))
	if err != nil {
		return err
	}
	c.stream, err = c.conn.OpenUniStreamSync(ctx)
	return err
}

// disconnect closes the connection, if any.
func (c *channel) disconnect() {
	if c.conn != nil {
		c.conn.CloseWithError(0, "")
	}
	c.conn, c.stream, c.identified = nil, nil, false
}

// writeFrame writes raw after its length as a varint, and returns the number of
// bytes written.
func writeFrame(w io.Writer, raw []byte) (int, error) {
	frame := binary.AppendUvarint(make([]byte, 0, len(raw)+binary.MaxVarintLen32), uint64(len(raw)))
	return w.Write(append(frame, raw...))
}

// FrameSizeError reports a frame of more than maxFrameBytes.
type FrameSizeError struct{ Bytes uint64 }

// Error implements error.
func (e *FrameSizeError) Error() string { return "peer frame is too large" }

// readFrame reads what writeFrame wrote.
func readFrame(r io.Reader) ([]byte, error) {
	size, err := binary.ReadUvarint(byteReader{r})
	if err != nil {
		return nil, err
	}
	if size > maxFrameBytes {
		return nil, &FrameSizeError{Bytes: size}
	}
	raw := make([]byte, size)
	_, err = io.ReadFull(r, raw)
	return raw, err
}

// byteReader implements io.ByteReader without reading ahead.
type byteReader struct{ io.Reader }

// ReadByte implements io.ByteReader.
func (b byteReader) ReadByte() (byte, error) {
	var buffer [1]byte
	_, err := io.ReadFull(b.Reader, buffer[:])
	return buffer[0], err
}
