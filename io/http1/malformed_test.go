package http1

import (
	"context"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// roundTrip sends a request over a Conn, and returns the body of its response.
func roundTrip(s *scriptedServer) (string, error) {
	c, err := NewPool(NewDialer()).Get(context.Background(), s.listener.Addr().String(), 1)
	Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	Expect(c.Send(Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})).To(Succeed())
	response, err := c.ReadResponse("GET", isOwn)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// roundTripNetHTTP does the same over a CheckedTransport.
func roundTripNetHTTP(s *scriptedServer) (string, error) {
	transport := &CheckedTransport{Base: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest("GET", "http://"+s.listener.Addr().String(), nil)
	Expect(err).NotTo(HaveOccurred())
	response, err := transport.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

var clients = []struct {
	name      string
	roundTrip func(*scriptedServer) (string, error)
}{
	{"of a Conn", roundTrip},
	{"of a CheckedTransport", roundTripNetHTTP},
}

var _ = Describe("A malformed response", func() {
	const (
		openTime = 2 * time.Second // for which its connection stays open
		limit    = time.Second
	)
	for _, t := range []struct{ name, response string }{
		{"with the status 000", "HTTP/1.1 000 None\r\nId: mine\r\nContent-Length: 2\r\n\r\nok"},
		{"with the status 000 and no body", "HTTP/1.1 000 None\r\nId: mine\r\nContent-Length: 0\r\n\r\n"},
		{"with the status 000 before a sound response", "HTTP/1.1 000 None\r\n\r\n" + ownResponse},
		{"with the status 000, of HTTP/1.0", "HTTP/1.0 000\r\nId: mine\r\n\r\n"},
		{"with the status 099", "HTTP/1.1 099 None\r\nId: mine\r\nContent-Length: 0\r\n\r\n"},
		{"with the status +20", "HTTP/1.1 +20 OK\r\nId: mine\r\nContent-Length: 0\r\n\r\n"},
		{"with the status 600", "HTTP/1.1 600 None\r\nId: mine\r\nContent-Length: 0\r\n\r\n"},
		{"that switches protocols, which nobody asked for", "HTTP/1.1 101 Switching Protocols\r\nId: mine\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n" + ownResponse},
	} {
		for _, c := range clients {
			// Guards against a response that no HTTP server may send and that callers get.
			It("is an error at once, "+t.name+", "+c.name, func() {
				s := listen(openTime, t.response)
				start := time.Now()
				body, err := c.roundTrip(s)
				Expect(err).To(HaveOccurred(), "%q", body)
				Expect(time.Since(start)).To(BeNumerically("<", limit))
			})
		}
	}
})
