package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/coldstart"
	"hawthornspar/core/endpoints"
	"hawthornspar/core/evacuation"
	"hawthornspar/core/home"
	"hawthornspar/core/revision"
	"hawthornspar/core/route"
)

var _ = Describe("admit", func() {
	const notice = 3 * time.Second
	var g *Gateway
	var a *endpoints.Attempt
	BeforeEach(func() {
		g = newTestGateway(Settings{Name: "vm", Cold: coldstart.Margin{Overrun: 1.5, Slack: 5}})
		g.server.current = &connListener{} // with the limits of the configuration
		g.configure(&route.Document{Version: 1, Services: []route.Service{{Name: "models", Cold: coldstart.Tolerance{Start: 3 * time.Second, PerSecond: 16}}}})
		g.state.vm.StartedAt = time.Now().Add(-time.Minute)
		g.updateMembers([]home.VM{{Name: "vm"}}, sourceStore)
		g.updateRegistry(registryUpdate{RegistryChange: endpoints.RegistryChange{Put: []endpoints.Registration{{ID: "e", Service: "models", Domain: "north", Address: "10.0.0.1:80"}}}, version: revision.Version{Number: 1}, complete: true})
		g.state.recordRegistryCheck(time.Now())
		g.state.recordEvacuationCheck(time.Now())
		a = g.state.startAttempt(endpoints.Request{Service: "models"}, nil)
	})

	for _, c := range []struct {
		name    string
		act     func()
		refused refusal
	}{
		{"nothing has changed", func() {}, refusal{}},
		{"its endpoint left", func() { g.state.recordLeaving(a.Endpoint) }, endpointLeft},
		{"its failure domain was evacuated", func() {
			g.evacuate(evacuation.Change{Version: revision.Version{Number: 1}, Started: []string{"north"}}, "test")
		}, endpointEvacuated},
		{"its endpoint turned cold, and this VM has sent enough", func() {
			g.state.recordCold(a.Endpoint, time.Second)
			for range 4 {
				Expect(g.state.admit(a, notice)).To(Equal(refusal{}))
			}
		}, endpointCold},
		{"the VM was suspended", func() { g.state.knowledge = endpoints.Knowledge{} }, registryStale},
	} {
		// Guards against requests that were chosen before a change and are written after it.
		It("decides right before a request is written: "+c.name, func() {
			c.act()
			Expect(g.state.admit(a, notice)).To(Equal(c.refused))
		})
	}

	It("refuses a request at once when no endpoint may be sent to, and says why and until when", func() {
		x := &exchange{gateway: g, service: "models"}
		Expect(x.shortageRefusal(noEndpoint)).To(Equal(noEndpoint))
		g.state.vm.Members = nil
		g.state.endpoints.SetVM(g.state.vm)
		g.state.recordCold(a.Endpoint, 2*time.Second)
		cold := x.shortageRefusal(noEndpoint)
		Expect(cold.reason).To(Equal(endpointsCold.reason))
		Expect(cold.retryAfter).To(BeNumerically("~", 2600*time.Millisecond, 200*time.Millisecond))
		g.evacuate(evacuation.Change{Version: revision.Version{Number: 1}, Started: []string{"north"}}, "test")
		Expect(x.shortageRefusal(noEndpoint)).To(Equal(domainEvacuated))
	})
})
