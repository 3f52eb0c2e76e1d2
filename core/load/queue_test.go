package load

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("LinkQueue", func() {
	for _, t := range []struct {
		name    string
		lengths []int // ms, sampled every 250 ms
		busy    bool
		closes  bool
	}{
		{"a single long body", []int{0, 400, 40}, false, false},
		{"a queue that stays long", []int{0, 400, 400}, true, false},
		{"a queue that has just become short", []int{300, 300, 0, 0}, true, false},
		{"a queue that shrinks, but not below the gate", append([]int{300, 300}, slices.Repeat([]int{60}, 18)...), true, true},
		{"a queue that has been short for a while", append([]int{300, 300}, make([]int, 18)...), false, false},
	} {
		It("takes the VM out of rotation and back: "+t.name, func() {
			var l LinkQueue
			now := time.Unix(1_000, 0)
			for _, m := range t.lengths {
				now = now.Add(250 * time.Millisecond)
				l.Observe(time.Duration(m)*time.Millisecond, now)
			}
			Expect(l.Busy()).To(Equal(t.busy))
			Expect(l.ClosesConnections(now)).To(Equal(t.closes))
		})
	}
})
