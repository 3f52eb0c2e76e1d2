package escrow

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// maxHeldTime is the spending of a whole account that all its borrowers together may
// hold unused. It is lost to the account when all VMs lose power.
const maxHeldTime = 500 * time.Millisecond

// freeAtBorrowers returns the tokens that borrowers hold and no request has reserved.
func (f *crowdedFleet) freeAtBorrowers() int64 {
	sum := int64(0)
	for _, b := range f.borrowers {
		balance := b.budgets.Balance(b.account, f.now)
		sum += balance.Granted - balance.Committed
	}
	return sum
}

var _ = Describe("Seventy-three borrowers with few requests each", func() {
	// Guards against loans that leave a second or more of an account's spending in
	// small pieces at VMs that may lose power.
	It("hold little of the account unused", func() {
		const rate, samples = 2.0, 20
		var rates []float64
		for range 73 {
			rates = append(rates, rate)
		}
		f := newCrowdedFleet(34_000_000, rates...)
		f.run(4 * time.Second)
		held := int64(0)
		for i := range samples {
			f.run(4*time.Second + time.Duration(i)*330*time.Millisecond)
			held += f.freeAtBorrowers() / samples
		}
		perSecond := rate * float64(len(rates)) * requestTokensUsed
		Expect(float64(held) / perSecond).To(BeNumerically("<", maxHeldTime.Seconds()))
		Expect(f.refusedShare()).To(BeNumerically("<", maxRefusedShare))
	})
})
