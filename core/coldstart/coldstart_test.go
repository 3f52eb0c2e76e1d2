package coldstart

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/home"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "coldstart")
}

var _ = Describe("LimitFor", func() {
	for _, c := range []struct {
		name      string
		perSecond float64
		margin    Margin
		want      Limit
	}{
		{"a bound of 29", 16, Margin{1.5, 5}, Limit{3, 4}},
		{"settings that are missing", 16, Margin{}, Limit{3, 2}},
		{"a bound below six", 4, Margin{}, Limit{2, 1}},
		{"a bound of one", 1, Margin{}, Limit{1, 1}},
		{"a bound below one", 0.2, Margin{}, Limit{1, 1}},
		{"an absurd rate", 1e300, Margin{1e300, 0}, Limit{3, 166_666}},
	} {
		// Guards against two sets of owners that exceed the bound together.
		It("keeps two sets of owners within the bound: "+c.name, func() {
			Expect(LimitFor(Tolerance{PerSecond: c.perSecond}, c.margin)).To(Equal(c.want))
		})
	}
})

var _ = Describe("Owns", func() {
	// Guards against a VM that sends although it does not know the others.
	It("gives an endpoint three owners among the members, and none to a VM that knows no members", func() {
		var members []home.VM
		for i := range 61 {
			members = append(members, home.VM{Name: fmt.Sprintf("vm%d", i)})
		}
		owners := 0
		for _, m := range members {
			if (VM{Name: m.Name, Members: members}).Owns("e", 3) {
				owners++
			}
			Expect(VM{Name: m.Name}.Owns("e", 3)).To(BeFalse())
		}
		Expect(owners).To(Equal(3))
		Expect(VM{Name: "vm1", Members: members[:2]}.Owns("e", 3)).To(BeTrue())
	})
})
