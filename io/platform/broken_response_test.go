package platform

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/inbox"
	"hawthornspar/standin/raw"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform")
}

var _ = Describe("A response of the store that is broken off while an object is still being written", func() {
	for _, t := range []struct{ name, text string }{
		{"without a length", "HTTP/1.1 200 OK\r\n\r\npart"},
		{"in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"},
	} {
		// Guards against an object that counts as stored although the store has not read it.
		It("does not show that the object is stored: "+t.name, func() {
			s, err := raw.Listen(t.text, raw.Reset)
			Expect(err).NotTo(HaveOccurred())
			defer s.Close()
			c := New(s.Address, func(inbox.Event) {})
			for range 5 {
				Expect(c.PutObject(context.Background(), "name", make([]byte, raw.LongBytes))).NotTo(Succeed())
			}
		})
	}
})
