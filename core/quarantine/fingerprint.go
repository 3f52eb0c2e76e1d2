// Package quarantine finds requests that crash the endpoints that run them, and
// decides when such a request may run again. VMs share what they know through the
// store, as a request that is sent again may reach any VM.
package quarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies requests that ask for the same: those of one client
// account with the same path and body.
type Fingerprint string

// separator ends each part of the text that is hashed. No path or name of an
// account contains it.
var separator = []byte{0}

// FingerprintOf returns the fingerprint of a request. account is empty if the
// request has none.
func FingerprintOf(account, path string, body []byte) Fingerprint {
	// Writes to a hash do not fail.
	h := xxhash.New()
	_, _ = h.WriteString(account)
	_, _ = h.Write(separator)
	_, _ = h.WriteString(path)
	_, _ = h.Write(separator)
	_, _ = h.Write(body)
	return Fingerprint(strconv.FormatUint(h.Sum64(), 16))
}
