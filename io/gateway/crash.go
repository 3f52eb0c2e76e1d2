package gateway

import (
	"context"
	"errors"
	"syscall"
	"time"

	"hawthornspar/core/endpoints"
	"hawthornspar/core/quarantine"
)

// crashProbeTimeout bounds the connection attempt that distinguishes a crashed
// endpoint, whose host refuses the connection, from one that lost a response.
const crashProbeTimeout = 150 * time.Millisecond

// requestFeature returns the feature of the whole request.
func (x *exchange) requestFeature() quarantine.Feature {
	if x.identity == "" {
		x.identity = quarantine.RequestFeature(x.accountName(), rawPath(x.request.RequestURI), x.body)
	}
	return x.identity
}

// features returns all features of the request.
func (x *exchange) features() []quarantine.Feature {
	return append([]quarantine.Feature{x.requestFeature()}, x.parts...)
}

// maxLoggedParts bounds the parts of a prompt that a log line names.
const maxLoggedParts = 8

// sharedParts returns the ids of the parts of a prompt that other prompts may share: all
// but the last.
func sharedParts(blocks []endpoints.PrefixBlock) []string {
	var ids []string
	for _, b := range blocks[:max(len(blocks)-1, 0)] {
		ids = append(ids, b.ID)
	}
	return ids
}

// loggedParts returns the features of the prompt's parts, for logs.
func (x *exchange) loggedParts() []quarantine.Feature {
	return x.parts[:min(len(x.parts), maxLoggedParts)]
}

// accountName returns the name of the request's client account; empty for none.
func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// checkForCrash finds out whether the endpoint of an attempt, whose response was
// lost or cut off for the given cause, has crashed.
func (x *exchange) checkForCrash(ctx context.Context, a *endpoints.Attempt, cause error) {
	s := x.gateway.state
	if s.hasLeft(a) {
		return
	}
	in := quarantine.Incarnation{Endpoint: a.Endpoint.ID, Born: a.Endpoint.Born}
	run := x.currentRun()
	if errors.Is(cause, syscall.ETIMEDOUT) || !x.refusesConnections(ctx, a) {
		s.recordLostResponse(run, in)
		return
	}
	s.recordBroken(a.Endpoint)
	g := x.gateway
	g.metrics.Increment("endpoint_crashes", "connectionRefused")
	if s.recordCrash(run, in) {
		g.wakeCrashWriter()
	}
	g.log.Info("endpoint crashed", "endpoint", in.Endpoint, "born", in.Born, "id", x.info.ID, "feature", x.requestFeature(), "parts", x.loggedParts(), "bytes", run.Reached.Bytes, "afterMs", run.Reached.Ms, "events", x.relayed.events)
	g.logUnreported(in)
	g.logVerdicts()
}

// refusesConnections reports whether the host of an attempt's endpoint refuses a new
// connection.
func (x *exchange) refusesConnections(ctx context.Context, a *endpoints.Attempt) bool {
	ctx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	err := x.gateway.pool.Probe(ctx, a.Endpoint.Address, x.gateway.state.maxConnections(x.service))
	return errors.Is(err, syscall.ECONNREFUSED)
}

// logUnreported logs and counts the features of the requests that were lost in a crash for
// which this VM's report has no room.
func (g *Gateway) logUnreported(in quarantine.Incarnation) {
	if n := g.state.unreportedFeatures(in); n > 0 {
		g.metrics.Increment("crash_reports", "truncated")
		g.log.Info("crash report truncated", "endpoint", in.Endpoint, "born", in.Born, "unreported", n)
	}
}

// logVerdicts logs which features are quarantined now, and which no longer are.
func (g *Gateway) logVerdicts() {
	for _, v := range g.state.takeVerdicts() {
		if v.Quarantined {
			g.log.Info("quarantine", "feature", v.Feature, "crashes", v.Crashes, "bytes", v.Caught.Bytes, "afterMs", v.Caught.Ms, "refuted", v.Refuted, "soundRuns", v.SoundRuns)
			continue
		}
		g.log.Info("quarantine lifted", "feature", v.Feature, "by", v.Sound.VM, "request", v.Sound.Request, "storeMs", v.Sound.StoreMs, "refuted", v.Refuted)
	}
}
