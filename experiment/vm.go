package experiment

import (
	"strconv"
	"time"

	"hawthornspar/core"
	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
)

// VM simulates a VM that runs a core.Router. Its requests to the table service,
// to engines and to other VMs are events on virtual time.
type VM struct {
	Name   string
	Domain string
	Router *core.Router

	fleet            *Fleet
	incarnation      string
	startCount       int           // numbers the incarnations
	up               bool          // the process exists, frozen or not
	frozen           bool          // the process exists but runs no steps
	TableUnreachable bool          // requests from this VM to the table service time out
	MessageDelay     time.Duration // additional delay of messages from other VMs
	events           []inbox.Event // input of the next step
	stepScheduled    bool
	lastRequest      int64                                  // number of the latest request
	submissions      entity.Table[int64, entity.Submission] // requests without an outcome
	Fenced           bool                                   // this incarnation learnt that it was fenced, and ended
	Stopped          bool                                   // the graceful shutdown is complete
	meter            *meter                                 // nil unless the VM is measured
}

// Start starts a new incarnation, which knows nothing of earlier ones.
func (vm *VM) Start() {
	vm.startCount++
	vm.incarnation = vm.Name + "." + strconv.Itoa(vm.startCount)
	self := entity.VM{Name: vm.Name, Incarnation: vm.incarnation, Address: vm.Name, Domain: vm.Domain}
	options := append([]core.Option{core.WithPolicy(vm.fleet.Policy), core.WithSeed(vm.fleet.Random.Uint64())}, vm.fleet.Options...)
	vm.Router = core.New(self, options...)
	vm.up, vm.frozen, vm.Fenced, vm.Stopped, vm.stepScheduled = true, false, false, false, false
	vm.events = nil
	vm.submissions = entity.Table[int64, entity.Submission]{}
	vm.tick(vm.incarnation)
}

// Crash ends the process without notice. Its callers get no response.
func (vm *VM) Crash() {
	vm.up = false
	for _, id := range vm.submissions.Keys() {
		vm.resolve(id, func(r *Result) { r.RefusalReason = "entryDied" })
	}
}

// Freeze suspends the process, as when a VM is paused. Events still arrive
// and wait for Thaw.
func (vm *VM) Freeze() { vm.frozen = true }

// Thaw resumes a frozen process.
func (vm *VM) Thaw() {
	vm.frozen = false
	vm.scheduleStep(0)
}

// Stop begins a graceful shutdown.
func (vm *VM) Stop() { vm.post(inbox.ShutdownRequested{}) }

// Up reports whether the process exists. A frozen process is up.
func (vm *VM) Up() bool { return vm.up }

// tick steps the VM every tickInterval for as long as the incarnation is up.
func (vm *VM) tick(incarnation string) {
	if vm.incarnation != incarnation || !vm.up {
		return
	}
	vm.step()
	vm.fleet.After(tickInterval, func() { vm.tick(incarnation) })
}

// post delivers an event and schedules a step for the same virtual time.
func (vm *VM) post(e inbox.Event) {
	if !vm.up {
		return
	}
	vm.events = append(vm.events, e)
	vm.scheduleStep(0)
}

// scheduleStep schedules a step unless one is scheduled already, so that the
// events until then are handled together.
func (vm *VM) scheduleStep(d time.Duration) {
	if vm.stepScheduled {
		return
	}
	vm.stepScheduled = true
	vm.fleet.After(d, func() {
		vm.stepScheduled = false
		vm.step()
	})
}

// step passes the waiting events to the router and executes its commands.
func (vm *VM) step() {
	if !vm.up || vm.frozen {
		return
	}
	events := vm.events
	vm.events = nil
	for _, c := range vm.stepRouter(events) {
		vm.execute(c)
	}
}

// stepRouter steps the router. With a meter it measures the time of the step and
// the messages sent.
func (vm *VM) stepRouter(events []inbox.Event) []outbox.Command {
	if vm.meter == nil {
		return vm.Router.Step(vm.fleet.Now, events)
	}
	start := vm.meter.clock.Now()
	commands := vm.Router.Step(vm.fleet.Now, events)
	vm.meter.stepTime += vm.meter.clock.Now().Sub(start)
	for _, c := range commands {
		if s, ok := c.(outbox.SendMessage); ok {
			vm.meter.countMessage(s)
		}
	}
	return commands
}

// postAfter posts an event after a delay, unless another incarnation has
// started by then.
func (vm *VM) postAfter(d time.Duration, e inbox.Event) {
	incarnation := vm.incarnation
	vm.fleet.After(d, func() {
		if vm.incarnation == incarnation {
			vm.post(e)
		}
	})
}

// execute simulates the effect of a command.
func (vm *VM) execute(command outbox.Command) {
	f := vm.fleet
	switch c := command.(type) {
	case outbox.Transact:
		f.Table.transact(vm, c)
	case outbox.Read:
		f.Table.read(vm, c)
	case outbox.ListVMs:
		vm.postAfter(peerLatency, inbox.ListDone{OK: true, VMs: f.vmList})
	case outbox.SendMessage:
		vm.sendMessage(c)
	case outbox.StartAttempt:
		vm.startAttempt(c)
	case outbox.CancelAttempt:
		vm.cancelAttempt(c)
	case outbox.Count:
		key := c.Counter + "." + c.Reason
		count, _ := f.Counters.Get(key)
		f.Counters.Put(key, count+1)
	case outbox.Fenced:
		vm.Fenced = true
		vm.Crash()
	case outbox.ShutdownComplete:
		vm.Stopped, vm.up = true, false
	default:
		vm.executeOutcome(command)
	}
}

// sendMessage delivers a message to a peer, or loses it if the link is
// partitioned.
func (vm *VM) sendMessage(c outbox.SendMessage) {
	f := vm.fleet
	from := vm.Router.World.Self
	if partitioned, _ := f.partitioned.Get(link{vm.Name, c.To.Name}); partitioned {
		return
	}
	for _, to := range f.VMs {
		if to.Name == c.To.Name {
			f.After(peerLatency+to.MessageDelay, func() { to.post(inbox.PeerMessage{From: from, Message: c.Message}) })
		}
	}
}

// executeOutcome executes the commands that end a request on this VM.
func (vm *VM) executeOutcome(command outbox.Command) {
	switch c := command.(type) {
	case outbox.Refuse:
		vm.resolve(c.Request, func(r *Result) {
			r.RefusalReason, r.NotRun = c.Refusal.Reason, c.Refusal.NotRun()
			if vm.fleet.OnRefusal != nil {
				vm.fleet.OnRefusal(vm, r)
			}
		})
	case outbox.ReleaseLastFrame:
		vm.resolve(c.Request, func(r *Result) { r.Completed, r.BilledTokens = true, c.Billed })
	case outbox.Replay:
		vm.resolve(c.Request, func(r *Result) { r.Completed = true })
	case outbox.Join:
		vm.resolve(c.Request, func(r *Result) { r.RefusalReason = "joined" })
	case outbox.Forward:
		vm.forward(c)
	}
}

// forward passes a request on to a peer, which then responds to the caller. If
// the peer is unreachable, the forward fails after requestTimeout.
func (vm *VM) forward(c outbox.Forward) {
	f := vm.fleet
	p, ok := f.pending.Get(requestID{vm.incarnation, c.Request})
	if !ok {
		return
	}
	partitioned, _ := f.partitioned.Get(link{vm.Name, c.To.Name})
	for _, to := range f.VMs {
		if to.Name != c.To.Name || !to.up || to.frozen || partitioned {
			continue
		}
		s, _ := vm.submissions.Get(c.Request)
		f.pending.Delete(requestID{vm.incarnation, c.Request})
		vm.postAfter(peerLatency, inbox.ForwardEnded{Request: c.Request, Outcome: inbox.OutcomeCompleted})
		to.lastRequest++
		s.ID, s.Forwarded, s.MayHaveRun, s.CrashedEndpoints = to.lastRequest, true, c.MayHaveRun, c.CrashedEndpoints
		f.pending.Put(requestID{to.incarnation, s.ID}, &pendingRequest{result: p.result, vm: to, body: p.body})
		to.submissions.Put(s.ID, s)
		f.After(peerLatency, func() { to.post(inbox.Submitted{Submission: s}) })
		return
	}
	vm.postAfter(requestTimeout, inbox.ForwardEnded{Request: c.Request, Outcome: inbox.OutcomeNotSent})
}

// resolve records a request's outcome, which set fills in. A request that has an
// outcome already keeps it.
func (vm *VM) resolve(request int64, set func(*Result)) {
	id := requestID{vm.incarnation, request}
	vm.submissions.Delete(request)
	p, ok := vm.fleet.pending.Get(id)
	if !ok {
		return
	}
	vm.fleet.pending.Delete(id)
	p.result.DoneAt = vm.fleet.Now
	p.result.Resolved = true
	set(p.result)
}
