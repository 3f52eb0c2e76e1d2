package gateway

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/escrow"
	"hawthornspar/core/home"
	"hawthornspar/io/metrics"
)

var _ = Describe("A VM without a channel to other VMs", func() {
	It("keeps what it would hand over, as nothing can have been sent", func() {
		counts, err := metrics.New()
		Expect(err).NotTo(HaveOccurred())
		g := New(Settings{Name: "vm"}, nil, nil, nil, counts)
		p := &repayer{gateway: g}
		taken := map[string]escrow.Repayment{"acme": {Returned: 100}}
		Expect(p.send(home.VM{Name: "other", Address: "10.0.0.2:1"}, taken)).To(BeFalse())
	})
})

var _ = Describe("sequences", func() {
	It("takes each number of a sender once, in order", func() {
		var s sequences
		var taken []bool
		for _, n := range []int64{1, 2, 2, 1, 3} {
			taken = append(taken, s.take("vm-1", n))
		}
		Expect(taken).To(Equal([]bool{true, true, false, false, true}))
		Expect(s.take("vm-2", 1)).To(BeTrue())
	})
})
