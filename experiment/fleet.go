// Package experiment drives the core on virtual time against small fakes, to
// compare policies and to check invariants. Equal seeds give equal runs.
package experiment

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"hawthornspar/core"
	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// Delays of the fakes.
const (
	tickEvery    = 20 * time.Millisecond
	peerDelay    = time.Millisecond
	endpointTrip = time.Millisecond
	callTimeout  = time.Second
)

// Fleet is a set of routers with fakes of all that they speak to.
type Fleet struct {
	Now     time.Time
	Random  *rand.Rand
	Table   *Table
	Nodes   []*Node
	Engines []*Engine
	Results []*Result
	Policy  world.Policy
	Options []core.Option
	Counts  entity.Table[string, int64] // counters of all routers

	// OnRefusal is told of each refusal.
	OnRefusal func(n *Node, r *Result)

	queue   events
	serial  int64
	jobs    entity.Table[jobID, *job]
	listed  []entity.Listed
	cuts    entity.Table[cut, bool]
	started time.Time
}

type cut struct{ from, to string }

type jobID struct {
	node    string // incarnation
	request int64
}

// job is a submitted request as its caller knows it.
type job struct {
	result *Result
	node   *Node
	body   Body
}

// Body is the part of a request that only its endpoint sees.
type Body struct {
	Output int64 // tokens that the answer will have
}

// Result is what a caller got.
type Result struct {
	Label      string // the caller's own class
	Account    string
	Key        string
	Arrived    time.Time
	FirstAt    time.Time
	DoneAt     time.Time
	Answered   bool
	Billed     int64
	Reason     entity.Reason // of a refusal
	NotRun     bool
	Ran        int // attempts that reached an endpoint
	Tokens     int64
	Endpoint   string
	Charged    entity.ChargeKey
	Target     time.Duration
	Worth      int64
	Cost       int64 // tokens of work when it is run
	Output     int64 // tokens of its answer
	Resolved   bool
	Suspicious bool // crashes endpoints
}

// New returns a fleet of so many routers, spread over three failure domains.
func New(seed uint64, routers int, policy world.Policy, options ...core.Option) *Fleet {
	start := time.Unix(1_000_000, 0)
	f := &Fleet{
		Now: start, started: start, Random: rand.New(rand.NewPCG(seed, 1)),
		Table: NewTable(), Policy: policy, Options: options,
	}
	for i := range routers {
		domain := "d" + strconv.Itoa(i%3)
		f.Nodes = append(f.Nodes, &Node{fleet: f, Name: "r" + strconv.Itoa(i), Domain: domain})
	}
	f.List(f.Nodes...)
	for _, n := range f.Nodes {
		n.Start()
	}
	return f
}

// List sets the platform's list of VMs.
func (f *Fleet) List(nodes ...*Node) {
	f.listed = nil
	for _, n := range nodes {
		f.listed = append(f.listed, entity.Listed{Name: n.Name, Address: n.Name, Domain: n.Domain})
	}
}

// Cut separates two nodes, or joins them again.
func (f *Fleet) Cut(a, b *Node, separate bool) {
	f.cuts.Put(cut{a.Name, b.Name}, separate)
	f.cuts.Put(cut{b.Name, a.Name}, separate)
}

// Elapsed returns the virtual time since the start.
func (f *Fleet) Elapsed() time.Duration { return f.Now.Sub(f.started) }

// After calls do at a later time.
func (f *Fleet) After(d time.Duration, do func()) {
	f.serial++
	heap.Push(&f.queue, event{at: f.Now.Add(d), serial: f.serial, do: do})
}

// Run lets virtual time pass.
func (f *Fleet) Run(d time.Duration) {
	end := f.Now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(event)
		f.Now = e.at
		e.do()
	}
	f.Now = end
}

// event is something to do at a time; serial orders those at the same time.
type event struct {
	at     time.Time
	serial int64
	do     func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].serial < q[j].serial
	}
	return q[i].at.Before(q[j].at)
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// Submit sends a caller's request to a node.
func (f *Fleet) Submit(n *Node, s entity.Submission, body Body, result *Result) {
	result.Arrived = f.Now
	result.Account = s.KeyHash
	f.Results = append(f.Results, result)
	if !n.up {
		result.Reason, result.Resolved, result.NotRun = "entryDown", true, true
		return
	}
	n.submitted++
	s.ID = n.submitted
	if s.RequestKey == "" {
		f.serial++
		s.RequestKey = "k" + strconv.FormatInt(f.serial, 10)
	}
	result.Key = s.RequestKey
	result.Charged = entity.ChargeKey{Budget: s.KeyHash + "/main", RequestKey: s.RequestKey + "/" + s.Fingerprint[:min(len(s.Fingerprint), 8)]}
	f.jobs.Put(jobID{n.incarnation, s.ID}, &job{result: result, node: n, body: body})
	n.submissions.Put(s.ID, s)
	n.post(inbox.Submitted{Submission: s})
}

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
func (n *Node) Stop() { n.post(inbox.StopAsked{}) }

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
		if s, ok := c.(outbox.Send); ok {
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
	case outbox.Send:
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
	case outbox.Stopped:
		n.Stopped, n.up = true, false
	default:
		n.answer(command)
	}
}

func (n *Node) send(c outbox.Send) {
	f := n.fleet
	from := n.Router.World.Self
	if separate, _ := f.cuts.Get(cut{n.Name, c.To.Name}); separate {
		return
	}
	for _, to := range f.Nodes {
		if to.Name == c.To.Name {
			f.After(peerDelay, func() { to.post(inbox.PeerSaid{From: from, Message: c.Message}) })
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
	case outbox.Finish:
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
		n.later(peerDelay, inbox.ForwardEnded{Request: c.Request, Outcome: inbox.OutcomeAnswered})
		to.submitted++
		s.ID, s.Forwarded, s.MayHaveRun = to.submitted, true, c.MayHaveRun
		f.jobs.Put(jobID{to.incarnation, s.ID}, &job{result: j.result, node: to, body: j.body})
		to.submissions.Put(s.ID, s)
		f.After(peerDelay, func() { to.post(inbox.Submitted{Submission: s}) })
		return
	}
	n.later(callTimeout, inbox.ForwardEnded{Request: c.Request, Outcome: inbox.OutcomeNeverSent})
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
