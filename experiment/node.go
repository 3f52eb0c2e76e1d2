package experiment

import (
	"strconv"
	"time"

	"hawthornspar/core"
	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
)

// Node is one router VM.
type Node struct {
	Name   string
	Domain string
	Router *core.Router

	fleet       *Fleet
	incarnation string
	starts      int
	up          bool
	frozen      bool
	TableCut    bool // the table cannot be reached from here
	pending     []inbox.Event
	stepping    bool
	submitted   int64
	submissions entity.Table[int64, entity.Submission]
	Fenced      bool
	Stopped     bool
	meter       *meter
}

// Start begins a new incarnation with an empty memory.
func (n *Node) Start() {
	n.starts++
	n.incarnation = n.Name + "." + strconv.Itoa(n.starts)
	self := entity.VM{Name: n.Name, Incarnation: n.incarnation, Address: n.Name, Domain: n.Domain}
	options := append([]core.Option{core.WithPolicy(n.fleet.Policy), core.WithSeed(n.fleet.Random.Uint64())}, n.fleet.Options...)
	n.Router = core.New(self, options...)
	n.up, n.frozen, n.Fenced, n.Stopped, n.stepping = true, false, false, false, false
	n.pending = nil
	n.submissions = entity.Table[int64, entity.Submission]{}
	n.tick(n.incarnation)
}

// Crash ends the node at once. Its callers get nothing more.
func (n *Node) Crash() {
	n.up = false
	for _, id := range n.submissions.Keys() {
		n.resolve(id, func(r *Result) { r.Reason = "entryDied" })
	}
}

// Freeze stops the node's process without ending it.
func (n *Node) Freeze() { n.frozen = true }

// Thaw lets it go on.
func (n *Node) Thaw() {
	n.frozen = false
	n.schedule(0)
}

// Stop asks for a graceful shutdown.
func (n *Node) Stop() { n.post(inbox.ShutdownRequested{}) }

// Up tells whether the node runs.
func (n *Node) Up() bool { return n.up }

func (n *Node) tick(incarnation string) {
	if n.incarnation != incarnation || !n.up {
		return
	}
	n.step()
	n.fleet.After(tickEvery, func() { n.tick(incarnation) })
}

// post delivers an event; the node steps at once.
func (n *Node) post(e inbox.Event) {
	if !n.up {
		return
	}
	n.pending = append(n.pending, e)
	n.schedule(0)
}

func (n *Node) schedule(d time.Duration) {
	if n.stepping {
		return
	}
	n.stepping = true
	n.fleet.After(d, func() {
		n.stepping = false
		n.step()
	})
}

func (n *Node) step() {
	if !n.up || n.frozen {
		return
	}
	events := n.pending
	n.pending = nil
	for _, c := range n.decide(events) {
		n.execute(c)
	}
}

// decide steps the core, and measures it if asked to.
func (n *Node) decide(events []inbox.Event) []outbox.Command {
	if n.meter == nil {
		return n.Router.Step(n.fleet.Now, events)
	}
	start := n.meter.clock.Now()
	commands := n.Router.Step(n.fleet.Now, events)
	n.meter.spent += n.meter.clock.Now().Sub(start)
	for _, c := range commands {
		if s, ok := c.(outbox.SendMessage); ok {
			n.meter.message(s)
		}
	}
	return commands
}

// later posts an event to this incarnation after a delay.
func (n *Node) later(d time.Duration, e inbox.Event) {
	incarnation := n.incarnation
	n.fleet.After(d, func() {
		if n.incarnation == incarnation {
			n.post(e)
		}
	})
}

func (n *Node) execute(command outbox.Command) {
	f := n.fleet
	switch c := command.(type) {
	case outbox.Transact:
		f.Table.transact(n, c)
	case outbox.Read:
		f.Table.read(n, c)
	case outbox.ListVMs:
		n.later(peerDelay, inbox.ListDone{OK: true, VMs: f.listed})
	case outbox.SendMessage:
		n.send(c)
	case outbox.StartAttempt:
		n.start(c)
	case outbox.CancelAttempt:
		n.cancel(c)
	case outbox.Count:
		key := c.Counter + "." + c.Reason
		k, _ := f.Counts.Get(key)
		f.Counts.Put(key, k+1)
	case outbox.Fenced:
		n.Fenced = true
		n.Crash()
	case outbox.ShutdownComplete:
		n.Stopped, n.up = true, false
	default:
		n.answer(command)
	}
}

func (n *Node) send(c outbox.SendMessage) {
	f := n.fleet
	from := n.Router.World.Self
	if separate, _ := f.cuts.Get(cut{n.Name, c.To.Name}); separate {
		return
	}
	for _, to := range f.Nodes {
		if to.Name == c.To.Name {
			f.After(peerDelay, func() { to.post(inbox.PeerMessage{From: from, Message: c.Message}) })
		}
	}
}

// answer takes the commands that end a caller's wait.
func (n *Node) answer(command outbox.Command) {
	switch c := command.(type) {
	case outbox.Refuse:
		n.resolve(c.Request, func(r *Result) {
			r.Reason, r.NotRun = c.Refusal.Reason, c.Refusal.NotRun()
			if n.fleet.OnRefusal != nil {
				n.fleet.OnRefusal(n, r)
			}
		})
	case outbox.ReleaseLastFrame:
		n.resolve(c.Request, func(r *Result) { r.Answered, r.Billed = true, c.Billed })
	case outbox.Replay:
		n.resolve(c.Request, func(r *Result) { r.Answered = true })
	case outbox.Join:
		n.resolve(c.Request, func(r *Result) { r.Reason = "joined" })
	case outbox.Forward:
		n.forward(c)
	}
}

// forward passes a request on to a peer, which answers the caller.
func (n *Node) forward(c outbox.Forward) {
	f := n.fleet
	j, ok := f.jobs.Get(jobID{n.incarnation, c.Request})
	if !ok {
		return
	}
	separate, _ := f.cuts.Get(cut{n.Name, c.To.Name})
	for _, to := range f.Nodes {
		if to.Name != c.To.Name || !to.up || to.frozen || separate {
			continue
		}
		s, _ := n.submissions.Get(c.Request)
		f.jobs.Delete(jobID{n.incarnation, c.Request})
		n.later(peerDelay, inbox.ForwardEnded{Request: c.Request, Outcome: inbox.OutcomeCompleted})
		to.submitted++
		s.ID, s.Forwarded, s.MayHaveRun = to.submitted, true, c.MayHaveRun
		f.jobs.Put(jobID{to.incarnation, s.ID}, &job{result: j.result, node: to, body: j.body})
		to.submissions.Put(s.ID, s)
		f.After(peerDelay, func() { to.post(inbox.Submitted{Submission: s}) })
		return
	}
	n.later(callTimeout, inbox.ForwardEnded{Request: c.Request, Outcome: inbox.OutcomeNotSent})
}

func (n *Node) resolve(request int64, set func(*Result)) {
	id := jobID{n.incarnation, request}
	n.submissions.Delete(request)
	j, ok := n.fleet.jobs.Get(id)
	if !ok {
		return
	}
	n.fleet.jobs.Delete(id)
	j.result.DoneAt = n.fleet.Now
	j.result.Resolved = true
	set(j.result)
}
