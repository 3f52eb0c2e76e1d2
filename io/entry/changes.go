package entry

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/pkg/errors"

	"hawthornspar/io/caller"
	"hawthornspar/io/wire"
)

// secretBytes is the number of random bytes in a new secret.
const secretBytes = 24

// NewSecret returns a random secret and its hash.
func NewSecret() (secret, hash string) {
	raw := make([]byte, secretBytes)
	rand.Read(raw)
	secret = "hs-" + hex.EncodeToString(raw)
	return secret, caller.HashSecret(secret)
}

// PutAPIKey returns the change that creates or updates a caller's or an
// operator's API key.
func PutAPIKey(key *wire.ApiKey) *wire.Change {
	return &wire.Change{Entity: &wire.Change_ApiKey{ApiKey: key}}
}

// PutAccount returns the change that creates or updates a client account.
func PutAccount(a *wire.Account) *wire.Change {
	return &wire.Change{Entity: &wire.Change_Account{Account: a}}
}

// PutService returns the change that creates or updates a service.
func PutService(s *wire.Service) *wire.Change {
	return &wire.Change{Entity: &wire.Change_Service{Service: s}}
}

// PutRank returns the change that creates or updates a rank.
func PutRank(r *wire.Rank) *wire.Change {
	return &wire.Change{Entity: &wire.Change_Rank{Rank: r}}
}

// PutEndpoint returns the change that creates or updates an endpoint.
func PutEndpoint(e *wire.Endpoint) *wire.Change {
	return &wire.Change{Entity: &wire.Change_Endpoint{Endpoint: e}}
}

// TopUp returns the change that adds tokens to a budget.
func TopUp(budget string, tokens int64) *wire.Change {
	return &wire.Change{Entity: &wire.Change_TopUp{TopUp: &wire.TopUp{Budget: budget, Tokens: tokens}}}
}

// Release returns the change that ends the quarantine of the requests with a
// fingerprint.
func Release(fingerprint string) *wire.Change {
	return &wire.Change{Entity: &wire.Change_Quarantine{Quarantine: &wire.Quarantine{Fingerprint: fingerprint, Released: true}}}
}

// maxDrainTries bounds the tries of a drain that other changes of the endpoint come
// before.
const maxDrainTries = 5

// Drain sets an endpoint to draining and returns the version of that change. Another
// operator's change of the endpoint that is made meanwhile is kept.
func (c *Client) Drain(name, operation string) (int64, error) {
	var conflict *ConflictError
	for range maxDrainTries {
		version, err := c.DrainIf(AnyVersion, name, operation)
		if !errors.As(err, &conflict) {
			return version, err
		}
	}
	return 0, conflict
}

// AnyVersion stands for the version that an endpoint has when it is read.
const AnyVersion = -1

// DrainIf sets an endpoint to draining if it was last changed by the given version, and
// returns the version of that change.
func (c *Client) DrainIf(expected int64, name, operation string) (int64, error) {
	e, version, err := c.endpoint(name)
	if err != nil {
		return 0, err
	}
	if expected == AnyVersion {
		expected = version
	}
	e.Leaving = true
	return c.Change(&wire.ChangeRequest{Operation: operation, Change: PutEndpoint(e), Checked: true, Expected: expected})
}

// endpoint returns an endpoint of the configuration in force, and the version that last
// changed it.
func (c *Client) endpoint(name string) (*wire.Endpoint, int64, error) {
	configuration, err := c.Config()
	if err != nil {
		return nil, 0, err
	}
	for _, item := range configuration.Items {
		if e := item.GetEndpoint(); e.GetName() == name {
			return e, item.GetVersion(), nil
		}
	}
	return nil, 0, &RejectedError{Message: "no endpoint " + name}
}
