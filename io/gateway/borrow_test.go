package gateway

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/escrow"
	"hawthornspar/core/home"
	"hawthornspar/io/metrics"
)

var _ = Describe("A VM without a transport to other VMs", func() {
	It("keeps the tokens that it would hand over, as nothing can have been sent", func() {
		counts, err := metrics.New()
		Expect(err).NotTo(HaveOccurred())
		g := New(Settings{Name: "vm"}, nil, nil, nil, counts)
		p := &repayer{gateway: g}
		withdrawn := map[string]escrow.Repayment{"acme": {Returned: 100}}
		Expect(p.send(home.VM{Name: "other", Address: "10.0.0.2:1"}, withdrawn)).To(BeFalse())
	})
})

var _ = Describe("sequences", func() {
	It("accepts each sequence number of a sender once, in order", func() {
		var s sequences
		var accepted []bool
		for _, n := range []int64{1, 2, 2, 1, 3} {
			accepted = append(accepted, s.accept("vm-1", n))
		}
		Expect(accepted).To(Equal([]bool{true, true, false, false, true}))
		Expect(s.accept("vm-2", 1)).To(BeTrue())
	})
})
