package endpoint

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
)

// busyAfterRun is an app service that runs each call and responds 429.
type busyAfterRun struct {
	runs   atomic.Int32
	header http.Header // of the responses
}

func (b *busyAfterRun) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	b.runs.Add(1)
	for name, values := range b.header {
		w.Header()[name] = values
	}
	w.WriteHeader(http.StatusTooManyRequests)
}

var _ = Describe("A call that an app service has run", func() {
	for _, t := range []struct {
		name   string
		header http.Header
	}{
		{"a plain 429", nil},
		{"a 429 that states another run was not run", http.Header{"X-Not-Run": {"i0-7-1"}}},
	} {
		// Guards against an order that runs twice, as any 429 is taken for "not run".
		It("is not proved not to have run by "+t.name, func() {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			b := &busyAfterRun{header: t.header}
			s := &http.Server{Handler: b, ReadHeaderTimeout: time.Second}
			go s.Serve(l)
			defer s.Close()
			c, ends := newTestClient()
			c.Start(outbox.StartAttempt{Request: 1, Attempt: 1, Endpoint: "e1", Address: l.Addr().String(), Kind: entity.KindApp}, &testExchange{})
			var ended inbox.AttemptEnded
			Eventually(ends).WithTimeout(3 * time.Second).Should(Receive(&ended))
			Expect(b.runs.Load()).To(BeEquivalentTo(1))
			Expect(ended.Outcome).NotTo(Equal(inbox.OutcomeNotSent))
			Expect(ended.Proof.Holds()).To(BeFalse())
			Expect(ended.Response.Status).To(Equal(http.StatusTooManyRequests))
		})
	}
})
