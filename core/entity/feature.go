package entity

import (
	"strconv"
	"strings"
)

// prefixFeature begins the texts that stand for the start of prompts where fingerprints
// stand for whole requests.
const prefixFeature = "prefix:"

// PrefixFingerprint returns what stands for the start of the request's prompt, among the
// requests of its client account; empty if the prompt has none. Other accounts may send
// prompts with the same start: no account can have theirs refused.
func (r *Request) PrefixFingerprint() string {
	if r.Prefix == 0 {
		return ""
	}
	return prefixFeature + r.Account + "/" + strconv.FormatUint(r.Prefix, 16)
}

// IsPrefixFingerprint reports whether a text stands for the start of prompts.
func IsPrefixFingerprint(text string) bool { return strings.HasPrefix(text, prefixFeature) }

// IsQuarantined reports whether a request, or the start of its prompt, is quarantined.
func (c *Config) IsQuarantined(r *Request) bool {
	if c.Quarantined.Len() == 0 {
		return false
	}
	if _, quarantined := c.Quarantined.Get(r.Fingerprint); quarantined {
		return true
	}
	_, quarantined := c.Quarantined.Get(r.PrefixFingerprint())
	return quarantined
}
