// Package soak injects random faults into real daemons that run as separate
// processes, and checks the system's invariants against what callers, endpoints
// and the store recorded. A seed determines the schedule of faults.
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

// Times and sizes of a run.
const (
	endpointsPerService = 3
	callersPerVM        = 2
	// startupTime is how long a process may take from its start to readiness.
	startupTime = 2 * time.Second
	// warmUp is the time from the first request to the first fault.
	warmUp = 3 * time.Second
	// coolDown is the time from the end of the last fault to the last request:
	// longer than a VM that lost all its state needs to serve requests again.
	coolDown = 11 * time.Second
	// recoveryTime is the part of coolDown in which requests may still fail.
	recoveryTime = 9 * time.Second
	// endpointDelay is an endpoint's time for a response or for an event of a
	// stream.
	endpointDelay = 8 * time.Millisecond
	// initialTokens is the prepaid budget of the first account. The budget of the
	// second is a third of it.
	initialTokens = 150_000
	topUpTokens   = 40_000
	// maxMarkers is the maximum number of marker routes in a configuration.
	maxMarkers = 3
)

// Options are the parameters of a run.
type Options struct {
	Seed        uint64
	VMs         int
	FaultPeriod time.Duration // period over which the events of the schedule start
	Events      int           // number of events in the schedule
	Out         io.Writer     // receives the schedule, and the errors of its events
}

// Harness runs stand-ins, callers and the schedule of faults, and records a
// History.
type Harness struct {
	options       Options
	supervisorDir SupervisorDir
	store         *standin.Store
	vms           []*vm
	endpoints     []*endpoint
	started       time.Time

	mu       sync.Mutex
	document standin.Document
	markers  []int64 // versions of all marker routes so far, removed ones as well
	history  History
}

// endpoint is an endpoint stand-in with its link.
type endpoint struct {
	service     string
	name        string
	incarnation int // suffix of the stand-in's id
	standIn     *standin.Endpoint
	link        *link.Link
	address     string // of the link
	draining    bool   // as last registered
}

// New starts the stand-ins and writes the VMs' settings files.
func New(o Options, dir SupervisorDir) (*Harness, error) {
	h := &Harness{options: o, supervisorDir: dir, history: History{VMFaults: map[string][]Interval{}}}
	var err error
	if h.store, err = standin.NewStore(); err != nil {
		return nil, err
	}
	for _, service := range []string{standin.ModelService, standin.AppService} {
		for i := range endpointsPerService {
			if err := h.addEndpoint(service, fmt.Sprintf("%s%d", service, i)); err != nil {
				return nil, err
			}
		}
	}
	h.document.Accounts = []standin.Account{{Name: "acme", APIKey: "key-of-acme", Prepaid: initialTokens}, {Name: "bolt", APIKey: "key-of-bolt", Prepaid: initialTokens / 3}}
	if err := h.configure(); err != nil {
		return nil, err
	}
	return h, h.addVMs()
}

func (h *Harness) addEndpoint(service, name string) error {
	standIn, err := standin.NewEndpoint(name + "-1")
	if err != nil {
		return err
	}
	standIn.Delay = endpointDelay
	standIn.SetLethal(standin.LethalRequests{Marker: lethalBody, Parts: lethalParts, Downtime: lethalDowntime, Restarted: h.restarted})
	k, address, err := newLink(standIn.Address)
	if err != nil {
		return err
	}
	e := &endpoint{service: service, name: name, incarnation: 1, standIn: standIn, link: k, address: address}
	h.endpoints = append(h.endpoints, e)
	return h.register(e, false)
}

// register writes an endpoint's registration with the address of its link.
func (h *Harness) register(e *endpoint, draining bool) error {
	h.mu.Lock()
	e.draining = draining
	h.mu.Unlock()
	return h.store.RegisterAt(e.service, e.standIn, e.address, draining)
}

func (h *Harness) addVMs() error {
	var seeds []string
	for i := range h.options.VMs {
		v, err := newVM(fmt.Sprintf("vm%d", i), h.store.Address)
		if err != nil {
			return err
		}
		h.vms = append(h.vms, v)
		if len(seeds) < 3 {
			seeds = append(seeds, v.control)
		}
	}
	for _, v := range h.vms {
		v.seeds = seeds
		if err := h.supervisorDir.Write(v.name+".conf", v.settings()); err != nil {
			return err
		}
	}
	return nil
}

// Run sends the callers' requests, injects the scheduled faults and returns
// what was recorded.
func (h *Harness) Run() *History {
	time.Sleep(startupTime + time.Second)
	h.started = time.Now()
	ctx, stop := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i, v := range h.vms {
		for j := range callersPerVM {
			c := &caller{
				harness: h, vm: v, number: i*callersPerVM + j, done: &callers, client: standin.NewClient(v.listen),
				random: rand.New(rand.NewPCG(h.options.Seed, uint64(100+i*callersPerVM+j))),
			}
			callers.Add(1)
			go c.loop(ctx)
		}
	}
	time.Sleep(warmUp)
	h.injectFaults()
	h.history.RecoveryDeadline = time.Now().Add(recoveryTime)
	time.Sleep(coolDown)
	stop()
	callers.Wait()
	time.Sleep(time.Second) // requests that are still on their way reach endpoints
	return h.collect()
}

// injectFaults starts the events of the schedule and waits until all are over.
func (h *Harness) injectFaults() {
	var faults sync.WaitGroup
	started := time.Now()
	for _, e := range Schedule(h.options.Seed, h.options.FaultPeriod, h.options.Events) {
		fmt.Fprintln(h.options.Out, e)
		j := &injector{harness: h, event: e, started: started, done: &faults}
		faults.Add(1)
		go j.run()
	}
	faults.Wait()
}

// collect adds the endpoints' runs and the daemons' crashes to the history.
func (h *Harness) collect() *History {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.endpoints {
		h.history.Runs = append(h.history.Runs, e.standIn.Runs()...)
		h.history.Arrivals = append(h.history.Arrivals, e.standIn.Arrivals()...)
	}
	for _, v := range h.vms {
		if output, err := h.supervisorDir.Read(v.name + ".log"); err == nil && crashed(output) {
			h.history.Crashes = append(h.history.Crashes, VMCrash{VM: v.name})
		}
	}
	h.history.Ended = time.Now()
	return &h.history
}

// crashed reports whether a daemon's output shows a panic, a fatal error or a
// data race.
func crashed(output string) bool {
	for _, sign := range []string{"\npanic: ", "\nfatal error: ", "WARNING: DATA RACE"} {
		if strings.Contains(output, sign) {
			return true
		}
	}
	return false
}

func (h *Harness) record(q Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.history.Requests = append(h.history.Requests, q)
}

func (h *Harness) accounts() []standin.Account {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.document.Accounts
}

// apiKey returns an account's API key, or "" for an unknown account.
func (h *Harness) apiKey(account string) string {
	for _, a := range h.accounts() {
		if a.Name == account {
			return a.APIKey
		}
	}
	return ""
}

// randomMarker returns the version of a marker route that is or was in the
// configuration.
func (h *Harness) randomMarker(random *rand.Rand) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.markers[random.IntN(len(h.markers))]
}

// configure writes a new version of the configuration, with a marker route for the
// version. Beyond maxMarkers the oldest marker route is removed.
func (h *Harness) configure() error {
	return h.updateDocument(func(d *standin.Document) {
		d.Version += 3
		d.Markers = append(slices.Clone(d.Markers), d.Version)
		d.Markers = d.Markers[max(0, len(d.Markers)-maxMarkers):]
		h.markers = append(h.markers, d.Version)
	})
}

// topUp raises the budget of an account.
func (h *Harness) topUp(account int) error {
	return h.updateDocument(func(d *standin.Document) {
		d.Version++
		d.Accounts = slices.Clone(d.Accounts)
		d.Accounts[account%len(d.Accounts)].Prepaid += topUpTokens
	})
}

// updateDocument applies edit to the configuration and writes it to the store.
// It holds mu while edit runs. As the history keeps earlier versions, edit must
// replace the slices that it changes.
func (h *Harness) updateDocument(edit func(*standin.Document)) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	edit(&h.document)
	err := h.store.Configure(h.document)
	h.history.ConfigChanges = append(h.history.ConfigChanges, ConfigChange{At: time.Now(), Document: h.document})
	return err
}
