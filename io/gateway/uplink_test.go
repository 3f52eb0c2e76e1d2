package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/route"
)

var _ = Describe("A request on a crowded link", func() {
	const capacity = 1_250_000
	var g *Gateway
	BeforeEach(func() { g = newTestGateway(Settings{Name: "vm", LinkBytesPerSecond: capacity}) })
	newExchange := func(ctx context.Context, timeout time.Duration) *exchange {
		r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/", nil)
		return &exchange{gateway: g, request: r, route: &route.Route{}, deadline: time.Now().Add(timeout), body: make([]byte, 1_000)}
	}

	It("is sent when the backlog is short", func() {
		g.uplink.add(0.2 * capacity)
		x := newExchange(context.Background(), 3*time.Second)
		began := time.Now()
		Expect(x.awaitLink(context.Background())).To(BeNil())
		Expect(time.Since(began)).To(BeNumerically("~", 155*time.Millisecond, 50*time.Millisecond))
		Expect(g.uplink.waiting()).To(BeZero())
	})

	// Guards against a request that waits until its deadline for nothing.
	It("is refused at once, not run and with a time to come back, if its turn comes too late", func() {
		g.uplink.add(0.6 * capacity)
		refused := newExchange(context.Background(), time.Second).awaitLink(context.Background())
		Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.reason).To(Equal("linkFull"))
		Expect(refused.retryAfter).To(BeNumerically("~", 1375*time.Millisecond, 100*time.Millisecond), "0.55 s of backlog at 0.4 of the link")
	})

	It("does not wait any more when its client has left", func() {
		g.uplink.add(0.5 * capacity)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		Expect(*newExchange(ctx, 3*time.Second).awaitLink(ctx)).To(Equal(clientDisconnected))
		Expect(g.uplink.waiting()).To(BeZero())
	})

	// Guards against a link that seems full because no endpoint takes requests.
	It("is not counted if it finds no endpoint", func() {
		x := newExchange(context.Background(), 3*time.Second)
		for range 200 {
			_, refused := x.nextAttempt(context.Background(), noEndpoint)
			Expect(refused).To(Equal(noEndpoint))
		}
		Expect(g.uplink.length()).To(BeNumerically("<", 5*time.Millisecond))
	})
})
