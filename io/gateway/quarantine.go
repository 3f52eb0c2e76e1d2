package gateway

import (
	"context"
	"time"

	"hawthornspar/core/quarantine"
)

// maxTrialWait bounds how long a request waits for the store to accept the claim of its
// trial.
const maxTrialWait = 400 * time.Millisecond

// checkQuarantine returns the refusal of a request with a quarantined feature. It
// returns none if a trial is due, which claimTrials claims before an attempt.
func (x *exchange) checkQuarantine() *refusal {
	decision, refused := x.quarantineDecision()
	if decision.TrialDue && x.runs.PossibleRuns() == 0 {
		return nil
	}
	return refused
}

// claimTrials returns the refusal of a request with a quarantined feature, unless the
// request is its trial and has not run yet.
func (x *exchange) claimTrials(ctx context.Context) *refusal {
	if len(x.trials) > 0 && x.runs.PossibleRuns() == 0 {
		return nil
	}
	decision, refused := x.quarantineDecision()
	if refused == nil || decision.TrialDue && x.runs.PossibleRuns() == 0 && x.claimEach(ctx, decision.Quarantine) {
		return nil
	}
	return refused
}

// quarantineDecision decides whether the request may run, and returns the refusal if it
// may not.
func (x *exchange) quarantineDecision() (quarantine.Decision, *refusal) {
	g := x.gateway
	if g.state.noSuspects() {
		return quarantine.Decision{Allowed: true}, nil
	}
	decision := g.state.checkQuarantine(x.features())
	g.logVerdicts()
	if decision.Allowed {
		return decision, nil
	}
	for _, f := range decision.Quarantine {
		g.log.Info("quarantined", "id", x.info.ID, "feature", f, "trialDue", decision.TrialDue, "retryAfter", decision.RetryAfter)
	}
	refused := quarantined
	refused.retryAfter = decision.RetryAfter
	return decision, &refused
}

// claimEach claims the trials that are due for all quarantined features of the request,
// and reports whether this request is the trial.
func (x *exchange) claimEach(ctx context.Context, features []quarantine.Feature) bool {
	ctx, cancel := context.WithTimeout(ctx, maxTrialWait)
	defer cancel()
	for _, f := range features {
		if !x.claimTrial(ctx, f) {
			x.refundTrials()
			return false
		}
	}
	return true
}

func (x *exchange) claimTrial(ctx context.Context, f quarantine.Feature) bool {
	g := x.gateway
	next, version := g.state.nextTrial(f, x.features())
	current, claimed, err := g.store.ClaimTrial(ctx, next, version)
	if err != nil {
		g.log.Info("trial not claimed", "feature", f, "id", x.info.ID, "error", err.Error())
		return false
	}
	g.state.setTrial(current)
	if claimed {
		x.trials = append(x.trials, current)
		g.log.Info("trial", "feature", f, "id", x.info.ID, "count", next.Count, "kind", next.LastKind)
	}
	return claimed
}

// refundTrials takes back the claims of trials in which no endpoint ran the request, or
// whose client left in the middle of the response.
func (x *exchange) refundTrials() {
	clientLeft := x.relayed.events > 0 && x.request.Context().Err() != nil
	if len(x.trials) == 0 || x.runs.PossibleRuns() > 0 && !clientLeft {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.request.Context()), maxTrialWait)
	defer cancel()
	g := x.gateway
	for _, t := range x.trials {
		current, _, err := g.store.ClaimTrial(ctx, t.Refund(), t.Version)
		if err != nil {
			g.log.Info("trial not refunded", "feature", t.Feature, "id", x.info.ID, "error", err.Error())
			continue
		}
		g.state.setTrial(current)
	}
	x.trials = nil
}
