package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/endpoints"
	"hawthornspar/core/route"
	"hawthornspar/io/metrics"
)

func newTestGateway(s Settings) *Gateway {
	counts, err := metrics.New()
	Expect(err).NotTo(HaveOccurred())
	return New(s, nil, nil, nil, counts)
}

var _ = Describe("adopt", func() {
	It("drops an endpoint that has left when the other VM's grace period for it ends", func() {
		g := newTestGateway(Settings{Name: "vm"})
		left := endpoints.Registration{ID: "left", Service: "models", Address: "10.0.0.1:80"}
		there := endpoints.Registration{ID: "there", Service: "models", Address: "10.0.0.2:80"}
		g.adopt(fleetView{
			RegistryVersion: 2, Endpoints: []endpoints.Registration{left, there},
			Expiring: map[string]time.Duration{"left": 50 * time.Millisecond},
		}, "other")
		Expect(g.state.endpoints.Count("models", time.Now())).To(Equal(2))
		Expect(g.state.endpoints.Count("models", time.Now().Add(100*time.Millisecond))).To(Equal(1))
	})
})

var _ = Describe("overloaded, on a VM with a busy link", func() {
	for _, t := range []struct {
		name       string
		notice     time.Duration
		checkedAgo time.Duration
		overloaded bool
	}{
		{"the registry was read just now", 3 * time.Second, 0, false},
		{"neither the store nor another VM has responded for longer than endpoints serve after they drain", 3 * time.Second, 3500 * time.Millisecond, true},
		{"it is not known how long endpoints serve after they drain", 0, 3500 * time.Millisecond, false},
	} {
		It("is right when "+t.name, func() {
			g := newTestGateway(Settings{Name: "vm", DrainNotice: t.notice, LinkBytesPerSecond: 1_250_000})
			g.state.recordRegistryCheck(time.Now().Add(-t.checkedAgo))
			Expect(g.overloaded()).To(BeFalse(), "the link is calm")
			g.linkBusy.Store(true)
			Expect(g.overloaded()).To(Equal(t.overloaded))
		})
	}

	It("counts the requests that still wait in the link", func() {
		g := newTestGateway(Settings{Name: "vm", DrainNotice: 3 * time.Second, LinkBytesPerSecond: 1_250_000})
		g.linkBusy.Store(true)
		g.state.recordRegistryCheck(time.Now())
		g.uplink.add(4_250_000)
		Expect(g.overloaded()).To(BeTrue())
	})
})

var _ = Describe("adoptNewest, on a VM that has just started while the store is out", func() {
	var g *Gateway
	BeforeEach(func() {
		g = newTestGateway(Settings{Name: "vm"})
		g.server.current = &connListener{} // with the limits of the configurations
	})
	view := func(version, registry int64, endpoint string) receivedView {
		return receivedView{from: "seed", fleetView: fleetView{
			Configuration: &route.Document{Version: version}, RegistryVersion: registry,
			Endpoints: []endpoints.Registration{{ID: endpoint, Service: "models", Address: "10.0.0.1:80"}},
		}}
	}

	It("begins with the newest configuration and registry that a seed has", func() {
		g.adoptNewest([]receivedView{view(4, 40, "left"), view(7, 70, "there"), view(5, 60, "left")}, time.Now())
		Expect(g.state.routes().Document.Version).To(Equal(int64(7)))
		Expect(g.state.endpoints.IDs()).To(ConsistOf("there"))
	})

	It("does not replace a registry by an older one", func() {
		g.adoptNewest([]receivedView{view(7, 70, "there")}, time.Now())
		g.adoptNewest([]receivedView{view(7, 60, "left")}, time.Now())
		Expect(g.state.endpoints.IDs()).To(ConsistOf("there"))
	})
})
