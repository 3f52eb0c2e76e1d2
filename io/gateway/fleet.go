package gateway

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"hawthornspar/core/endpoints"
	"hawthornspar/core/evacuation"
	"hawthornspar/core/home"
	"hawthornspar/core/quarantine"
	"hawthornspar/core/revision"
	"hawthornspar/core/route"
	"hawthornspar/io/certificate"
	"hawthornspar/io/loadexchange"
	"hawthornspar/io/storepath"
)

// fleetPath is the URL path of a VM's view of the fleet, which stands in for the
// store while the store fails.
const fleetPath = "/fleet"

// fleetView is what a VM knows of the fleet. It omits what is not newer than
// what the requesting VM has.
type fleetView struct {
	Authority     *certificate.Pair        `json:"authority,omitempty"`
	Configuration *route.Document          `json:"configuration,omitempty"`
	Endpoints     []endpoints.Registration `json:"endpoints,omitempty"`
	// Expiring holds the rest of the grace period of the endpoints that are
	// missing in the registry, by id.
	Expiring        map[string]time.Duration `json:"expiring,omitempty"`
	RegistryVersion int64                    `json:"registryVersion"` // its number
	RegistryEra     revision.Era             `json:"registryEra,omitempty"`
	VMs             []home.VM                `json:"vms,omitempty"`
	Quarantines     quarantine.Change        `json:"quarantines"`
	Evacuations     *evacuation.View         `json:"evacuations,omitempty"`
	VM              string                   `json:"vm"` // name of the VM whose view it is
}

// registry returns the store's version that the view's registry corresponds to.
func (v fleetView) registry() revision.Version {
	return revision.Version{Era: v.RegistryEra, Number: v.RegistryVersion}
}

// fleetQuery holds the versions that the requesting VM has.
type fleetQuery struct {
	Configuration int64        `url:"configuration"`
	Registry      int64        `url:"registry"` // its number
	RegistryEra   revision.Era `url:"era,omitempty"`
}

// registry returns the store's version that the requesting VM's registry corresponds to.
func (q fleetQuery) registry() revision.Version {
	return revision.Version{Era: q.RegistryEra, Number: q.Registry}
}

// servePeer handles requests of VMs that presented a certificate of the fleet.
func (g *Gateway) servePeer(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	switch {
	case path == lendPath:
		g.serveLoan(w, r)
	case path == repayPath:
		g.serveRepayment(w, r)
	case path == fleetPath:
		g.serveFleetView(w, r, nil)
	case path == loadexchange.ReportPath, path == loadexchange.SumPath:
		g.loads.ServeHTTP(w, r)
	case strings.HasPrefix(path, storepath.PathPrefix+"/") && g.storeRelay != nil:
		g.storeRelay.ServeHTTP(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// serveControl handles requests of VMs in the same private network that have
// just started and cannot reach the store, from which they would get the
// fleet's keys.
func (g *Gateway) serveControl(w http.ResponseWriter, r *http.Request) {
	authority := g.authority.Load()
	if r.URL.Path != fleetPath || authority == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.serveFleetView(w, r, authority)
}

// serveFleetView responds with this VM's view of the fleet, and with the
// authority unless it is nil.
func (g *Gateway) serveFleetView(w http.ResponseWriter, r *http.Request, authority *certificate.Pair) {
	v := g.state.fleetView(fleetQuery{
		Configuration: queryInt(r.URL, "configuration"), Registry: queryInt(r.URL, "registry"), RegistryEra: revision.Era(queryInt(r.URL, "era")),
	})
	v.Authority, v.VM = authority, g.settings.Name
	if err := json.NewEncoder(w).Encode(v); err != nil {
		g.log.V(1).Info("fleet view not written", "error", err.Error())
	}
}

// queryInt returns a number in a URL's query; 0 when it is missing or
// malformed.
func queryInt(u *url.URL, name string) int64 {
	n, err := strconv.ParseInt(u.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// fleetView returns what is newer than the versions that a VM has.
func (s *state) fleetView(has fleetQuery) fleetView {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := fleetView{RegistryVersion: s.registryVersion.Number, RegistryEra: s.registryVersion.Era, VMs: s.members}
	v.Quarantines, v.Evacuations = s.quarantine.Quarantines(time.Now()), s.evacuations.View()
	if s.routeTable != nil && s.routeTable.Document.Version > has.Configuration {
		v.Configuration = s.routeTable.Document
	}
	if s.registryKnown && s.registryVersion.NewerThan(has.registry()) {
		v.Endpoints, v.Expiring = s.endpoints.Registrations(time.Now())
	}
	return v
}

// knownRegistry returns the store's version that the known registry corresponds to.
func (s *state) knownRegistry() revision.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registryVersion
}

// versions returns the versions of the configuration and the registry that this
// VM has.
func (s *state) versions() fleetQuery {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := fleetQuery{Registry: s.registryVersion.Number, RegistryEra: s.registryVersion.Era}
	if s.routeTable != nil {
		q.Configuration = s.routeTable.Document.Version
	}
	return q
}
