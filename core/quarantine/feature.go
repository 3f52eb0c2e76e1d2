// Package quarantine finds out by which requests endpoints crash, and decides when such
// requests may run again. What requests may have in common is a feature: the whole
// request, or a part of its prompt. The evidence against a feature are the crashes of
// endpoints while requests with it ran; a sound run refutes it. VMs share what they know
// through the store, as requests with a feature may reach any VM.
package quarantine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Feature is what several requests may have in common and may crash endpoints by. Its
// text holds no slash and is at most maxFeatureBytes long.
type Feature string

// Kinds of features, with which their texts begin.
const (
	requestKind = "request:"
	partKind    = "part:"
)

const (
	// maxPartName bounds the ids of parts that features show as they are.
	maxPartName = 40
	// maxFeatureBytes is the length of the longest feature.
	maxFeatureBytes = len(partKind) + maxPartName
)

// separator ends each part of the text that is hashed. No path or name of an account
// contains it.
var separator = []byte{0}

// RequestFeature returns the feature of requests that ask for the same: those of one
// client account with the same path and body. account is empty if the request has none.
func RequestFeature(account, path string, body []byte) Feature {
	// Writes to a hash do not fail.
	h := xxhash.New()
	_, _ = h.WriteString(account)
	_, _ = h.Write(separator)
	_, _ = h.WriteString(path)
	_, _ = h.Write(separator)
	_, _ = h.Write(body)
	return Feature(requestKind + strconv.FormatUint(h.Sum64(), 16))
}

// PartFeatures returns the features of the parts of a prompt that other prompts may
// share: those with the given ids, each once.
func PartFeatures(ids []string) []Feature {
	if len(ids) == 0 {
		return nil
	}
	features := make([]Feature, 0, len(ids))
	known := make(map[string]bool, len(ids))
	for _, id := range ids {
		if !known[id] {
			known[id] = true
			features = append(features, partFeature(id))
		}
	}
	return features
}

// partFeature returns the feature of a part. It holds the part's id, or a hash of an id
// that is long or has other characters than letters, digits, hyphens and underscores.
func partFeature(id string) Feature {
	if id != "" && len(id) <= maxPartName && strings.IndexFunc(id, isUnusual) < 0 {
		return Feature(partKind + id)
	}
	return Feature(partKind + "#" + strconv.FormatUint(xxhash.Sum64String(id), 16))
}

func isUnusual(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '-', r == '_':
		return false
	}
	return true
}

func (f Feature) isPart() bool { return strings.HasPrefix(string(f), partKind) }
