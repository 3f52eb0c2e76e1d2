package soak

import (
	"fmt"
	"strconv"
	"sync"
	"syscall"
	"time"

	"hawthornspar/platform/standin"
)

// Times and sizes of faults.
const (
	// restartDelay is how long after its process ended a VM still counts as
	// disturbed: until the supervisor has restarted it and it serves requests.
	restartDelay = 2500 * time.Millisecond
	// seriesInterval is the time between the signals to two VMs of a Series.
	seriesInterval = 1200 * time.Millisecond
	// registrationExpiry is how long the registration of a crashed endpoint stays
	// in use: three heartbeats.
	registrationExpiry = 3600 * time.Millisecond
	// drainDuration is how long a draining endpoint goes on serving.
	drainDuration = 3500 * time.Millisecond
	// storeDelay is what StoreSlow adds to each response.
	storeDelay = 250 * time.Millisecond
	// stepBackAway is how long the store is away before it comes back from a copy, and
	// rewriteDelay the longest time until others have written again what it has lost.
	stepBackAway = time.Second
	rewriteDelay = 2 * time.Second
	// linkDelay is what SlowLink adds to each chunk that passes.
	linkDelay = 100 * time.Millisecond
	// maxLostWrites is the maximum number of writes that one StoreLoses leaves
	// without a response. If Event.Target is odd, the store applies them lateWriteDelay late.
	maxLostWrites  = 12
	lateWriteDelay = 700 * time.Millisecond
)

// injector carries out one scheduled event.
type injector struct {
	harness *Harness
	event   Event
	started time.Time // of the schedule
	done    *sync.WaitGroup
}

func (j *injector) run() {
	defer j.done.Done()
	time.Sleep(time.Until(j.started.Add(j.event.At)))
	if err := j.inject(); err != nil {
		fmt.Fprintf(j.harness.options.Out, "%s: %v\n", j.event.Kind, err)
	}
}

// inject carries out the event. A fault that lasts is over when inject returns.
func (j *injector) inject() error {
	h, e := j.harness, j.event
	v := h.vms[e.Target%len(h.vms)]
	switch e.Kind {
	case Kill:
		j.kill(v, 0)
	case PowerOff:
		j.kill(v, e.Duration)
	case PowerOffAll:
		j.killAll()
	case Pause:
		h.recordVMFault(v, e.Duration+startupTime)
		v.signal(h.supervisorDir, syscall.SIGSTOP)
		time.Sleep(e.Duration)
		v.signal(h.supervisorDir, syscall.SIGCONT)
	case Terminate:
		j.terminate(v)
	case Series:
		for _, o := range h.vms {
			j.terminate(o)
			time.Sleep(seriesInterval)
		}
	case Hangup:
		v.signal(h.supervisorDir, syscall.SIGHUP)
	case Rewrite:
		v.rewrites++
		return h.supervisorDir.Write(v.name+".conf", v.settings())
	case StepBack:
		j.stepBack()
	case StoreDown, StoreSlow, StoreLoses, StoreForgets:
		j.failStore()
	case CutReset, CutSilent, CutOneWay:
		j.cutStoreLink(v)
	case Configure:
		return h.configure()
	case TopUp:
		return h.topUp(e.Target)
	case Lethal:
		j.sendLethal()
	case LethalPart:
		j.sendLethalParts()
	case OddEntry:
		return h.store.Put("servers", fmt.Sprintf("odd%d", e.Target), []byte(oddEntries[e.Target%len(oddEntries)]))
	default:
		return j.failEndpoint(h.endpoints[e.Target%len(h.endpoints)])
	}
	return nil
}

// recordVMFault records that the VM is disturbed from now on for d.
func (h *Harness) recordVMFault(v *vm, d time.Duration) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.history.VMFaults[v.name] = append(h.history.VMFaults[v.name], Interval{now, now.Add(d)})
}

// kill sends SIGKILL to a VM and prevents its restart for the time off.
func (j *injector) kill(v *vm, off time.Duration) {
	h := j.harness
	h.recordVMFault(v, off+restartDelay)
	if off > 0 {
		if err := h.supervisorDir.Write(v.name+".off", "\n"); err != nil {
			fmt.Fprintln(h.options.Out, err)
		}
	}
	v.signal(h.supervisorDir, syscall.SIGKILL)
	time.Sleep(off)
	if off > 0 {
		_ = h.supervisorDir.Remove(v.name + ".off") // an overlapping event for the same VM may have removed it
	}
}

func (j *injector) killAll() {
	var all sync.WaitGroup
	for _, v := range j.harness.vms {
		all.Add(1)
		k := &killTask{j, v, &all}
		go k.run()
	}
	all.Wait()
}

// killTask kills one VM of a PowerOffAll.
type killTask struct {
	injector *injector
	vm       *vm
	done     *sync.WaitGroup
}

func (k *killTask) run() {
	defer k.done.Done()
	k.injector.kill(k.vm, k.injector.event.Duration)
}

func (j *injector) terminate(v *vm) {
	h := j.harness
	h.recordVMFault(v, gracePeriod+restartDelay)
	h.mu.Lock()
	faults := h.history.VMFaults[v.name]
	h.history.Shutdowns = append(h.history.Shutdowns, Shutdown{VM: v.name, At: faults[len(faults)-1].From})
	h.mu.Unlock()
	v.signal(h.supervisorDir, syscall.SIGTERM)
}

// stepBack lets the store come back from a copy. In every other one, what the operator and the
// endpoints have written since is written again only after it is back.
func (j *injector) stepBack() {
	h := j.harness
	back := standin.StepBack{Age: j.event.Duration, Away: stepBackAway}
	if j.event.Target%2 == 1 {
		back.RewriteAfter = rewriteDelay
	}
	now := time.Now()
	h.mu.Lock()
	h.history.StoreFaults = append(h.history.StoreFaults, Interval{now, now.Add(back.Away + back.RewriteAfter)})
	h.mu.Unlock()
	h.store.StepBack(back)
}

func (j *injector) failStore() {
	h, d := j.harness, j.event.Duration
	now := time.Now()
	h.mu.Lock()
	h.history.StoreFaults = append(h.history.StoreFaults, Interval{now, now.Add(d)})
	h.mu.Unlock()
	switch j.event.Kind {
	case StoreDown:
		h.store.SetFaults(standin.Faults{Down: true})
	case StoreSlow:
		h.store.SetFaults(standin.Faults{ResponseDelay: storeDelay})
	case StoreLoses:
		h.store.SetFaults(standin.Faults{LostResponses: 1 + j.event.Target%maxLostWrites, LostDelay: time.Duration(j.event.Target%2) * lateWriteDelay})
	case StoreForgets:
		h.store.DropHistory()
		return
	}
	time.Sleep(d)
	h.store.SetFaults(standin.Faults{})
}

func (j *injector) cutStoreLink(v *vm) {
	j.harness.recordVMFault(v, j.event.Duration)
	switch j.event.Kind {
	case CutReset:
		v.storeLink.SetCut(true)
	case CutSilent:
		v.storeLink.SetStalled(true, true)
	case CutOneWay:
		v.storeLink.SetStalled(false, true)
	}
	time.Sleep(j.event.Duration)
	v.storeLink.SetCut(false)
	v.storeLink.SetStalled(false, false)
}

// failEndpoint carries out an event that concerns an endpoint.
func (j *injector) failEndpoint(e *endpoint) error {
	h, d := j.harness, j.event.Duration
	now := time.Now()
	h.mu.Lock()
	h.history.EndpointFaults = append(h.history.EndpointFaults, Interval{now, now.Add(d + registrationExpiry + drainDuration)})
	h.mu.Unlock()
	switch j.event.Kind {
	case Crash, Reborn:
		return j.crash(e)
	case Leave:
		return j.drain(e)
	case SayLeaving:
		e.standIn.SetNotices(standin.Notices{Leaving: true})
		time.Sleep(drainDuration)
		e.standIn.Crash()
		e.standIn.SetNotices(standin.Notices{})
		return j.replace(e)
	case SayPause:
		e.standIn.SetNotices(standin.Notices{RetryAfter: strconv.FormatFloat(d.Seconds(), 'f', 2, 64)})
		e.standIn.SetBehaviour(standin.Rejects)
		time.Sleep(d)
		e.standIn.SetBehaviour(standin.Answers)
		e.standIn.SetNotices(standin.Notices{})
	case Misbehave:
		e.standIn.SetBehaviour(j.event.Behaviour)
		time.Sleep(d)
		e.standIn.SetBehaviour(standin.Answers)
	case SlowLink:
		e.link.SetDelay(linkDelay)
		time.Sleep(d)
		e.link.SetDelay(0)
	case SilentLink:
		e.link.SetStalled(true, true)
		time.Sleep(d)
		e.link.SetStalled(false, false)
	}
	return nil
}

// crash stops an endpoint without notice and restarts it later, under a new id
// for Crash and under the same id for Reborn.
func (j *injector) crash(e *endpoint) error {
	e.standIn.Crash()
	time.Sleep(j.event.Duration)
	if j.event.Kind == Crash {
		return j.replace(e)
	}
	return j.restart(e, e.standIn.ID())
}

// replace removes an endpoint's registration and restarts the endpoint under a
// new id.
func (j *injector) replace(e *endpoint) error {
	j.harness.store.Expire(e.standIn)
	j.harness.mu.Lock()
	e.incarnation++
	id := fmt.Sprintf("%s-%d", e.name, e.incarnation)
	j.harness.mu.Unlock()
	return j.restart(e, id)
}

func (j *injector) restart(e *endpoint, id string) error {
	if err := e.standIn.Start(id); err != nil {
		return err
	}
	return j.harness.register(e, false)
}

// drain registers an endpoint as draining, and replaces it after drainDuration.
func (j *injector) drain(e *endpoint) error {
	h := j.harness
	if err := h.register(e, true); err != nil {
		return err
	}
	h.mu.Lock()
	h.history.Drains = append(h.history.Drains, Drain{Endpoint: e.standIn.ID(), At: time.Now()})
	h.mu.Unlock()
	time.Sleep(drainDuration)
	e.standIn.Crash()
	return j.replace(e)
}
