package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/endpoints"
	"hawthornspar/core/evacuation"
	"hawthornspar/core/revision"
)

// leavingStore is a store with an endpoint that leaves.
type leavingStore struct {
	Store
	change endpoints.RegistryChange
}

func (s *leavingStore) WatchRegistry(context.Context, revision.Version, time.Duration) (endpoints.RegistryChange, revision.Version, error) {
	return s.change, revision.Version{Number: 2}, nil
}

func (s *leavingStore) Registry(context.Context) (endpoints.RegistryChange, revision.Version, error) {
	return s.change, revision.Version{Number: 2}, nil
}

var _ = Describe("A VM that goes on after it was suspended", func() {
	const notice = 3 * time.Second
	there := endpoints.Registration{ID: "e1", Service: "apps", Address: "10.0.0.1:80"}
	left := there
	left.Draining = true
	change := endpoints.RegistryChange{Put: []endpoints.Registration{left}}
	for _, t := range []struct {
		name  string
		learn func(*Gateway)
	}{
		{"a watch of the store", func(g *Gateway) {
			_, _, err := (&registryTable{gateway: g}).watch(context.Background(), revision.Version{Number: 1})
			Expect(err).NotTo(HaveOccurred())
		}},
		{"a read of the store", func(g *Gateway) {
			_, err := (&registryTable{gateway: g}).read(context.Background())
			Expect(err).NotTo(HaveOccurred())
		}},
		{"another VM", func(g *Gateway) {
			g.adoptAndConfirm(fleetView{VM: "other", RegistryVersion: 2, Endpoints: change.Put}, "other", time.Now())
		}},
		{"the seeds of a VM that starts", func(g *Gateway) {
			g.adoptNewest([]receivedView{{fleetView{VM: "other", RegistryVersion: 2, Endpoints: change.Put}, "seed"}}, time.Now())
		}},
	} {
		// Guards against requests by the old registry between its confirmation and its changes.
		It("does not count its registry as confirmed before it has the changes: "+t.name, func() {
			g := newTestGateway(Settings{Name: "vm", DrainNotice: notice})
			g.store = &leavingStore{change: change}
			g.updateRegistry(registryUpdate{RegistryChange: endpoints.RegistryChange{Put: []endpoints.Registration{there}}, version: revision.Version{Number: 1}})
			g.state.recordEvacuationCheck(time.Now())
			g.state.recordVMRequest(time.Now(), nil)
			g.state.recordRegistryCheck(time.Now().Add(-4 * time.Second))
			var stale []bool
			g.log = funcr.New(func(_, line string) {
				if strings.Contains(line, `"change"="leaving"`) { // logged with the lock held
					stale = append(stale, g.state.knowledge.Stale(notice, time.Now()))
				}
			}, funcr.Options{})
			t.learn(g)
			Expect(stale).To(Equal([]bool{true}))
			Expect(g.isStale()).To(BeFalse())
		})
	}
})

var _ = Describe("Two VMs that have lost the store", func() {
	// Guards against DRAIN: VMs that are cut off from the store confirm each other's registry,
	// while a third one has the store.
	It("do not take each other's old registry for confirmed", func() {
		now := time.Now()
		vm := func(name string, age time.Duration) *Gateway {
			g := newTestGateway(Settings{Name: name, DrainNotice: 3 * time.Second})
			g.updateRegistry(registryUpdate{version: revision.Version{Number: 1}, complete: true})
			g.evacuate(evacuation.Change{Version: revision.Version{Number: 1}, Complete: true}, "test")
			g.state.recordRegistryCheck(now.Add(-age))
			g.state.recordEvacuationCheck(now.Add(-age))
			return g
		}
		g, other := vm("vm", 4*time.Second), vm("other", 9*time.Second)
		g.state.knowledge.VMs.Record(now.Add(-time.Second), true) // the third one has responded
		Expect(g.isStale()).To(BeTrue())
		view := other.state.fleetView(fleetQuery{Configuration: 1, Registry: 1})
		view.VM = "other"
		g.adoptAndConfirm(view, "other", now)
		Expect(g.isStale()).To(BeTrue())
	})
})
