// Package experiment runs the core in a discrete-event simulation. VMs, engines
// and the table service are simulated on virtual time, to compare policies and
// to check invariants. Runs with the same seed are identical.
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

// Delays in the simulation. Latencies are one-way.
const (
	tickInterval    = 20 * time.Millisecond
	peerLatency     = time.Millisecond
	endpointLatency = time.Millisecond
	requestTimeout  = time.Second // of requests to the table service and to peers
)

// Fleet simulates a set of VMs together with the table service, the engines and
// the platform's list of VMs.
type Fleet struct {
	Now      time.Time // virtual
	Random   *rand.Rand
	Table    *TableService
	VMs      []*VM
	Engines  []*Engine
	Results  []*Result
	Policy   world.Policy
	Options  []core.Option
	Counters entity.Table[string, int64] // of all VMs, by name and reason

	// OnRefusal, if set, is called for each request that the core refuses.
	OnRefusal func(vm *VM, r *Result)

	queue       eventQueue
	sequence    int64 // numbers events and generated requests
	pending     entity.Table[requestID, *pendingRequest]
	vmList      []entity.ListedVM
	partitioned entity.Table[link, bool]
	startTime   time.Time
}

// link is the connection between two VMs in one direction, by their names.
type link struct{ from, to string }

// requestID identifies a request in the fleet.
type requestID struct {
	incarnation string // of the VM that handles it
	request     int64  // its number on that VM
}

// pendingRequest is a submitted request whose caller waits for the outcome.
type pendingRequest struct {
	result *Result
	vm     *VM
	body   Body
}

// Body is the part of a request that only its endpoint sees.
type Body struct {
	OutputTokens int64 // length of the response
}

// Result describes a request and its outcome: what its caller received, and how
// often the request ran.
type Result struct {
	Label            string // class of requests, for summaries
	Account          string // hash of the API key, which is the account's name
	RequestKey       string
	ArrivedAt        time.Time
	FirstTokenAt     time.Time // of the first attempt that produced one
	DoneAt           time.Time
	Completed        bool // the caller received a complete response
	BilledTokens     int64
	RefusalReason    entity.Reason    // of the refusal, or "joined", "entryDied" or "entryDown"
	NotRun           bool             // the refusal says that no endpoint ran the request
	Attempts         int              // attempts that an engine started or queued
	Tokens           int64            // unused
	Endpoint         string           // of the latest attempt that ended
	ChargeKey        entity.ChargeKey // of its charge in the ledger
	FirstTokenTarget time.Duration    // target time to first token
	Worth            int64            // value of meeting the target, as in entity.Rank
	WorkTokens       int64            // tokens that an engine bills for it
	OutputTokens     int64            // length of the response
	Resolved         bool             // the outcome is known
}

// New returns a fleet of started VMs, spread over three failure domains.
func New(seed uint64, vms int, policy world.Policy, options ...core.Option) *Fleet {
	start := time.Unix(1_000_000, 0)
	f := &Fleet{
		Now: start, startTime: start, Random: rand.New(rand.NewPCG(seed, 1)),
		Table: NewTableService(), Policy: policy, Options: options,
	}
	for i := range vms {
		domain := "d" + strconv.Itoa(i%3)
		f.VMs = append(f.VMs, &VM{fleet: f, Name: "r" + strconv.Itoa(i), Domain: domain})
	}
	f.SetVMList(f.VMs...)
	for _, vm := range f.VMs {
		vm.Start()
	}
	return f
}

// SetVMList sets the list of VMs that the platform reports.
func (f *Fleet) SetVMList(vms ...*VM) {
	f.vmList = nil
	for _, vm := range vms {
		f.vmList = append(f.vmList, entity.ListedVM{Name: vm.Name, Address: vm.Name, Domain: vm.Domain})
	}
}

// SetPartitioned partitions the network between two VMs, or heals it.
func (f *Fleet) SetPartitioned(a, b *VM, partitioned bool) {
	f.partitioned.Put(link{a.Name, b.Name}, partitioned)
	f.partitioned.Put(link{b.Name, a.Name}, partitioned)
}

// Elapsed returns the virtual time since the start.
func (f *Fleet) Elapsed() time.Duration { return f.Now.Sub(f.startTime) }

// After schedules a callback after d of virtual time.
func (f *Fleet) After(d time.Duration, callback func()) {
	f.sequence++
	heap.Push(&f.queue, event{at: f.Now.Add(d), sequence: f.sequence, callback: callback})
}

// Run advances virtual time by d and runs the callbacks that fall due.
func (f *Fleet) Run(d time.Duration) {
	end := f.Now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(event)
		f.Now = e.at
		e.callback()
	}
	f.Now = end
}

// event is a callback at a time. Events at the same time run in the order of
// their sequence numbers, so that runs are repeatable.
type event struct {
	at       time.Time
	sequence int64
	callback func()
}

// eventQueue is a heap of events, ordered by time and sequence number.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// Submit sends a caller's request to a VM and records its outcome in result. A
// request without a key gets a unique one.
func (f *Fleet) Submit(vm *VM, s entity.Submission, body Body, result *Result) {
	result.ArrivedAt = f.Now
	result.Account = s.KeyHash
	f.Results = append(f.Results, result)
	if !vm.up {
		result.RefusalReason, result.Resolved, result.NotRun = "entryDown", true, true
		return
	}
	vm.lastRequest++
	s.ID = vm.lastRequest
	if s.RequestKey == "" {
		f.sequence++
		s.RequestKey = "k" + strconv.FormatInt(f.sequence, 10)
	}
	result.RequestKey = s.RequestKey
	result.ChargeKey = entity.ChargeKey{Budget: s.KeyHash + "/main", RequestKey: s.RequestKey + "/" + s.Fingerprint[:min(len(s.Fingerprint), 8)]}
	f.pending.Put(requestID{vm.incarnation, s.ID}, &pendingRequest{result: result, vm: vm, body: body})
	vm.submissions.Put(s.ID, s)
	vm.post(inbox.Submitted{Submission: s})
}
