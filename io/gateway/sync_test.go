package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A watch whose response is lost", func() {
	// drainBound is when a draining endpoint must get no more requests,
	// applyBound when a configuration must be in force, at the strictest of the
	// users' sites.
	const drainBound, applyBound = 2 * time.Second, 2 * time.Second
	longestFailurePause := failurePause * 3 / 2

	It("is followed by the next watch before the VM must know that an endpoint is draining", func() {
		Expect(registryPause + watchTimeout + longestFailurePause).To(BeNumerically("<", drainBound))
	})

	It("is followed by the next watch before a new configuration must be in force", func() {
		Expect(watchTimeout + longestFailurePause).To(BeNumerically("<", applyBound))
	})

	It("leaves a slow store time to respond", func() {
		Expect(watchTimeout - watchHold).To(BeNumerically(">", 300*time.Millisecond))
	})
})
