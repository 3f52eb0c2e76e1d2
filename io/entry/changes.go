package entry

import (
	"crypto/rand"
	"encoding/hex"

	"hawthornspar/io/caller"
	"hawthornspar/io/wire"
)

// secretBytes is the size of a minted secret.
const secretBytes = 24

// NewSecret returns a random secret and its hash.
func NewSecret() (secret, hash string) {
	raw := make([]byte, secretBytes)
	rand.Read(raw)
	secret = "hs-" + hex.EncodeToString(raw)
	return secret, caller.HashSecret(secret)
}

// PutKey gives a caller's or an operator's key.
func PutKey(key *wire.ApiKey) *wire.Change {
	return &wire.Change{Entity: &wire.Change_ApiKey{ApiKey: key}}
}

// PutAccount creates or changes a client account.
func PutAccount(a *wire.Account) *wire.Change {
	return &wire.Change{Entity: &wire.Change_Account{Account: a}}
}

// PutService creates or changes a service.
func PutService(s *wire.Service) *wire.Change {
	return &wire.Change{Entity: &wire.Change_Service{Service: s}}
}

// PutRank creates or changes a rank.
func PutRank(r *wire.Rank) *wire.Change {
	return &wire.Change{Entity: &wire.Change_Rank{Rank: r}}
}

// PutEndpoint creates or changes an endpoint.
func PutEndpoint(e *wire.Endpoint) *wire.Change {
	return &wire.Change{Entity: &wire.Change_Endpoint{Endpoint: e}}
}

// TopUp adds tokens to a budget.
func TopUp(budget string, tokens int64) *wire.Change {
	return &wire.Change{Entity: &wire.Change_TopUp{TopUp: &wire.TopUp{Budget: budget, Tokens: tokens}}}
}

// Release ends the quarantine of a fingerprint.
func Release(fingerprint string) *wire.Change {
	return &wire.Change{Entity: &wire.Change_Quarantine{Quarantine: &wire.Quarantine{Fingerprint: fingerprint, Released: true}}}
}

// Drain returns the change that marks an endpoint as leaving.
func (c *Client) Drain(name string) (*wire.Change, error) {
	all, err := c.Config()
	if err != nil {
		return nil, err
	}
	for _, item := range all.Items {
		if e := item.GetEndpoint(); e.GetName() == name {
			e.Leaving = true
			return PutEndpoint(e), nil
		}
	}
	return nil, &RejectedError{Message: "no endpoint " + name}
}
