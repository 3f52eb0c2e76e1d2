package loadexchange

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/endpointload"
)

var _ = Describe("Messages", func() {
	ids := []string{"e-1", "e-2"}
	known := indexByHash(ids)

	// Guards against tokens, speeds or observations that change on the way.
	It("arrive as they were sent, without endpoints that are not registered", func() {
		loads := map[string]endpointload.Load{"e-1": {Running: 2, PrefillTokens: 4_097, HeldTokens: 9_001}, "unregistered": {Running: 1}}
		raw, err := encodeReport(endpointload.Report{Domain: "a", Sequence: 7, Loads: loads, Observations: []endpointload.Observation{{Endpoint: "e-2", PredictedMs: 80, ActualMs: 120}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(decodeReport(raw, "vm", known)).To(Equal(endpointload.Report{
			VM: "vm", Domain: "a", Sequence: 7, Loads: map[string]endpointload.Load{"e-1": loads["e-1"]},
			Observations: []endpointload.Observation{{Endpoint: "e-2", PredictedMs: 80, ActualMs: 120}},
		}))
		raw, err = encodeSummary(endpointload.Summary{Entries: map[string]endpointload.Entry{"e-1": {Load: endpointload.Load{Running: 1, PrefillTokens: 4_097}}, "e-2": {Speed: 0.5}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(decodeSummary(raw, known)).To(Equal(endpointload.Summary{Entries: map[string]endpointload.Entry{
			"e-1": {Load: endpointload.Load{Running: 1, PrefillTokens: 4_096}}, "e-2": {Speed: 0.5},
		}}))
		raw, err = encodeDomainSum(endpointload.DomainSum{Domain: "a", Sequence: 1, Loads: map[string]endpointload.Load{"e-1": {Running: 4, HeldTokens: 160}}, Speeds: map[string]endpointload.SpeedSample{"e-2": {Speed: 1.7, Weight: 20}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(decodeDomainSum(raw, "vm", known)).To(Equal(endpointload.DomainSum{
			Domain: "a", VM: "vm", Sequence: 1, Loads: map[string]endpointload.Load{"e-1": {Running: 4, HeldTokens: 160}}, Speeds: map[string]endpointload.SpeedSample{"e-2": {Speed: 1.7, Weight: 20}},
		}))
	})

	// Guards against load that is counted at the wrong endpoint.
	It("leave out endpoints that share a hash", func() {
		Expect(indexByHash([]string{"e-1", "e-1", "e-2"})).To(Equal(map[uint32]string{hashOf("e-2"): "e-2"}))
	})

	// Guards against numbers that overflow.
	It("clip absurd numbers", func() {
		Expect(tokens(math.MaxUint64, tokensPerUnit)).To(Equal(int64(math.MaxInt64)))
	})

	// Guards against control traffic above 4 KB/s for a VM that has many requests, with 60
	// engines that all have load, and against exchanges that become rare for that.
	It("leave VMs within their control traffic", func() {
		entries := map[string]endpointload.Entry{}
		for i := range 60 {
			id := fmt.Sprintf("i-%08x", i*7919)
			entries[id] = endpointload.Entry{Load: endpointload.Load{Running: 40 + i%24, PrefillTokens: 80_000 + int64(i)*997, HeldTokens: 190_000 + int64(i)*991}, Speed: 1.7}
		}
		summary, err := encodeSummary(endpointload.Summary{Entries: entries})
		Expect(err).NotTo(HaveOccurred())
		exchange := len(summary) + overheadBytes
		a, exchanges := allowance{}, 0
		start := time.Now()
		for t := time.Duration(0); t < time.Minute; t += maxViewAge {
			if now := start.Add(t); a.available(now) {
				a.spend(exchange, now)
				exchanges++
			}
		}
		Expect(exchanges * exchange).To(BeNumerically("<=", 60*bytesPerSecond+burstBytes+exchange))
		Expect(time.Minute/time.Duration(exchanges)).To(BeNumerically("<=", inFlightPeriod), "what is known stays recent")
	})
})
