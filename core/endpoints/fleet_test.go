package endpoints

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against short prompts that wait behind long ones which other VMs have
// sent. The bounds come from the aims: a few requests in a hundred may be late,
// and no backlog may be far beyond the longest aim, which a prompt of the
// largest size exceeds at a slow engine by itself.
var _ = Describe("A fleet whose VMs share engines of uneven speed", func() {
	It("meets the aims of long and short prompts when the VMs know each other's load", func() {
		alone, shared := newFleetSim(88, 60, false, 7), newFleetSim(88, 60, true, 7)
		for _, s := range []*fleetSim{alone, shared} {
			s.run(60*time.Second, 40*time.Second)
			GinkgoWriter.Println(s.table())
		}
		Expect(shared.lateShare("short")).To(BeNumerically("<", 0.03))
		Expect(shared.lateShare("tags")).To(BeNumerically("<", 0.03))
		Expect(shared.lateShare("long")).To(BeNumerically("<", 0.03))
		Expect(alone.lateShare("short")).To(BeNumerically(">", 0.03), "the mix is no test otherwise")
		Expect(shared.maxBacklog).To(BeNumerically("<", 2*time.Second))
		Expect(shared.errorAt(0.5)).To(BeNumerically("<", 0.15))
	})
})
