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
	listed  []entity.ListedVM
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
	Label    string // the caller's own class
	Account  string
	Key      string
	Arrived  time.Time
	FirstAt  time.Time
	DoneAt   time.Time
	Answered bool
	Billed   int64
	Reason   entity.Reason // of a refusal
	NotRun   bool
	Ran      int // attempts that reached an endpoint
	Tokens   int64
	Endpoint string
	Charged  entity.ChargeKey
	Target   time.Duration
	Worth    int64
	Cost     int64 // tokens of work when it is run
	Output   int64 // tokens of its answer
	Resolved bool
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
		f.listed = append(f.listed, entity.ListedVM{Name: n.Name, Address: n.Name, Domain: n.Domain})
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
