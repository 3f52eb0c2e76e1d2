package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/route"
)

var _ = Describe("allowanceWait", func() {
	for _, c := range []struct {
		name     string
		route    route.Route
		deadline time.Duration
		want     time.Duration // clients wait longer than this
	}{
		{"a stream with a short target for the first event", route.Route{Kind: route.Streaming, FirstTarget: 400 * time.Millisecond}, 12 * time.Second, 1400 * time.Millisecond},
		{"a stream with a long target for the first event", route.Route{Kind: route.Streaming, FirstTarget: 1500 * time.Millisecond}, 15 * time.Second, 4200 * time.Millisecond},
		{"a stream with a long target for pauses", route.Route{Kind: route.Resumable, PauseTarget: 400 * time.Millisecond}, 12 * time.Second, 2240 * time.Millisecond},
		{"a stream with a short deadline", route.Route{Kind: route.Streaming, PauseTarget: 400 * time.Millisecond}, 3 * time.Second, 1500 * time.Millisecond},
		{"an idempotent request", route.Route{Kind: route.Idempotent}, 600 * time.Millisecond, 300 * time.Millisecond},
	} {
		It("waits for budget no longer than clients wait: "+c.name, func() {
			now := time.Now()
			x := &exchange{route: &c.route, arrived: now, deadline: now.Add(c.deadline)}
			Expect(x.allowanceWait()).To(BeNumerically("~", c.want, time.Microsecond))
		})
	}
})

var _ = Describe("countUnreachable", func() {
	It("stops after a few unreachable endpoints, however many there are", func() {
		x := &exchange{}
		attempts := 0
		for last := noEndpoint; !x.countUnreachable(last); last = unreachable {
			attempts++
			Expect(attempts).To(BeNumerically("<=", maxUnreachable))
		}
		Expect(attempts).To(Equal(maxUnreachable))
	})

	It("does not count endpoints that rejected the request", func() {
		x := &exchange{}
		for range 20 {
			Expect(x.countUnreachable(endpointsFull)).To(BeFalse())
		}
	})
})
