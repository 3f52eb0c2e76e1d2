package home

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fleet returns VMs that all registered at the same time.
func fleet(count int) []VM {
	var vms []VM
	for i := range count {
		vms = append(vms, VM{Name: fmt.Sprintf("vm%d", i), StoreMs: 100_000})
	}
	return vms
}

func names(vms []VM) []string {
	var list []string
	for _, v := range vms {
		list = append(list, v.Name)
	}
	return list
}

var _ = Describe("Alive", func() {
	for _, t := range []struct {
		name    string
		storeMs []int64
		alive   []string
	}{
		{"none", nil, nil},
		{"all registered recently", []int64{100_000, 95_000}, []string{"vm0", "vm1"}},
		{"one registered long ago", []int64{100_000, 60_000}, []string{"vm0"}},
		{"all registered long ago, during an outage of the store", []int64{20_000, 19_000}, []string{"vm0", "vm1"}},
	} {
		It(t.name, func() {
			vms := fleet(len(t.storeMs))
			for i, ms := range t.storeMs {
				vms[i].StoreMs = ms
			}
			Expect(names(Alive(vms))).To(Equal(t.alive))
		})
	}
})

var _ = Describe("HomesOf", func() {
	It("makes every VM of a small fleet a home VM", func() {
		Expect(HomesOf(3, fleet(5))).To(HaveLen(5))
	})

	It("changes few home VMs when a VM joins or leaves", func() {
		before, after := HomesOf(1, fleet(83)), HomesOf(1, fleet(84))
		kept := 0
		for _, name := range names(after) {
			for _, b := range names(before) {
				if b == name {
					kept++
				}
			}
		}
		Expect(kept).To(BeNumerically(">=", HomesPerGroup-1))
	})

	It("does not depend on the order of the VMs", func() {
		vms := fleet(20)
		rotated := append(append([]VM{}, vms[7:]...), vms[:7]...)
		Expect(names(HomesOf(2, rotated))).To(Equal(names(HomesOf(2, vms))))
	})
})

var _ = Describe("OrderFor", func() {
	It("spreads the VMs over the home VMs", func() {
		homes := HomesOf(0, fleet(83))
		firstChoices := map[string]int{}
		for _, v := range fleet(400) {
			firstChoices[OrderFor(v.Name, homes)[0].Name]++
		}
		Expect(firstChoices).To(HaveLen(HomesPerGroup))
		for _, n := range firstChoices {
			Expect(n).To(BeNumerically("<", 2*400/HomesPerGroup))
		}
	})
})

var _ = Describe("Share", func() {
	for _, t := range []struct {
		name        string
		limit, vms  int
		rate, rates float64
		share       int
	}{
		{"no other VM has registered a rate", 560, 8, 30, 0, 70},
		{"equal traffic", 560, 8, 30, 210, 70},
		{"one VM of many gets a third of all traffic", 560, 83, 300, 600, 96},
		{"a VM without traffic", 560, 8, 0, 240, 35},
		{"more VMs than connections", 50, 390, 1, 389, 1},
	} {
		It(t.name, func() { Expect(Share(t.limit, t.vms, t.rate, t.rates)).To(Equal(t.share)) })
	}

	It("keeps the sum of all shares within the limit", func() {
		rates := []float64{300, 40, 5, 0, 120, 1, 1, 77}
		total, sum := 0.0, 0
		for _, r := range rates {
			total += r
		}
		for _, r := range rates {
			sum += Share(560, len(rates), r, total-r)
		}
		Expect(sum).To(BeNumerically("<=", 560))
	})
})
