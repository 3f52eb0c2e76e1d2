// Package http1 sends requests over HTTP/1.1 connections of its own. Unlike the
// client of net/http it tells whether any byte of a request was written, never
// sends a request again by itself, and matches answers to requests by id.
package http1

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts that find silent peers.
const (
	// connectTimeout is a few round trips inside a region, and below the
	// second after which a lost opening packet is sent again.
	connectTimeout = 400 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged.
	userTimeout = 1500 * time.Millisecond
	// probeIdle, probeEvery and probeCount find peers that fell silent while
	// nothing is sent.
	probeIdle  = time.Second
	probeEvery = 500 * time.Millisecond
	probeCount = 3
)

// Dialer opens TCP connections that notice silent peers.
type Dialer struct{ dialer net.Dialer }

// NewDialer returns a dialer.
func NewDialer() *Dialer {
	return &Dialer{dialer: net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount},
		Control:         setUserTimeout,
	}}
}

// Dial connects to an IP:port.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	return d.dialer.DialContext(ctx, "tcp4", address)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Connections work without the option, only silence is found later.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}
