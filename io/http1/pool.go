package http1

import (
	"context"
	"sync"
	"time"
)

// Idle times after which connections are not reused.
const (
	// defaultIdleTimeout applies if the endpoint states no timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the timeout that the endpoint states, so that
	// no request is sent on a connection that the endpoint is closing.
	idleMargin = 700 * time.Millisecond
)

// Pool keeps the connections to endpoints and limits their number for each address.
type Pool struct {
	dialer    *Dialer
	mu        sync.Mutex
	byAddress map[string]*connections
}

// connections holds the connections to one address.
type connections struct {
	idle []*Conn // most recently used last
	open int     // idle ones, those in use, and those being opened
}

// NewPool returns an empty pool.
func NewPool(d *Dialer) *Pool { return &Pool{dialer: d, byAddress: map[string]*connections{}} }

// LimitError reports that all allowed connections to an address are in use.
type LimitError struct{ Address string }

// Error implements error.
func (e *LimitError) Error() string { return "all connections to " + e.Address + " are in use" }

// NothingWritten reports that no byte was written.
func (*LimitError) NothingWritten() bool { return true }

// DialError reports that no connection could be opened, so nothing was sent.
type DialError struct{ Cause error }

// Error implements error.
func (e *DialError) Error() string { return "connect: " + e.Cause.Error() }

// NothingWritten reports that no byte was written.
func (*DialError) NothingWritten() bool { return true }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// Get returns the most recently used idle connection to an address, or a new one
// if fewer than limit are open. A limit of 0 allows any number.
func (p *Pool) Get(ctx context.Context, address string, limit int) (*Conn, error) {
	if c := p.reuse(address); c != nil {
		return c, nil
	}
	return p.Open(ctx, address, limit)
}

// Open returns a new connection to an address, even if there are idle ones. A limit of 0
// allows any number of connections.
func (p *Pool) Open(ctx context.Context, address string, limit int) (*Conn, error) {
	if !p.acquire(address, limit) {
		return nil, &LimitError{Address: address}
	}
	netConn, err := p.dialer.Dial(ctx, address)
	if err != nil {
		p.release(address)
		return nil, &DialError{Cause: err}
	}
	return newConn(netConn, p, address), nil
}

// Probe opens a new connection to an address, even if there are idle ones, and
// keeps it for a later request. A limit of 0 allows any number of connections.
func (p *Pool) Probe(ctx context.Context, address string, limit int) error {
	c, err := p.Open(ctx, address, limit)
	if err != nil {
		return err
	}
	p.putIdle(c)
	return nil
}

// reuse removes idle connections from the pool until it finds a reusable one, which
// it returns, and closes those that are not reusable. It returns nil if there is
// no reusable one.
func (p *Pool) reuse(address string) *Conn {
	for {
		c := p.popIdle(address)
		if c == nil {
			return nil
		}
		if time.Since(c.idleSince) < c.idleTimeout && c.reusable() {
			c.reused = true
			return c
		}
		c.Close()
	}
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (p *Pool) popIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.byAddress[address]
	if e == nil || len(e.idle) == 0 {
		return nil
	}
	c := e.idle[len(e.idle)-1]
	e.idle = e.idle[:len(e.idle)-1]
	return c
}

// acquire counts a connection that is about to be opened, and reports whether the
// limit allows it.
func (p *Pool) acquire(address string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.byAddress[address]
	if e == nil {
		e = &connections{}
		p.byAddress[address] = e
	}
	if limit > 0 && e.open >= limit {
		return false
	}
	e.open++
	return true
}

// release counts down a connection that was closed or could not be opened.
func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.byAddress[address]
	if e == nil {
		return
	}
	e.open--
	if e.open <= 0 && len(e.idle) == 0 {
		delete(p.byAddress, address)
	}
}

// putIdle keeps a connection for the next request.
func (p *Pool) putIdle(c *Conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	e := p.byAddress[c.address]
	if e != nil {
		e.idle = append(e.idle, c)
	}
	p.mu.Unlock()
	if e == nil {
		c.Close()
	}
}

// CloseExpired closes the connections that were idle for longer than their
// timeout.
func (p *Pool) CloseExpired() {
	var expired []*Conn
	p.mu.Lock()
	for _, e := range p.byAddress {
		kept := e.idle[:0]
		for _, c := range e.idle {
			if time.Since(c.idleSince) < c.idleTimeout {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		e.idle = kept
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}
