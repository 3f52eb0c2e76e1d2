// Package http1 is an HTTP/1.1 client with a connection pool. Unlike the client of
// net/http it reports whether any byte of a request was written, never retries a
// request by itself, and lets its caller match responses to requests.
package http1

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts that detect unreachable endpoints and stores.
const (
	// connectTimeout allows for a few round trips within a region. It is below
	// the second after which TCP retransmits a lost SYN.
	connectTimeout = 400 * time.Millisecond
	// unacknowledgedTimeout is how long sent bytes may stay unacknowledged.
	unacknowledgedTimeout = 1500 * time.Millisecond
	// TCP keep-alive probes detect an unreachable host while no request bytes are
	// outstanding.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
)

// Dialer opens TCP connections that fail soon after their peer becomes unreachable.
type Dialer struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewDialer returns a Dialer.
func NewDialer() *Dialer {
	return &Dialer{ReportingDial(&net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         setUnacknowledgedTimeout,
	})}
}

// Dial connects to an IP:port. Reads of the connection report resets as ReportResets says.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	return d.dial(ctx, "tcp4", address)
}

func setUnacknowledgedTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Without the option, an unreachable peer is only detected later.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
}
