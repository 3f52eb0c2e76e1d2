package http1

import (
	"context"
	"sync"
	"time"
)

// Ages after which idle connections are not used again.
const (
	// idleDefault is used when the peer states none.
	idleDefault = 4 * time.Second
	// idleMargin is kept below what the peer states.
	idleMargin = 700 * time.Millisecond
)

// Pool keeps the connections to endpoints, by address.
type Pool struct {
	dialer *Dialer
	mu     sync.Mutex
	peers  map[string]*peer
}

type peer struct {
	idle []*Conn // the most recently used last
	open int
}

// NewPool returns an empty pool.
func NewPool(d *Dialer) *Pool { return &Pool{dialer: d, peers: map[string]*peer{}} }

// LimitError says that the allowed connections to an address are all in use.
type LimitError struct{ Address string }

// Error implements error.
func (e *LimitError) Error() string { return "all connections to " + e.Address + " are in use" }

// DialError says that no connection was made, so nothing was sent.
type DialError struct{ Cause error }

// Error implements error.
func (e *DialError) Error() string { return "connect: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// Get returns a connection: the most recently used idle one, or a new one when
// fewer than limit are open.
func (p *Pool) Get(ctx context.Context, address string, limit int) (*Conn, error) {
	if c := p.reuse(address); c != nil {
		return c, nil
	}
	if !p.claim(address, limit) {
		return nil, &LimitError{Address: address}
	}
	raw, err := p.dialer.Dial(ctx, address)
	if err != nil {
		p.release(address)
		return nil, &DialError{Cause: err}
	}
	return newConn(raw, p, address), nil
}

// reuse takes idle connections until one is still sound.
func (p *Pool) reuse(address string) *Conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if time.Since(c.idleAt) < c.keep && c.quiet() {
			c.reused = true
			return c
		}
		c.Close()
	}
}

func (p *Pool) pop(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.peers[address]
	if e == nil || len(e.idle) == 0 {
		return nil
	}
	c := e.idle[len(e.idle)-1]
	e.idle = e.idle[:len(e.idle)-1]
	return c
}

func (p *Pool) claim(address string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.peers[address]
	if e == nil {
		e = &peer{}
		p.peers[address] = e
	}
	if limit > 0 && e.open >= limit {
		return false
	}
	e.open++
	return true
}

func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.peers[address]
	if e == nil {
		return
	}
	e.open--
	if e.open <= 0 && len(e.idle) == 0 {
		delete(p.peers, address)
	}
}

// put keeps a connection for the next request.
func (p *Pool) put(c *Conn) {
	c.idleAt = time.Now()
	p.mu.Lock()
	e := p.peers[c.address]
	if e != nil {
		e.idle = append(e.idle, c)
	}
	p.mu.Unlock()
	if e == nil {
		c.Close()
	}
}

// Trim closes the idle connections that are too old to be used again.
func (p *Pool) Trim() {
	var old []*Conn
	p.mu.Lock()
	for _, e := range p.peers {
		kept := e.idle[:0]
		for _, c := range e.idle {
			if time.Since(c.idleAt) < c.keep {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		e.idle = kept
	}
	p.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

// Drop closes the idle connections to an address.
func (p *Pool) Drop(address string) {
	for c := p.pop(address); c != nil; c = p.pop(address) {
		c.Close()
	}
}
