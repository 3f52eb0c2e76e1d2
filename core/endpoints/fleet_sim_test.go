package endpoints

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"hawthornspar/core/endpointload"
)

// simKind is one kind of requests of the mix.
type simKind struct {
	name        string
	perSecond   float64
	own, shared int64 // mean tokens
	spread      float64
	aim         time.Duration
}

var simKinds = []simKind{
	{"long", 86, 6_610, 5_382, 1.4, time.Second},
	{"short", 82, 628, 198, 0.5, 400 * time.Millisecond},
	{"tags", 111, 1_800, 568, 0.3, 500 * time.Millisecond},
}

const (
	simTokensPerMs = 55.0
	simBase        = 30 * time.Millisecond
	simPrefixes    = 369
	simMaxOwn      = 54_600
	simLong        = 4_000 // own tokens from which a request is reported at once
	simCacheTTL    = 20 * time.Second
)

// simEngine reads prompts first come first served.
type simEngine struct {
	speed  float64
	freeAt time.Time
	cached map[string]time.Time
}

// read queues a prompt and returns when it is read.
func (e *simEngine) read(prefix string, shared, own int64, now time.Time) time.Time {
	tokens := own
	if last, ok := e.cached[prefix]; !ok || now.Sub(last) > simCacheTTL {
		tokens += shared
	}
	e.cached[prefix] = now
	e.freeAt = later(e.freeAt, now).Add(time.Duration(float64(tokens) / simTokensPerMs / e.speed * float64(time.Millisecond)))
	return e.freeAt
}

// simVM is one VM with its table.
type simVM struct {
	name, domain string
	table        *Table
	sequence     int64
	inFlight     int
	reporting    bool // an exchange is scheduled
	exchangedAt  time.Time
}

// simEvent is what happens at a time.
type simEvent struct {
	at time.Time
	do func()
}

type simEvents []simEvent

func (h simEvents) Len() int           { return len(h) }
func (h simEvents) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h simEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(e any)        { *h = append(*h, e.(simEvent)) }
func (h *simEvents) Pop() any {
	e := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return e
}

// simResult is what one kind's requests saw.
type simResult struct {
	firstMs, errors []float64
	late            int
}

// fleetSim is a fleet of VMs that share engines, on virtual time.
type fleetSim struct {
	random     *rand.Rand
	now        time.Time
	events     simEvents
	vms        []*simVM
	engines    map[string]*simEngine
	collectors map[string]*endpointload.Collector // by domain; nil for the choice by own load
	measured   bool
	results    map[string]*simResult
	maxBacklog time.Duration
}

var simDomains = []string{"north", "south", "west"}

func newFleetSim(vms, engines int, shared bool, seed uint64) *fleetSim {
	s := &fleetSim{random: rand.New(rand.NewPCG(seed, 1)), now: testStart, engines: map[string]*simEngine{}, results: map[string]*simResult{}}
	for _, k := range simKinds {
		s.results[k.name] = &simResult{}
	}
	if shared {
		s.collectors = map[string]*endpointload.Collector{}
		for _, d := range simDomains {
			s.collectors[d] = endpointload.NewCollector(d)
		}
	}
	for i := range vms {
		v := &simVM{name: fmt.Sprintf("vm%d", i), domain: simDomains[i%3], table: NewTable()}
		for j := range engines {
			v.table.Put(Registration{ID: fmt.Sprintf("e%d", j), Service: "models", Domain: simDomains[j/3%3], Slots: 64})
		}
		v.table.SetFleetShare(s.share(i, vms))
		s.vms = append(s.vms, v)
	}
	for j := range engines {
		s.engines[fmt.Sprintf("e%d", j)] = &simEngine{speed: []float64{0.7, 0.7, 1.7}[j%3], cached: map[string]time.Time{}}
	}
	return s
}

// share returns the part of all requests that a VM gets: five make a third.
func (s *fleetSim) share(i, vms int) float64 {
	if i < 5 {
		return 1.0 / 15
	}
	return 2.0 / 3 / float64(vms-5)
}

func (s *fleetSim) after(d time.Duration, do func()) {
	heap.Push(&s.events, simEvent{s.now.Add(d), do})
}

// run simulates a warm-up and then what is measured.
func (s *fleetSim) run(warmUp, measured time.Duration) {
	for i := range simKinds {
		s.arrive(simKinds[i])
	}
	if s.collectors != nil {
		s.exchangeSums()
	}
	end := s.now.Add(warmUp + measured)
	s.after(warmUp, func() { s.measured = true })
	for s.now.Before(end) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
}

// arrive schedules the arrivals of a kind.
func (s *fleetSim) arrive(k simKind) {
	s.after(time.Duration(s.random.ExpFloat64()/k.perSecond*float64(time.Second)), func() {
		s.send(k)
		s.arrive(k)
	})
}

// pickVM returns the VM of the next request.
func (s *fleetSim) pickVM() *simVM {
	if s.random.Float64() < 1.0/3 {
		return s.vms[s.random.IntN(5)]
	}
	return s.vms[5+s.random.IntN(len(s.vms)-5)]
}

// send places one request and queues it at its engine.
func (s *fleetSim) send(k simKind) {
	v := s.pickVM()
	own := int64(float64(k.own) * math.Exp(k.spread*s.random.NormFloat64()-k.spread*k.spread/2))
	own = min(max(own, 1), simMaxOwn)
	prefix := fmt.Sprint(k.name, s.random.IntN(simPrefixes))
	r := Request{
		Service: "models", PromptTokens: k.shared + own, Target: k.aim,
		PrefixBlocks: []PrefixBlock{{ID: prefix, Tokens: k.shared}, {ID: "own", Tokens: own}},
	}
	if s.now.Sub(v.exchangedAt) > 100*time.Millisecond {
		s.exchange(v)
	}
	a := v.table.StartAttempt(r, nil, v.domain, s.random, s.now)
	e := s.engines[a.Endpoint.ID]
	first := e.read(prefix, k.shared, own, s.now).Add(simBase).Sub(s.now)
	s.record(k, a, first, e.freeAt.Sub(s.now))
	v.inFlight++
	s.exchangeRegularly(v)
	if own > simLong {
		s.exchange(v)
	}
	s.after(first, func() { a.FirstChunk(s.now) })
	s.after(first+time.Duration(s.random.ExpFloat64()*float64(2*time.Second)), func() {
		a.End(Succeeded, s.now)
		v.inFlight--
	})
}

// record adds a request to the results.
func (s *fleetSim) record(k simKind, a *Attempt, first, backlog time.Duration) {
	if !s.measured {
		return
	}
	r := s.results[k.name]
	r.firstMs = append(r.firstMs, milliseconds(first))
	r.errors = append(r.errors, math.Abs(a.PredictedMs/milliseconds(first)-1))
	if first > k.aim {
		r.late++
	}
	s.maxBacklog = max(s.maxBacklog, backlog)
}

// exchange reports a VM's load to its collector and takes the summary.
func (s *fleetSim) exchange(v *simVM) {
	c := s.collectors[v.domain]
	if c == nil {
		return
	}
	v.sequence++
	v.exchangedAt = s.now
	c.Apply(endpointload.Report{VM: v.name, Domain: v.domain, Sequence: v.sequence, Loads: v.table.OwnLoads(), Observations: v.table.TakeObservations()}, s.now)
	v.table.SetOthers(c.SummaryFor(v.name, s.now), s.now)
}

// exchangeRegularly exchanges every 400 ms while the VM has requests in flight.
func (s *fleetSim) exchangeRegularly(v *simVM) {
	if v.reporting {
		return
	}
	v.reporting = true
	s.after(400*time.Millisecond, func() {
		v.reporting = false
		s.exchange(v)
		if v.inFlight > 0 {
			s.exchangeRegularly(v)
		}
	})
}

// exchangeSums exchanges the collectors' sums every 200 ms.
func (s *fleetSim) exchangeSums() {
	for _, from := range simDomains {
		sum := s.collectors[from].DomainSum(s.now)
		for _, to := range simDomains {
			s.collectors[to].ApplyDomain(sum, s.now)
		}
	}
	s.after(200*time.Millisecond, s.exchangeSums)
}

// quantile returns the value below which a part of the values lies.
func quantile(values []float64, part float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(part*float64(len(sorted)-1))]
}

// lateShare returns the share of a kind's requests that missed its aim.
func (s *fleetSim) lateShare(kind string) float64 {
	r := s.results[kind]
	return float64(r.late) / float64(len(r.firstMs))
}

// errorAt returns a quantile of the prediction's relative error over all kinds.
func (s *fleetSim) errorAt(part float64) float64 {
	var all []float64
	for _, r := range s.results {
		all = append(all, r.errors...)
	}
	return quantile(all, part)
}

// table returns the results as lines.
func (s *fleetSim) table() string {
	text := ""
	for _, k := range simKinds {
		r := s.results[k.name]
		text += fmt.Sprintf("%-6s late %5.1f%%  first event p50 %5.0f ms  p95 %5.0f ms  p99 %5.0f ms  error p50 %3.0f%%  p95 %4.0f%%\n", k.name, 100*s.lateShare(k.name),
			quantile(r.firstMs, 0.5), quantile(r.firstMs, 0.95), quantile(r.firstMs, 0.99), 100*quantile(r.errors, 0.5), 100*quantile(r.errors, 0.95))
	}
	return text + fmt.Sprintf("largest backlog %d ms, error p50 %.0f%%, p95 %.0f%%\n", s.maxBacklog.Milliseconds(), 100*s.errorAt(0.5), 100*s.errorAt(0.95))
}
