// Package endpoints keeps what a VM knows of the endpoints: what they register,
// how they answered, what it has sent them; and chooses one for a request.
package endpoints

import "time"

// Registration is what an endpoint says of itself in the registry.
type Registration struct {
	ID       string
	Service  string
	Address  string // IP:port
	Domain   string // failure domain
	Slots    int    // requests that run at once
	Draining bool   // takes no new work
	Born     int64  // Unix milliseconds of its start; a new one voids what was known
}

// Part is one part of a prompt, in order. Equal parts after equal parts are
// cached by endpoints.
type Part struct {
	ID     string
	Tokens int64
}

// Endpoint is an endpoint with what this VM knows of it.
type Endpoint struct {
	Registration
	running    int     // own requests that have not ended
	prefilling int64   // own prompt tokens sent and not yet answered
	failures   int     // in a row
	fails      average // share of own requests that failed
	lag        average // ms to the first piece of the answer
	avoidUntil time.Time
	goneAt     time.Time // when a removed registration is believed; zero while registered
	parts      map[string]time.Time
}

// usable tells whether new work may be sent.
func (e *Endpoint) usable(now time.Time) bool {
	if e.Draining {
		return false
	}
	return e.goneAt.IsZero() || now.Before(e.goneAt)
}

// RegistryChange is what changed in the registry of endpoints.
type RegistryChange struct {
	Put        []Registration
	Removed    []string // ids
	Unreadable []string // ids of rows that name no endpoint to use
}
