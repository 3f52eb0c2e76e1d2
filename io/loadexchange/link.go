package loadexchange

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"hawthornspar/core/home"
)

const (
	// maxFailures is the number of exchanges in a row without a response in time
	// after which a collector is left out.
	maxFailures = 2
	// leaveOutTime is how long a collector is left out.
	leaveOutTime = 2 * time.Second
	// keepOpenAfter is how long a connection may be unused before a probe keeps it
	// from being closed as idle, which happens after 30 s.
	keepOpenAfter = 10 * time.Second
	// probeTimeout bounds a probe on an open connection: a small VM may be stopped
	// for its share of the processor for 100 ms. connectTimeout bounds one that
	// opens it: when many VMs start at once, handshakes take their time.
	probeTimeout   = 300 * time.Millisecond
	connectTimeout = 600 * time.Millisecond
)

// link is the connection to a VM that is, or may become, a collector. The
// exchanger's lock guards it.
type link struct {
	vm       home.VM
	ready    bool // the VM has answered, and is not left out
	failures int  // exchanges in a row without a response in time
	probing  bool
	lost     int       // probes in a row without a response
	probeAt  time.Time // a probe is due from then on, while the link is not ready
	usedAt   time.Time // of the last response
	busy     bool      // an exchange of sums is in progress
}

// usable reports whether messages can be sent without a handshake.
func (l *link) usable(t Transport) bool { return l.ready && t.Connected(l.vm.Address) }

// hopeful reports whether the link is ready, or has not failed yet.
func (l *link) hopeful() bool { return l.ready || l.failures == 0 }

// linkTo returns the link to a VM. That to a new VM is first probed within spread.
// The caller holds the lock.
func (e *Exchanger) linkTo(v home.VM, spread time.Duration, now time.Time) *link {
	l := e.links[v.Name]
	if l == nil || l.vm.Address != v.Address || l.vm.Incarnation != v.Incarnation {
		l = &link{vm: v, probeAt: now.Add(rand.N(spread))}
		e.links[v.Name] = l
	}
	return l
}

// tend starts a probe of a link if one is due: to open the connection, to learn
// whether a VM that was left out answers again, or to keep the connection open. The
// caller holds the lock.
func (e *Exchanger) tend(l *link, t Transport, now time.Time) {
	due := !l.usable(t) && !now.Before(l.probeAt) || l.ready && now.Sub(l.usedAt) > keepOpenAfter
	if l.probing || !due {
		return
	}
	l.probing = true
	p := &probe{exchanger: e, link: l, transport: t}
	go p.run()
}

// succeed records a response in time. The caller holds the lock.
func (l *link) succeed(now time.Time) { l.ready, l.failures, l.usedAt = true, 0, now }

// fail records that there was no response in time. It reports whether the VM is left
// out from now on. The caller holds the lock.
func (l *link) fail(now time.Time) bool {
	l.failures++
	if l.failures < maxFailures {
		return false
	}
	return l.leaveOut(now)
}

// leaveOut leaves the VM out for leaveOutTime. It reports whether it was in use. The
// caller holds the lock.
func (l *link) leaveOut(now time.Time) bool {
	was := l.ready
	l.ready, l.probeAt = false, now.Add(leaveOutTime)
	l.failures = max(l.failures, 1)
	return was
}

// probe asks a VM in the background whether it answers. It opens the connection if
// necessary, so that no request waits for a handshake.
type probe struct {
	exchanger *Exchanger
	link      *link
	transport Transport
}

// run sends the probe.
func (p *probe) run() {
	e := p.exchanger
	timeout := probeTimeout
	if !p.transport.Connected(p.link.vm.Address) {
		timeout = connectTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := e.send(ctx, p.transport, http.MethodGet, p.link.vm, ReportPath, nil)
	e.mu.Lock()
	defer e.mu.Unlock()
	p.link.probing = false
	if err == nil {
		p.link.lost = 0
		p.link.succeed(time.Now())
		return
	}
	e.log.V(1).Info("collector does not answer", "collector", p.link.vm.Name, "error", err.Error())
	p.link.leaveOut(time.Now())
	p.closeIfLost()
}

// closeIfLost closes the connection after two probes without a response, as the VM may
// have been replaced. The next probe opens a new one. Other requests to the VM use the
// connection too, so one probe is not enough. The caller holds the exchanger's lock.
func (p *probe) closeIfLost() {
	p.link.lost++
	if p.link.lost%2 == 0 {
		p.transport.CloseConn(p.link.vm.Address)
	}
}
