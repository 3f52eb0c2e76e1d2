package gateway

import (
	"time"

	"hawthornspar/core/evacuation"
)

// evacuate applies what a source says about evacuated failure domains, where it is newer.
func (g *Gateway) evacuate(c evacuation.Change, source string) {
	started, ended := g.state.evacuate(c)
	for _, d := range started {
		g.log.Info("evacuation", "domain", d, "started", true, "version", c.Version.String(), "source", source)
	}
	for _, d := range ended {
		g.log.Info("evacuation", "domain", d, "started", false, "version", c.Version.String(), "source", source)
	}
}

// adoptEvacuations takes over the evacuated failure domains that another VM knows.
func (g *Gateway) adoptEvacuations(v fleetView, from string) {
	if v.Evacuations != nil {
		g.evacuate(v.Evacuations.Change(), "VM "+from)
	}
}

// evacuate applies a change and returns the domains whose evacuation has started and ended.
func (s *state) evacuate(c evacuation.Change) (started, ended []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	started, ended = s.evacuations.Apply(c)
	for _, d := range started {
		s.endpoints.StartEvacuation(d)
	}
	for _, d := range ended {
		s.endpoints.EndEvacuation(d, time.Now())
	}
	return started, ended
}

// evacuatedDomains returns the number of evacuated failure domains.
func (s *state) evacuatedDomains() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.evacuations.Count())
}
