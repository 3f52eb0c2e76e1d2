package gateway

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/standin/raw"
)

var _ = Describe("A view of a seed", func() {
	const view = `{"VM":"seed"}`
	for _, t := range []struct {
		name, response string
		sound          bool
	}{
		{"that is sound", "HTTP/1.1 200 OK\r\n\r\n" + view, true},
		{"with the status 000", "HTTP/1.1 000 None\r\n\r\n" + view, false},
		{"with a blank in a field's name", "HTTP/1.1 200 OK\r\nNa me: value\r\n\r\n" + view, false},
		{"with a control byte in a field's name", "HTTP/1.1 200 OK\r\nNa\x01me: value\r\n\r\n" + view, false},
		{"that is cut off", "HTTP/1.1 200 OK\r\n\r\n" + view[:5], false},
	} {
		// Guards against a fleet that a VM knows by what no other VM said.
		It("is adopted only if it is sound: "+t.name, func() {
			s, err := raw.Listen(t.response, raw.Close)
			Expect(err).NotTo(HaveOccurred())
			defer s.Close()
			p := newFleetPoller(newTestGateway(Settings{Name: "vm"}))
			_, err = p.fetch(context.Background(), "http://"+s.Address, p.client)
			Expect(err == nil).To(Equal(t.sound))
		})
	}
})
