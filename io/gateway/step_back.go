package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"hawthornspar/core/escrow"
	"hawthornspar/core/home"
	"hawthornspar/core/quarantine"
	"hawthornspar/core/revision"
)

// rewriteTime is how long after the store has come back from a copy the operator and the
// endpoints may need to write again what it has lost.
const rewriteTime = 2800 * time.Millisecond

// ObserveEra learns the era of a response of the store. It returns a revision.OutdatedError
// if the response is of an era that is over and must not be used.
func (g *Gateway) ObserveEra(e revision.Era) error {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	from := s.eras.Era()
	steppedBack, err := s.eras.Observe(e)
	if err != nil {
		g.metrics.Increment("store_responses_dropped", "outdated")
		g.log.V(1).Info("response of the store dropped", "error", err.Error())
		return err
	}
	if steppedBack {
		g.stepBack(from)
	}
	return nil
}

// stepBack begins to restore what the store has lost. The tables that VMs follow are read
// anew, as their feeds cannot go on. The caller holds the state's lock.
func (g *Gateway) stepBack(from revision.Era) {
	s, era := g.state, g.state.eras.Era()
	s.steppedBackAt = time.Now()
	g.metrics.Increment("store_step_backs", "seen")
	g.log.Info("store has come back from a copy", "era", era.String(), "before", from.String(), "registry", s.registryVersion.String(), "evacuations", s.evacuations.Version().String(), "vms", len(s.members))
	for _, gr := range s.groups {
		gr.budgets.StepBack(era)
		gr.wake()
	}
	s.restored = &restoreReport{era: era}
}

// restoreReport sums up what a VM has kept over a step back and written again.
type restoreReport struct {
	era       revision.Era
	crashes   *quarantine.Restored // nil until the crashes have been read
	tokens    escrow.Declaration   // of all groups
	completed bool
}

// recordDeclaration records that a group's budgets are declared. The caller holds the state's
// lock.
func (g *Gateway) recordDeclaration(gr *group, d escrow.Declaration) {
	g.metrics.Add("store_rows_restored", "allocation", 1+d.Rows)
	g.log.V(1).Info("budgets declared", "group", gr.number, "kept", d.Kept, "givenUp", d.GivenUp, "lost", d.Lost, "rows", d.Rows)
	if r := g.state.restored; r != nil {
		r.tokens.Kept += d.Kept
		r.tokens.GivenUp += d.GivenUp
		r.tokens.Lost += d.Lost
		r.tokens.Rows += d.Rows
	}
	g.reportRestored()
}

// recordCrashesRestored records that the crashes have been read after a step back. The caller
// holds the state's lock.
func (g *Gateway) recordCrashesRestored(r quarantine.Restored) {
	g.metrics.Add("store_rows_restored", "crashReport", r.Reports)
	if g.state.restored != nil {
		g.state.restored.crashes = &r
	}
	g.reportRestored()
}

// reportRestored logs once for each step back what this VM has kept and written again. The
// caller holds the state's lock.
func (g *Gateway) reportRestored() {
	s := g.state
	r := s.restored
	if r == nil || r.completed || r.crashes == nil {
		return
	}
	for _, gr := range s.groups {
		if !gr.budgets.Settlement().Declared {
			return
		}
	}
	r.completed = true
	g.log.Info("restored after a step back of the store", "era", r.era.String(), "after", time.Since(s.steppedBackAt).String(),
		"tokensKept", r.tokens.Kept, "tokensGivenUp", r.tokens.GivenUp, "tokensLost", r.tokens.Lost, "rowsOfOthers", r.tokens.Rows,
		"crashesKept", r.crashes.Crashes, "reportsLost", r.crashes.Reports, "trialsLost", r.crashes.Trials)
}

// restoredUntil returns the end of the time in which the store may lack what others have
// still to write again; zero if a request that is sent at the given time is after it.
func (s *state) restoredUntil(sent time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := s.steppedBackAt.Add(rewriteTime)
	if s.steppedBackAt.IsZero() || sent.After(end) {
		return time.Time{}
	}
	return end
}

// steppedBackSince reports whether the store has stepped back since a time.
func (s *state) steppedBackSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !t.IsZero() && s.steppedBackAt.After(t)
}

// restoreMembers returns the VMs that the store listed at a time, and, as long as VMs may have
// to register again after a step back, those known before.
func (s *state) restoreMembers(listed []home.VM, at time.Time) []home.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.steppedBackAt.IsZero() || at.After(s.steppedBackAt.Add(registerPeriod)) {
		return listed
	}
	return home.Restore(listed, s.members)
}

// budgetsOpening reports whether this VM has just started with all others, and waits until
// budgets may be drawn.
func (s *state) budgetsOpening() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.eras.Era() == 0 {
		return false
	}
	for _, gr := range s.groups {
		if gr.budgets.IsHome() && !gr.budgets.Ready() || gr.budgets.Opening() {
			return true
		}
	}
	return false
}

// unsettledGroups returns the number of groups whose undrawn tokens may not be drawn.
func (s *state) unsettledGroups() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := int64(0)
	for _, gr := range s.groups {
		if !gr.budgets.Settlement().Settled {
			n++
		}
	}
	return n
}

// storeEra returns the era of the store; 0 if it states none.
func (s *state) storeEra() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.eras.Era())
}

// restoreAuthority writes the fleet's certificate authority again if the store has lost it. A
// VM that starts then would mint another one, and reach no other VM.
func (g *Gateway) restoreAuthority(ctx context.Context) {
	authority := g.authority.Load()
	if authority == nil {
		return
	}
	raw, err := json.Marshal(authority)
	if err != nil {
		g.log.Info("authority not written again", "error", err.Error())
		return
	}
	stored, err := g.store.Shared(ctx, authorityKey, raw)
	switch {
	case err != nil:
		g.log.Info("authority not written again", "error", err.Error())
	case !bytes.Equal(stored, raw):
		g.metrics.Increment("authority_conflicts", "stepBack")
		g.log.Info("another authority in the store")
	}
}
