package endpoints

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Outage", func() {
	for _, c := range []struct {
		name      string
		failures  []int // ms at which requests without a response were sent
		confirmed int   // ms at which one was sent whose response had the registration
		learnt    int   // ms at which the VM learns that a registration is missing
		want      int   // ms until which its endpoint is used
	}{
		{"the store has never failed", nil, 0, 500, 500},
		// Guards against DRAIN: a grace period for one failed request.
		{"one request has failed", []int{0}, -500, 1600, 1600},
		{"the VM was suspended during one request", []int{0}, -500, 5100, 5100},
		{"an outage has ended", []int{0, 1500, 3000}, -500, 4600, 5800},
		{"an outage has just ended", []int{0, 1500, 3000}, -500, 3100, 4900},
		// Guards against DRAIN: a grace period from when the VM learns of the removal.
		{"it was removed after the outage", []int{0, 1500, 3000}, 3300, 4200, 5100},
		{"its removal was learnt long after it", []int{0, 1500, 3000}, 3300, 5300, 5300},
		{"its removal was learnt long after the outage", []int{0, 1500, 3000}, 5000, 5900, 5900},
	} {
		It("decides how long a missing endpoint is used: "+c.name, func() {
			o := Outage{}
			for _, ms := range c.failures {
				o.Record(at(ms), false)
			}
			Expect(o.GraceEnd(at(c.confirmed), at(c.learnt))).To(Equal(at(c.want)))
		})
	}

	It("begins anew with the first failure after a response", func() {
		o := Outage{}
		o.Record(at(0), false)
		o.Record(at(1000), true)
		o.Record(at(2000), false)
		Expect(o.GraceEnd(at(1000), at(2100))).To(Equal(at(2100)))
		o.Record(at(3000), false)
		Expect(o.GraceEnd(at(1000), at(3100))).To(Equal(at(4900)))
	})
})
