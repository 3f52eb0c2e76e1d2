package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A response that breaks off halfway", func() {
	for _, t := range []struct{ name, request string }{
		{"to HTTP/1.1, with a length", "GET /length HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"to HTTP/1.1, in chunks", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"to HTTP/1.0, with a length", "GET /length HTTP/1.0\r\n\r\n"},
		{"to HTTP/1.0, which has no chunks", "GET / HTTP/1.0\r\n\r\n"},
	} {
		It("does not look complete: "+t.name, func() {
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/length" {
					w.Header().Set("Content-Length", "100")
				}
				_, _ = io.WriteString(w, "half of it") // the client notices what is missing
				_ = http.NewResponseController(w).Flush()
				(&exchange{request: r}).abort()
			}))
			s.Config.ConnContext = withConn
			s.Start()
			defer s.Close()
			c, err := net.Dial("tcp", s.Listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			defer c.Close()
			_, err = io.WriteString(c, t.request)
			Expect(err).NotTo(HaveOccurred())
			Expect(readWhole(c)).NotTo(Succeed())
		})
	}
})

// readWhole reads a response as a client does, and returns an error if it is
// incomplete.
func readWhole(c net.Conn) error {
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	_, err = io.ReadAll(r.Body)
	return err
}
