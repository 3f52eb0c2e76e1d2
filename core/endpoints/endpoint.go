// Package endpoints keeps what a VM knows of each endpoint: its registration,
// its health as observed in the VM's own requests, and the load that the VM
// puts on it. From these it chooses an endpoint for each request.
package endpoints

import (
	"time"

	"hawthornspar/core/endpointload"
)

// Registration is an endpoint's row in the registry. VMs exchange registrations
// as JSON under these field names.
type Registration struct {
	ID       string
	Service  string
	Address  string // IP:port
	Domain   string // failure domain
	Slots    int    // requests that run concurrently
	Draining bool   // accepts no new requests
	Born     int64  // start of the endpoint in Unix milliseconds; a change discards what was known of it
	// ColdRemaining is how much longer the endpoint is cold, from when the registration is
	// read.
	ColdRemaining time.Duration
}

// PrefixBlock is one block of a prompt. Endpoints cache a block together with
// the blocks before it, so a block is reused only after the same blocks.
type PrefixBlock struct {
	ID     string
	Tokens int64
}

// Endpoint is a registered endpoint with its health and load as this VM knows
// them.
type Endpoint struct {
	Registration
	model               *model               // of the endpoint's service
	profile             *profile             // of the endpoint's service
	fleet               *fleetView           // of the table
	others              endpointload.Load    // what other VMs have in flight
	speed               float64              // relative to the service's usual, which is 1
	running             int                  // this VM's requests that have not ended
	prefillTokens       int64                // prompt tokens of this VM's requests that have no first chunk yet
	heldTokens          int64                // prompt and most output tokens of this VM's requests that have not ended
	consecutiveFailures int                  // since the last attempt that ended as Succeeded
	failureRate         decayingAverage      // share of this VM's requests that failed
	firstChunkMs        decayingAverage      // time to first chunk
	unexplainedMs       decayingAverage      // time to first chunk beyond what the load explains
	avoidUntil          time.Time            // not chosen before, unless too few endpoints remain
	expiresAt           time.Time            // accepts no new requests from this time on; zero while registered
	leavingSince        time.Time            // when the endpoint said that it is leaving; zero if it has not
	pausedUntil         time.Time            // wants no requests of this VM before
	blockLastUsed       map[string]time.Time // by ID of a prefix block
	cold                coldness
}

// usable reports whether the endpoint accepts new requests.
func (e *Endpoint) usable(now time.Time) bool { return e.registered(now) && !e.paused(now) }

// registered reports whether the endpoint accepts new requests according to the
// registry and to its own word.
func (e *Endpoint) registered(now time.Time) bool {
	if e.Draining || e.saysLeaving() {
		return false
	}
	return e.expiresAt.IsZero() || now.Before(e.expiresAt)
}

// RegistryChange is a set of changes in the registry of endpoints.
type RegistryChange struct {
	Put        []Registration
	Removed    []string // ids
	Unreadable []string // ids of rows without a valid registration
	// Expiring holds how much longer endpoints in Put are used that the source
	// of the change knows to be missing, by id.
	Expiring map[string]time.Duration
}

// Empty reports whether nothing has changed.
func (c RegistryChange) Empty() bool { return len(c.Put)+len(c.Removed)+len(c.Unreadable) == 0 }
