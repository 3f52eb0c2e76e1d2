package soak

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"hawthornspar/platform/standin"
)

const (
	// restartDelay is how long a VM is down after its process ended, with some
	// time until it serves again.
	restartDelay = 2500 * time.Millisecond
	// seriesGap is the time between the stops of a series.
	seriesGap = 1200 * time.Millisecond
	// expiry is how long a dead endpoint's entry stays: three heartbeats.
	expiry = 3600 * time.Millisecond
	// lingers is how long a leaving endpoint goes on serving.
	lingers = 3500 * time.Millisecond
	// storeLag is what a slow store adds to each answer.
	storeLag = 250 * time.Millisecond
	// linkLag is what a slow link adds to each piece.
	linkLag = 100 * time.Millisecond
	// lostWrites bounds the writes that a store loses the answers of, lateBy is
	// by how much some are carried out late.
	lostWrites = 12
	lateBy     = 700 * time.Millisecond
)

// player plays one event.
type player struct {
	soak  *Run
	event Event
	begun time.Time
	done  *sync.WaitGroup
}

func (p *player) run() {
	defer p.done.Done()
	time.Sleep(time.Until(p.begun.Add(p.event.At)))
	if err := p.play(); err != nil {
		fmt.Fprintf(p.soak.options.Out, "%s: %v\n", p.event.Kind, err)
	}
}

func (p *player) play() error {
	r, e := p.soak, p.event
	v := r.vms[e.Target%len(r.vms)]
	switch e.Kind {
	case Kill:
		p.kill(v, 0)
	case PowerOff:
		p.kill(v, e.For)
	case PowerOffAll:
		p.killAll()
	case Pause:
		r.disturb(v, e.For+startWait)
		v.signal(r.folder, syscall.SIGSTOP)
		time.Sleep(e.For)
		v.signal(r.folder, syscall.SIGCONT)
	case Terminate:
		p.terminate(v)
	case Series:
		for _, o := range r.vms {
			p.terminate(o)
			time.Sleep(seriesGap)
		}
	case Hangup:
		v.signal(r.folder, syscall.SIGHUP)
	case Rewrite:
		v.rewrites++
		return r.folder.Write(v.name+".conf", v.settings(nil))
	case StoreDown, StoreSlow, StoreLoses, StoreForgets:
		p.failStore()
	case CutReset, CutSilent, CutOneWay:
		p.cut(v)
	case Configure:
		return r.configure()
	case TopUp:
		return r.topUp(e.Target)
	default:
		return p.failEndpoint(r.endpoints[e.Target%len(r.endpoints)])
	}
	return nil
}

// disturb notes that a VM is disturbed from now on for a while.
func (r *Run) disturb(v *vm, d time.Duration) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Disturbed[v.name] = append(r.history.Disturbed[v.name], Span{now, now.Add(d)})
}

func (p *player) kill(v *vm, off time.Duration) {
	r := p.soak
	r.disturb(v, off+restartDelay)
	if off > 0 {
		if err := r.folder.Write(v.name+".off", "\n"); err != nil {
			fmt.Fprintln(r.options.Out, err)
		}
	}
	v.signal(r.folder, syscall.SIGKILL)
	time.Sleep(off)
	if off > 0 {
		_ = r.folder.Remove(v.name + ".off") // another fault may have removed it
	}
}

func (p *player) killAll() {
	var all sync.WaitGroup
	for _, v := range p.soak.vms {
		all.Add(1)
		k := &killing{p, v, &all}
		go k.run()
	}
	all.Wait()
}

type killing struct {
	player *player
	vm     *vm
	done   *sync.WaitGroup
}

func (k *killing) run() {
	defer k.done.Done()
	k.player.kill(k.vm, k.player.event.For)
}

func (p *player) terminate(v *vm) {
	r := p.soak
	r.disturb(v, grace+restartDelay)
	r.mu.Lock()
	spans := r.history.Disturbed[v.name]
	r.history.Stops = append(r.history.Stops, Stop{VM: v.name, At: spans[len(spans)-1].From})
	r.mu.Unlock()
	v.signal(r.folder, syscall.SIGTERM)
}

func (p *player) failStore() {
	r, d := p.soak, p.event.For
	now := time.Now()
	r.mu.Lock()
	r.history.Store = append(r.history.Store, Span{now, now.Add(d)})
	r.mu.Unlock()
	switch p.event.Kind {
	case StoreDown:
		r.store.Fail(standin.Faults{Down: true})
	case StoreSlow:
		r.store.Fail(standin.Faults{Slow: storeLag})
	case StoreLoses:
		r.store.Fail(standin.Faults{Lose: 1 + p.event.Target%lostWrites, Late: time.Duration(p.event.Target%2) * lateBy})
	case StoreForgets:
		r.store.Forget()
		return
	}
	time.Sleep(d)
	r.store.Fail(standin.Faults{})
}

func (p *player) cut(v *vm) {
	p.soak.disturb(v, p.event.For)
	switch p.event.Kind {
	case CutReset:
		v.store.Set(true)
	case CutSilent:
		v.store.Hold(true, true)
	case CutOneWay:
		v.store.Hold(false, true)
	}
	time.Sleep(p.event.For)
	v.store.Set(false)
	v.store.Hold(false, false)
}

// failEndpoint plays a fault of an endpoint.
func (p *player) failEndpoint(e *endpoint) error {
	r, d := p.soak, p.event.For
	now := time.Now()
	r.mu.Lock()
	r.history.Endpoints = append(r.history.Endpoints, Span{now, now.Add(d + expiry + lingers)})
	r.mu.Unlock()
	switch p.event.Kind {
	case Crash, Reborn:
		return p.crash(e)
	case Leave:
		return p.leave(e)
	case Misbehave:
		e.standIn.Behave(p.event.Behaviour)
		time.Sleep(d)
		e.standIn.Behave(standin.Answers)
	case SlowLink:
		e.link.Delay(linkLag)
		time.Sleep(d)
		e.link.Delay(0)
	case SilentLink:
		e.link.Hold(true, true)
		time.Sleep(d)
		e.link.Hold(false, false)
	}
	return nil
}

// crash ends an endpoint, and starts it again under another or the same id.
func (p *player) crash(e *endpoint) error {
	e.standIn.Crash()
	time.Sleep(p.event.For)
	if p.event.Kind == Crash {
		return p.restart(e)
	}
	return p.startAgain(e, e.standIn.ID())
}

func (p *player) restart(e *endpoint) error {
	p.soak.store.Expire(e.standIn)
	p.soak.mu.Lock()
	e.lives++
	id := fmt.Sprintf("%s-%d", e.name, e.lives)
	p.soak.mu.Unlock()
	return p.startAgain(e, id)
}

func (p *player) startAgain(e *endpoint, id string) error {
	if err := e.standIn.Start(id); err != nil {
		return err
	}
	return p.soak.register(e, false)
}

// leave drains an endpoint; a new one takes its place later.
func (p *player) leave(e *endpoint) error {
	r := p.soak
	if err := r.register(e, true); err != nil {
		return err
	}
	r.mu.Lock()
	r.history.Departures = append(r.history.Departures, Departure{Endpoint: e.standIn.ID(), At: time.Now()})
	r.mu.Unlock()
	time.Sleep(lingers)
	e.standIn.Crash()
	return p.restart(e)
}
