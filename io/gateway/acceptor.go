package gateway

import (
	"net"
	"time"
)

// acceptPause follows a failed accept, mostly caused by a lack of file
// descriptors.
const acceptPause = 20 * time.Millisecond

// clientSendBytes is the size of a client connection's send buffer in the kernel, where the
// memory of the VM is known. By itself the kernel keeps up to 4 MiB for a client that does
// not read. It is enough for 200 Mbit/s at a round trip of 5 ms.
const clientSendBytes = 128 << 10

// acceptor passes accepted connections to the current listener.
type acceptor struct {
	server   *server
	listener net.Listener
}

func (a *acceptor) loop() {
	for {
		c, err := a.listener.Accept()
		if err != nil {
			a.server.gateway.log.Info("accept failed", "error", err.Error())
			time.Sleep(acceptPause)
			continue
		}
		if t, ok := c.(*net.TCPConn); ok {
			a.limitSendBuffer(t)
			c = newClientConn(t)
		}
		l := a.server.currentListener()
		select {
		case l.conns <- c:
		case <-l.closed:
			c.Close()
		}
	}
}

// limitSendBuffer bounds what the kernel keeps for a client that does not read.
func (a *acceptor) limitSendBuffer(t *net.TCPConn) {
	if a.server.gateway.settings.MemoryBytes <= 0 {
		return
	}
	if err := t.SetWriteBuffer(clientSendBytes); err != nil {
		a.server.gateway.log.V(1).Info("no send buffer", "error", err.Error())
	}
}
