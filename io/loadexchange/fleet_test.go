package loadexchange

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/endpointload"
	"hawthornspar/core/entity"
	"hawthornspar/core/home"
	"hawthornspar/core/inbox"
	"hawthornspar/io/certificate"
	"hawthornspar/io/peer"
)

// testVM is a VM with a real transport on loopback.
type testVM struct {
	name      string
	fleet     *testFleet
	node      *peer.Node
	exchanger *Exchanger
	mute      atomic.Bool  // requests get no response
	requests  atomic.Int64 // received
	stop      func()       // ends the exchanger's loop
	mu        sync.Mutex
	loads     map[string]endpointload.Load
	others    endpointload.Summary
	at        time.Time
}

// testFleet is a set of VMs.
type testFleet struct {
	members []home.VM
	vms     []*testVM
	engines bool
}

// noMetrics discards metrics.
type noMetrics struct{}

func (noMetrics) Increment(string, string) {}

func (noMetrics) ObserveDuration(string, string, time.Duration) {}

// endpointIDs are the endpoints that all VMs know.
var endpointIDs = []string{"e-1", "e-2", "e-3"}

func (v *testVM) SharesLoad() bool                             { return v.fleet.engines }
func (v *testVM) Members() []home.VM                           { return v.fleet.members }
func (v *testVM) EndpointIDs() []string                        { return endpointIDs }
func (v *testVM) Transport() Transport                         { return v.node }
func (v *testVM) TakeObservations() []endpointload.Observation { return nil }

func (v *testVM) OwnLoads() map[string]endpointload.Load {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.loads)
}

func (v *testVM) SetOthers(s endpointload.Summary, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.others, v.at = s, at
}

func (v *testVM) ForgetOthers() { v.SetOthers(endpointload.Summary{}, time.Time{}) }

// load sets what the VM has in flight at an endpoint.
func (v *testVM) load(id string, l endpointload.Load) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.loads = map[string]endpointload.Load{id: l}
}

// seen returns what the VM knows of the others' load at an endpoint, after a request.
func (v *testVM) seen(id string) endpointload.Load {
	v.exchanger.Refresh(context.Background())
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.others.Entries[id].Load
}

// ServeHTTP leaves a request without a response while the VM is mute.
func (v *testVM) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v.requests.Add(1)
	if v.mute.Load() {
		<-r.Context().Done()
		return
	}
	v.exchanger.ServeHTTP(w, r)
}

// asked returns the name of the VM that is asked at the moment, after a request.
func (v *testVM) asked() string {
	v.exchanger.Refresh(context.Background())
	v.exchanger.mu.Lock()
	defer v.exchanger.mu.Unlock()
	return v.exchanger.asked
}

// newTestFleet starts n VMs with a configuration that describes engines.
func newTestFleet(n int) *testFleet {
	f := newIdleFleet(n)
	f.start()
	return f
}

// newIdleFleet returns n VMs that answer, by turns in the failure domains a and b. They
// send nothing before start.
func newIdleFleet(n int) *testFleet {
	f := &testFleet{engines: true}
	authority, err := certificate.NewAuthority(time.Now(), time.Hour)
	Expect(err).NotTo(HaveOccurred())
	for i := range n {
		f.add(authority, fmt.Sprintf("vm-%d", i), []string{"a", "b"}[i%2])
	}
	return f
}

func (f *testFleet) start() {
	for _, v := range f.vms {
		ctx, cancel := context.WithCancel(context.Background())
		v.stop = cancel
		v.exchanger.Start(ctx)
		DeferCleanup(cancel)
	}
}

func (f *testFleet) add(authority certificate.Pair, name, domain string) {
	own, err := certificate.IssueVM(authority, name, time.Now(), time.Hour)
	Expect(err).NotTo(HaveOccurred())
	tlsConfig, err := certificate.MutualTLS(authority.Certificate, own)
	Expect(err).NotTo(HaveOccurred())
	v := &testVM{name: name, fleet: f, loads: map[string]endpointload.Load{}}
	v.exchanger = New(v, name, domain, noMetrics{}, WithConnectSpread(50*time.Millisecond))
	address := freeAddress()
	v.node, err = peer.Listen(entity.VM{Name: name}, address, tlsConfig, v, func(inbox.Event) {}, logr.Discard(), peer.WithIdleTimeout(30*time.Second))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(v.node.Close)
	f.vms = append(f.vms, v)
	f.members = append(f.members, home.VM{Name: name, Address: address, Domain: domain, LinkBytesPerSecond: 1_250_000})
}

// freeAddress returns a UDP address of loopback that is free.
func freeAddress() string {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	return c.LocalAddr().String()
}

// vm returns the VM with a name.
func (f *testFleet) vm(name string) *testVM {
	for _, v := range f.vms {
		if v.name == name {
			return v
		}
	}
	return nil
}

// address returns the address of a VM.
func (f *testFleet) address(v *testVM) string {
	for _, m := range f.members {
		if m.Name == v.name {
			return m.Address
		}
	}
	return ""
}

// collectors returns the VMs of a domain in the order in which they are asked.
func (f *testFleet) collectors(domain string) []*testVM {
	var list []*testVM
	for _, v := range endpointload.CollectorsOf(domain, f.members) {
		list = append(list, f.vm(v.Name))
	}
	return list
}

// ready waits until the VM is in touch with its collector and the one that replaces it.
func (f *testFleet) ready(v *testVM) {
	list := f.collectors(v.exchanger.domain)
	Eventually(func() bool {
		v.exchanger.mu.Lock()
		defer v.exchanger.mu.Unlock()
		return v.linked(list[0]) && v.linked(list[1])
	}, 10*time.Second, 20*time.Millisecond).Should(BeTrue())
}

// linked reports whether the VM can send messages to another one. The caller holds the
// exchanger's lock.
func (v *testVM) linked(to *testVM) bool {
	l := v.exchanger.links[to.name]
	return to == v || l != nil && l.usable(v.node)
}

// leaveOut makes the VM leave a collector out for a time.
func (v *testVM) leaveOut(collector *testVM, d time.Duration) {
	v.exchanger.mu.Lock()
	defer v.exchanger.mu.Unlock()
	l := v.exchanger.links[collector.name]
	l.leaveOut(time.Now())
	l.probeAt = time.Now().Add(d)
}
