package home

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Restore", func() {
	// Guards against home VMs that change because the store's copy lacks VMs.
	It("keeps the VMs that a store lacks which has come back from a copy, but for those that are long silent", func() {
		known := fleet(4)
		known[3].StoreMs -= 2 * registrationTTL.Milliseconds()
		listed := fleet(2)
		listed[1].Incarnation = "next"
		restored := Restore(listed, known)
		Expect(names(restored)).To(Equal([]string{"vm0", "vm1", "vm2"}))
		Expect(restored[1].Incarnation).To(Equal("next"))
	})
})
