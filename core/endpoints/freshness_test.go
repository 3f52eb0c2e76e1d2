package endpoints

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The link of a crowded small VM delays the responses to its watches and the
// requests that it sends. Both delays count against the time for which a leaving
// endpoint goes on serving.
var _ = Describe("Freshness on a VM whose link is full", func() {
	for _, t := range []struct {
		name      string
		checked   []time.Duration // ages of the requests to which a source responded
		sendDelay time.Duration
		covers    bool
	}{
		{"no source has ever responded", nil, 0, false},
		{"the last watch has just returned", []time.Duration{600 * time.Millisecond}, 0, true},
		{"no watch has returned for longer than the notice", []time.Duration{3400 * time.Millisecond}, 0, false},
		{"a request that waits in the link", []time.Duration{1200 * time.Millisecond}, 2 * time.Second, false},
		{"another VM has responded since", []time.Duration{3400 * time.Millisecond, 700 * time.Millisecond}, 100 * time.Millisecond, true},
		{"an older response arrives late", []time.Duration{700 * time.Millisecond, 3400 * time.Millisecond}, 100 * time.Millisecond, true},
	} {
		It(t.name, func() {
			const notice = 3 * time.Second
			now := time.Unix(1_000, 0)
			var f Freshness
			for _, age := range t.checked {
				f.Check(now.Add(-age))
			}
			Expect(f.Covers(t.sendDelay, notice, now)).To(Equal(t.covers))
		})
	}
})
