package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A watch whose answer is lost", func() {
	// leaveBound is when a leaving endpoint gets no more work, applyBound when a
	// configuration is in force, at the strictest of the users' sites.
	const leaveBound, applyBound = 2 * time.Second, 2 * time.Second
	longestFailPause := failPause * 3 / 2

	It("is followed by the next one before an endpoint's leaving is too old", func() {
		Expect(registryPause + watchLimit + longestFailPause).To(BeNumerically("<", leaveBound))
	})

	It("is followed by the next one before a configuration is too old", func() {
		Expect(watchLimit + longestFailPause).To(BeNumerically("<", applyBound))
	})

	It("leaves a slow store the time to answer", func() {
		Expect(watchLimit - watchWait).To(BeNumerically(">", 300*time.Millisecond))
	})
})
