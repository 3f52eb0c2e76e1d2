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

// fingerprint returns the fingerprint of the request.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	if x.identity == "" {
		x.identity = quarantine.FingerprintOf(x.accountName(), rawPath(x.request.RequestURI), x.body)
	}
	return x.identity
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
	if errors.Is(cause, syscall.ETIMEDOUT) || !x.gateway.state.accepts(a) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	err := x.gateway.pool.Probe(ctx, a.Endpoint.Address, x.gateway.state.maxConnections(x.service))
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	x.gateway.metrics.Increment("endpoint_crashes", "connectionRefused")
	x.gateway.log.Info("endpoint crashed", "endpoint", a.Endpoint.ID, "born", a.Endpoint.Born, "id", x.info.ID, "fingerprint", x.fingerprint())
}
