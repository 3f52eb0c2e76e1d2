package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/endpoints"
)

var _ = Describe("A VM that knows that an endpoint has left", func() {
	there := endpoints.Registration{ID: "e1", Service: "apps", Address: "10.0.0.1:80", Born: 7}
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
	for _, c := range []struct {
		name string
		act  func(*Gateway)
		want int // endpoints in use 60 ms later
	}{
		// Guards against DRAIN: another VM that has learnt it later has a grace for it.
		{"does not take it back from another VM that still uses it", func(g *Gateway) {
			g.changeRegistry(removed, 2, time.Now())
			g.adopt(view(3, time.Second, there), "other")
		}, 0},
		{"does not use it for longer because another VM does", func(g *Gateway) {
			g.changeRegistry(removed, 2, time.Now().Add(50*time.Millisecond))
			g.adopt(view(3, time.Second, there), "other")
		}, 0},
		{"uses it while another VM has a grace for it that it does not know", func(g *Gateway) {
			g.adopt(view(3, time.Second, there), "other")
		}, 1},
		{"uses it again once it has started anew", func(g *Gateway) {
			g.changeRegistry(removed, 2, time.Now())
			again := there
			again.Born++
			g.adopt(view(3, time.Second, again), "other")
		}, 1},
	} {
		It(c.name, func() {
			g := newTestGateway(Settings{Name: "vm"})
			g.changeRegistry(put(there), 1, time.Now())
			c.act(g)
			Expect(g.state.endpoints.Count("apps", time.Now().Add(60*time.Millisecond))).To(Equal(c.want))
		})
	}
})
