package gateway

import (
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/endpointload"
	"hawthornspar/core/endpoints"
	"hawthornspar/core/route"
	"hawthornspar/io/loadexchange"
)

var _ = Describe("loadView", func() {
	var g *Gateway
	BeforeEach(func() {
		g = newTestGateway(Settings{Name: "vm", FailureDomain: "a"})
		g.server.current = &connListener{}
	})

	// Guards against messages in deployments that have no engines.
	It("shares load only with a configuration that describes engines", func() {
		Expect(loadView{g}.SharesLoad()).To(BeFalse(), "no configuration")
		g.adopt(fleetView{RegistryVersion: 1, Endpoints: []endpoints.Registration{{ID: "e", Service: "models", Address: "10.0.0.1:80"}}}, "other")
		g.configure(&route.Document{Version: 1, Services: []route.Service{{Name: "apps"}}})
		Expect(loadView{g}.SharesLoad()).To(BeFalse(), "app services only")
		g.configure(&route.Document{Version: 2, Services: []route.Service{{Name: "apps"}, {Name: "models", Engine: &route.Engine{}}}})
		Expect(loadView{g}.SharesLoad()).To(BeTrue())
	})

	// Guards against load of others that stays in use after a suspension.
	It("places requests by what others have in flight until it is forgotten", func() {
		g.adopt(fleetView{RegistryVersion: 1, Endpoints: []endpoints.Registration{{ID: "e", Service: "models", Address: "10.0.0.1:80"}}}, "other")
		r := endpoints.Request{Service: "models", PromptTokens: 10}
		loadView{g}.SetOthers(endpointload.Summary{Entries: map[string]endpointload.Entry{"e": {Load: endpointload.Load{Running: 1, PrefillTokens: 50_000}}}}, time.Now())
		Expect(g.state.startAttempt(r, nil).Estimate.WaitMs).To(BeNumerically(">", 0))
		loadView{g}.ForgetOthers()
		Expect(g.state.startAttempt(r, nil).Cost).To(BeZero())
	})

	// Guards against messages of other VMs that don't reach the collector's side.
	It("hands messages of other VMs on", func() {
		for _, path := range []string{loadexchange.ReportPath, loadexchange.SumPath} {
			w := httptest.NewRecorder()
			g.servePeer(w, httptest.NewRequest(http.MethodGet, path, nil))
			Expect(w.Code).To(Equal(http.StatusNoContent))
		}
	})
})
