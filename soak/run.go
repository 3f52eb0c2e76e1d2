package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"hawthornspar/platform/standin"
	"hawthornspar/standin/link"
)

// Shape of a run.
const (
	endpointsEach = 3 // of each service
	callersEach   = 2 // of each VM
	// startWait is how long a process may take from its start to readiness.
	startWait = 2 * time.Second
	// warmUp passes before the first fault, and calmDown after the last: longer
	// than a VM that lost all needs to serve again.
	warmUp   = 3 * time.Second
	calmDown = 11 * time.Second
	// judgeFrom is the part of calmDown after which requests must be served.
	judgeFrom = 9 * time.Second
	// endpointPace is the time for an answer or an event.
	endpointPace = 8 * time.Millisecond
	prepaidFirst = 150_000
	topUpTokens  = 40_000
	markersKept  = 3
)

// Options are what may be chosen for a run.
type Options struct {
	Seed   uint64
	VMs    int
	Faults time.Duration // the span over which faults come
	Count  int           // of faults
	Out    io.Writer
}

// Run is one run of the soak.
type Run struct {
	options   Options
	folder    Folder
	store     *standin.Store
	vms       []*vm
	endpoints []*endpoint
	begun     time.Time

	mu       sync.Mutex
	document standin.Document
	markers  []int64 // all that ever were
	history  History
}

// endpoint is a stand-in with its link.
type endpoint struct {
	service string
	name    string
	lives   int
	standIn *standin.Endpoint
	link    *link.Link
	address string
}

// New sets up stand-ins and the VMs' settings.
func New(o Options, f Folder) (*Run, error) {
	r := &Run{options: o, folder: f, history: History{Disturbed: map[string][]Span{}}}
	var err error
	if r.store, err = standin.NewStore(); err != nil {
		return nil, err
	}
	for _, service := range []string{standin.ModelService, standin.AppService} {
		for i := range endpointsEach {
			if err := r.addEndpoint(service, fmt.Sprintf("%s%d", service, i)); err != nil {
				return nil, err
			}
		}
	}
	r.document.Accounts = []standin.Account{{Name: "acme", Key: "key-of-acme", Prepaid: prepaidFirst}, {Name: "bolt", Key: "key-of-bolt", Prepaid: prepaidFirst / 3}}
	if err := r.configure(); err != nil {
		return nil, err
	}
	return r, r.addVMs()
}

func (r *Run) addEndpoint(service, name string) error {
	standIn, err := standin.NewEndpoint(name + "-1")
	if err != nil {
		return err
	}
	standIn.Pace = endpointPace
	k, address, err := newLink(standIn.Address)
	if err != nil {
		return err
	}
	e := &endpoint{service: service, name: name, lives: 1, standIn: standIn, link: k, address: address}
	r.endpoints = append(r.endpoints, e)
	return r.register(e, false)
}

// register writes an endpoint's entry with the address of its link.
func (r *Run) register(e *endpoint, draining bool) error {
	return r.store.RegisterAt(e.service, e.standIn, e.address, draining)
}

func (r *Run) addVMs() error {
	var seeds []string
	for i := range r.options.VMs {
		v, err := newVM(fmt.Sprintf("vm%d", i), r.store.Address)
		if err != nil {
			return err
		}
		r.vms = append(r.vms, v)
		if len(seeds) < 3 {
			seeds = append(seeds, v.control)
		}
	}
	for _, v := range r.vms {
		if err := r.folder.Write(v.name+".conf", v.settings(seeds)); err != nil {
			return err
		}
	}
	return nil
}

// Play plays the schedule and returns what was seen.
func (r *Run) Play() *History {
	time.Sleep(startWait + time.Second)
	r.begun = time.Now()
	ctx, stop := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i, v := range r.vms {
		for j := range callersEach {
			c := &caller{
				run: r, vm: v, number: i*callersEach + j, done: &callers, client: standin.NewClient(v.listen),
				random: rand.New(rand.NewPCG(r.options.Seed, uint64(100+i*callersEach+j))),
			}
			callers.Add(1)
			go c.loop(ctx)
		}
	}
	time.Sleep(warmUp)
	r.playFaults()
	r.history.Calm = time.Now().Add(judgeFrom)
	time.Sleep(calmDown)
	stop()
	callers.Wait()
	time.Sleep(time.Second) // late writes reach endpoints
	return r.finish()
}

// playFaults plays the schedule and waits for the end of all faults.
func (r *Run) playFaults() {
	var faults sync.WaitGroup
	begun := time.Now()
	for _, e := range Schedule(r.options.Seed, r.options.Faults, r.options.Count) {
		fmt.Fprintln(r.options.Out, e)
		p := &player{soak: r, event: e, begun: begun, done: &faults}
		faults.Add(1)
		go p.run()
	}
	faults.Wait()
}

// finish collects what the endpoints saw.
func (r *Run) finish() *History {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.endpoints {
		r.history.Runs = append(r.history.Runs, e.standIn.Runs()...)
	}
	for _, v := range r.vms {
		if text, err := r.folder.Read(v.name + ".log"); err == nil && crashed(text) {
			r.history.Ends = append(r.history.Ends, End{VM: v.name})
		}
	}
	r.history.Over = time.Now()
	return &r.history
}

// crashed tells whether a daemon's output shows that it ended by itself.
func crashed(output string) bool {
	for _, sign := range []string{"\npanic: ", "\nfatal error: ", "WARNING: DATA RACE"} {
		if strings.Contains(output, sign) {
			return true
		}
	}
	return false
}

func (r *Run) record(a Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Attempts = append(r.history.Attempts, a)
}

func (r *Run) accounts() []standin.Account {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.document.Accounts
}

func (r *Run) keyOf(account string) string {
	for _, a := range r.accounts() {
		if a.Name == account {
			return a.Key
		}
	}
	return ""
}

// someMarker returns a version that has, had or never had a route.
func (r *Run) someMarker(random *rand.Rand) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.markers[random.IntN(len(r.markers))]
}

// configure writes the next version: a route of its own is added, the oldest of
// such routes removed.
func (r *Run) configure() error {
	return r.change(func(d *standin.Document) {
		d.Version += 3
		d.Markers = append(slices.Clone(d.Markers), d.Version)
		d.Markers = d.Markers[max(0, len(d.Markers)-markersKept):]
		r.markers = append(r.markers, d.Version)
	})
}

// topUp raises the budget of an account.
func (r *Run) topUp(account int) error {
	return r.change(func(d *standin.Document) {
		d.Version++
		d.Accounts = slices.Clone(d.Accounts)
		d.Accounts[account%len(d.Accounts)].Prepaid += topUpTokens
	})
}

// change edits the document, which shares no slice with earlier ones, and
// writes it. The edit holds the lock.
func (r *Run) change(edit func(*standin.Document)) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	edit(&r.document)
	err := r.store.Configure(r.document)
	r.history.Changes = append(r.history.Changes, Change{At: time.Now(), Document: r.document})
	return err
}
