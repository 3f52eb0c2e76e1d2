package gateway

import (
	"errors"
	"time"
)

// confirmedAt returns the time up to which a watch that was sent at the given time shows all
// changes. The store holds back a response without changes for watchHold; one with changes
// may have been on its way for long.
func confirmedAt(sent time.Time, hasChanges bool) time.Time {
	if hasChanges || time.Since(sent) < watchHold {
		return sent
	}
	return sent.Add(watchHold)
}

// recordRegistryCheck records that the store or another VM has confirmed the registry as of
// the given time.
func (s *state) recordRegistryCheck(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.knowledge.Registry.Check(at)
}

// recordEvacuationCheck records that the store or another VM has confirmed the evacuations
// as of the given time.
func (s *state) recordEvacuationCheck(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.knowledge.Evacuations.Check(at)
}

// recordStoreRequest records whether the store responded to a request for the registry or the
// evacuations.
func (s *state) recordStoreRequest(sent time.Time, responded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.knowledge.Store.Record(sent, responded)
}

// recordVMRequest records the result of a request for another VM's view.
func (s *state) recordVMRequest(sent time.Time, err error) {
	var none *NoPeerError
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.As(err, &none) {
		s.knowledge.VMs.RecordAbsent()
		return
	}
	s.knowledge.VMs.Record(sent, err == nil)
}

// recordView records what a VM's response to a request confirms. VMs of earlier versions of
// the program neither state their name nor know of evacuations. A VM that has not read the
// store since it has come back from a copy confirms nothing.
func (s *state) recordView(v fleetView, sent time.Time) {
	era := s.knownRegistry().Era
	if v.RegistryVersion > 0 && v.RegistryEra >= era {
		s.recordRegistryCheck(sent)
	}
	if v.VM == "" || v.Evacuations != nil && v.Evacuations.Era >= era {
		s.recordEvacuationCheck(sent)
	}
}

// needsView reports whether another VM is to be asked for its view.
func (s *state) needsView() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.knowledge.NeedsAnswer(time.Now())
}

// isStale reports whether the VM may send nothing by the registry that it knows.
func (g *Gateway) isStale() bool {
	notice := g.reloaded.Load().DrainNotice
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	return g.state.knowledge.Stale(notice, time.Now())
}
