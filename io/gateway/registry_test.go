package gateway

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/endpoints"
	"hawthornspar/core/revision"
)

// slowStore responds with a registry that something overtakes on its way.
type slowStore struct {
	Store
	change  endpoints.RegistryChange
	version revision.Version
	onWay   func()
}

func (s *slowStore) WatchRegistry(context.Context, revision.Version, time.Duration) (endpoints.RegistryChange, revision.Version, error) {
	s.onWay()
	return s.change, s.version, nil
}

func (s *slowStore) Registry(context.Context) (endpoints.RegistryChange, revision.Version, error) {
	s.onWay()
	return s.change, s.version, nil
}

var _ = Describe("A VM that knows that an endpoint has left", func() {
	there := endpoints.Registration{ID: "e1", Service: "apps", Address: "10.0.0.1:80", Born: 7}
	leaving := there
	leaving.Draining = true
	put := func(r endpoints.Registration) endpoints.RegistryChange {
		return endpoints.RegistryChange{Put: []endpoints.Registration{r}}
	}
	removed := endpoints.RegistryChange{Removed: []string{"e1"}}
	view := func(version int64, grace time.Duration, r endpoints.Registration) fleetView {
		v := fleetView{VM: "other", RegistryVersion: version, Endpoints: []endpoints.Registration{r}}
		if grace > 0 {
			v.Expiring = map[string]time.Duration{r.ID: grace}
		}
		return v
	}
	readBeside := func(g *Gateway, version int64, onWay func()) {
		g.store = &slowStore{change: put(there), version: revision.Version{Number: version}, onWay: onWay}
		_, err := (&registryTable{gateway: g}).read(context.Background())
		Expect(err).NotTo(HaveOccurred())
	}
	watchBeside := func(g *Gateway, version int64, onWay func()) {
		g.store = &slowStore{change: put(there), version: revision.Version{Number: version}, onWay: onWay}
		_, _, err := (&registryTable{gateway: g}).watch(context.Background(), revision.Version{Number: 1})
		Expect(err).NotTo(HaveOccurred())
	}
	for _, c := range []struct {
		name string
		act  func(*Gateway)
		want int // endpoints in use 60 ms later
	}{
		// Guards against DRAIN: another VM that has learnt it later has a grace for it.
		{"does not take it back from another VM that still uses it", func(g *Gateway) {
			g.updateRegistry(registryUpdate{RegistryChange: removed, version: revision.Version{Number: 2}, graceEnd: time.Now()})
			g.adopt(view(3, time.Second, there), "other")
		}, 0},
		{"does not use it for longer because another VM does", func(g *Gateway) {
			g.updateRegistry(registryUpdate{RegistryChange: removed, version: revision.Version{Number: 2}, graceEnd: time.Now().Add(50 * time.Millisecond)})
			g.adopt(view(3, time.Second, there), "other")
		}, 0},
		{"uses it while another VM has a grace for it that it does not know", func(g *Gateway) {
			g.adopt(view(3, time.Second, there), "other")
		}, 1},
		{"uses it again once it has started anew", func(g *Gateway) {
			g.updateRegistry(registryUpdate{RegistryChange: removed, version: revision.Version{Number: 2}, graceEnd: time.Now()})
			again := there
			again.Born++
			g.adopt(view(3, time.Second, again), "other")
		}, 1},
		// Guards against DRAIN: a response that another VM's newer view has overtaken.
		{"discards a watch that was overtaken", func(g *Gateway) {
			watchBeside(g, 2, func() { g.adopt(view(5, 0, leaving), "other") })
		}, 0},
		{"discards a read that was overtaken", func(g *Gateway) {
			readBeside(g, 2, func() { g.adopt(view(5, 0, leaving), "other") })
		}, 0},
		{"discards the beginning of changes that it has from another VM", func(g *Gateway) {
			g.adopt(view(5, 0, leaving), "other")
			watchBeside(g, 2, func() {})
		}, 0},
		{"takes over a watch that is as new as another VM's view", func(g *Gateway) {
			watchBeside(g, 5, func() { g.adopt(view(5, 0, leaving), "other") })
		}, 1},
		{"follows a store that has gone back", func(g *Gateway) {
			g.updateRegistry(registryUpdate{RegistryChange: put(leaving), version: revision.Version{Number: 5}, graceEnd: time.Now()})
			readBeside(g, 2, func() {})
		}, 1},
	} {
		It(c.name, func() {
			g := newTestGateway(Settings{Name: "vm"})
			g.updateRegistry(registryUpdate{RegistryChange: put(there), version: revision.Version{Number: 1}, graceEnd: time.Now()})
			c.act(g)
			Expect(g.state.endpoints.Count("apps", time.Now().Add(60*time.Millisecond))).To(Equal(c.want))
		})
	}

	It("tells other VMs nothing older than its version says", func() {
		g := newTestGateway(Settings{Name: "vm"})
		g.updateRegistry(registryUpdate{RegistryChange: put(there), version: revision.Version{Number: 1}, graceEnd: time.Now()})
		watchBeside(g, 2, func() { g.adopt(view(5, 0, leaving), "other") })
		v := g.state.fleetView(fleetQuery{})
		Expect(v.RegistryVersion).To(Equal(int64(5)))
		Expect(v.Endpoints).To(ConsistOf(leaving))
	})
})
