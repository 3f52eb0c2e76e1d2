package gateway

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/endpoints"
	"hawthornspar/core/evacuation"
	"hawthornspar/core/revision"
)

// operatorStore responds with evacuated failure domains.
type operatorStore struct {
	Store
	observe   func(revision.Era)
	version   revision.Version
	evacuated []string
	err       error
}

func (s *operatorStore) Operations(context.Context) (Operations, revision.Version, error) {
	if s.err != nil {
		return Operations{}, revision.Version{}, s.err
	}
	s.observe(s.version.Era)
	return Operations{Evacuations: evacuation.Change{Version: s.version, Complete: true, Started: s.evacuated}}, s.version, nil
}

var _ = Describe("A VM that has read the store since it has come back from a copy", func() {
	there := endpoints.Registration{ID: "e1", Service: "apps", Address: "10.0.0.1:80", Born: 7}
	leaving := there
	leaving.Draining = true
	other := endpoints.Registration{ID: "e2", Service: "apps", Address: "10.0.0.2:80", Born: 8}
	var g *Gateway
	observe := func(e revision.Era) { Expect(g.ObserveEra(e)).To(Succeed()) }
	read := func(v revision.Version, list ...endpoints.Registration) {
		g.store = &slowStore{change: endpoints.RegistryChange{Put: list}, version: v, onWay: func() { observe(v.Era) }}
		_, err := (&registryTable{gateway: g}).read(context.Background())
		Expect(err).NotTo(HaveOccurred())
	}
	adopt := func(v revision.Version, list ...endpoints.Registration) {
		g.adopt(fleetView{VM: "other", RegistryEra: v.Era, RegistryVersion: v.Number, Endpoints: list}, "other")
	}
	BeforeEach(func() {
		g = newTestGateway(Settings{Name: "vm"})
		read(revision.Version{Era: 1, Number: 90}, there, other)
	})

	// Guards against DRAIN: the registry of before the step back, from a VM that has not read
	// the store since, and whose version is higher (review/14).
	It("takes no registry of the era before from another VM, and goes on with the store's", func() {
		read(revision.Version{Era: 2, Number: 50}, other)
		adopt(revision.Version{Era: 1, Number: 95}, there, other)
		Expect(g.state.endpoints.Get("e1").Draining).To(BeFalse())
		Expect(g.state.endpoints.Count("apps", time.Now().Add(rewriteTime))).To(Equal(1))
		g.updateRegistry(registryUpdate{RegistryChange: endpoints.RegistryChange{Removed: []string{"e2"}}, version: revision.Version{Era: 2, Number: 51}, graceEnd: time.Now()})
		Expect(g.state.endpoints.Count("apps", time.Now().Add(rewriteTime))).To(Equal(0))
	})

	It("takes the registry of a later era from another VM, though its number is lower", func() {
		adopt(revision.Version{Era: 2, Number: 50}, other)
		Expect(g.state.endpoints.Count("apps", time.Now())).To(Equal(1))
	})

	It("does not take a view of the era before for a confirmation", func() {
		read(revision.Version{Era: 2, Number: 50}, other)
		before := g.state.knowledge.Registry
		g.state.recordView(fleetView{VM: "other", RegistryEra: 1, RegistryVersion: 95}, time.Now().Add(time.Hour))
		Expect(g.state.knowledge.Registry).To(Equal(before))
	})

	It("discards a response of the era before that is applied late", func() {
		read(revision.Version{Era: 2, Number: 50}, there)
		g.updateRegistry(registryUpdate{RegistryChange: endpoints.RegistryChange{Put: []endpoints.Registration{leaving}}, version: revision.Version{Era: 1, Number: 99}})
		Expect(g.state.endpoints.Get("e1").Draining).To(BeFalse())
		Expect(g.ObserveEra(1)).To(MatchError(&revision.OutdatedError{Response: 1, Known: 2}))
	})

	// Guards against endpoints that are taken for gone because the copy is from before their
	// registration, and against crashes that are recorded for that.
	It("uses an endpoint that the copy lacks until it has had the time to register again", func() {
		read(revision.Version{Era: 2, Number: 50}, other)
		Expect(g.state.endpoints.Count("apps", time.Now())).To(Equal(2))
		Expect(g.state.endpoints.Count("apps", time.Now().Add(rewriteTime))).To(Equal(1))
	})

	// Guards against requests to an evacuated failure domain, because the copy is from before the
	// evacuation, and against an evacuation that is kept though the operator has ended it.
	It("keeps an evacuation that the copy lacks, until the operator has had the time to write it again", func() {
		store := &operatorStore{observe: observe, version: revision.Version{Era: 1, Number: 90}, evacuated: []string{"north"}}
		g.store = store
		table := &operationsTable{gateway: g}
		_, err := table.read(context.Background())
		Expect(err).NotTo(HaveOccurred())
		store.version, store.evacuated = revision.Version{Era: 2, Number: 50}, nil
		_, err = table.read(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(g.state.evacuatedDomains()).To(Equal(int64(1)))
		g.state.steppedBackAt = time.Now().Add(-rewriteTime)
		table.rereadAt = time.Now()
		store.err = errHistoryLost
		_, _, err = table.watch(context.Background(), store.version)
		Expect(err).To(MatchError(errHistoryLost))
		store.err = nil
		store.version.Number++
		_, _, err = table.watch(context.Background(), store.version)
		Expect(err).NotTo(HaveOccurred())
		Expect(g.state.evacuatedDomains()).To(BeZero())
	})

	// Guards against DRAIN: an endpoint that the copy shows as it was before it left.
	It("does not use an endpoint again that the copy shows as it was before it left", func() {
		g.updateRegistry(registryUpdate{RegistryChange: endpoints.RegistryChange{Put: []endpoints.Registration{leaving}, Removed: []string{"e2"}}, version: revision.Version{Era: 1, Number: 91}, graceEnd: time.Now()})
		read(revision.Version{Era: 2, Number: 50}, there, other)
		Expect(g.state.endpoints.Count("apps", time.Now())).To(Equal(0))
		again := other
		again.Born++
		g.updateRegistry(registryUpdate{RegistryChange: endpoints.RegistryChange{Put: []endpoints.Registration{again}}, version: revision.Version{Era: 2, Number: 51}, graceEnd: time.Now()})
		Expect(g.state.endpoints.Count("apps", time.Now())).To(Equal(1))
	})
})
