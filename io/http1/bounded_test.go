package http1

import (
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

var _ = Describe("BoundedTransport", func() {
	const maxBytes = 100 << 10
	// Guards against a client that keeps a response without end until its memory is full.
	for _, c := range []struct{ name, head, part string }{
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
		{"without a length", "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 1024)},
		{"behind an error", "HTTP/1.1 500 Internal Server Error\r\n\r\n", strings.Repeat("x", 1024)},
	} {
		It("fails the reading of a body without end: "+c.name, func() {
			s := listenEndless(c.head, c.part, 0)
			client := &http.Client{Transport: &BoundedTransport{Base: &http.Transport{}, MaxBytes: maxBytes}}
			response, err := client.Get("http://" + s.listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			var large *BodyTooLargeError
			Expect(errors.As(err, &large)).To(BeTrue())
			Expect(body).To(HaveLen(maxBytes))
		})
	}

	for _, size := range []int{0, 1, maxBytes - 1, maxBytes} {
		It("leaves a body as it is that is not too long", func() {
			b := &boundedBody{ReadCloser: io.NopCloser(strings.NewReader(strings.Repeat("x", size))), left: maxBytes, limit: maxBytes}
			body, err := io.ReadAll(b)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(HaveLen(size))
		})
	}
})
