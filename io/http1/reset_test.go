package http1

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/standin/raw"
)

// listenRaw starts a server in trouble.
func listenRaw(response string, end raw.End) *raw.Server {
	s, err := raw.Listen(response, end)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	return s
}

// upload sends a long request and returns what its response had, and how it ended.
func upload(s *raw.Server, readDelay time.Duration) (string, error) {
	c, err := NewPool(NewDialer()).Get(context.Background(), s.Address, 0)
	Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	Expect(c.Send(Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, raw.LongBytes)})).To(Succeed())
	response, err := c.ReadResponse("POST", isOwn)
	if err != nil {
		return "", err
	}
	time.Sleep(readDelay)
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against a part of a response that looks complete: the write of the request takes
// the error of a reset, and the read of the response finds an orderly end.
var _ = Describe("A response to an upload that is still being written", func() {
	const ownHead = "HTTP/1.1 200 OK\r\nId: mine\r\n"
	for _, t := range []struct{ name, response string }{
		{"without a length", ownHead + "\r\npart"},
		{"without a length, of HTTP/1.0", "HTTP/1.0 200 OK\r\nId: mine\r\n\r\npart"},
		{"of events", ownHead + "Content-Type: text/event-stream\r\n\r\ndata: part\n\n"},
		{"that is an error", "HTTP/1.1 500 Internal Server Error\r\nId: mine\r\n\r\npart"},
		{"with a length", ownHead + "Content-Length: 100\r\n\r\npart"},
		{"in chunks", ownHead + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"},
		{"in chunks, cut in its trailers", ownHead + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nName: value\r\n"},
		{"after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\n" + ownHead + "\r\npart"},
		{"in its head", ownHead},
		{"in the body of a discarded response", "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nother\r\n"},
		{"after a discarded response", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nother" + ownHead + "\r\npart"},
	} {
		It("is broken if its connection is reset: "+t.name, func() {
			s := listenRaw(t.response, raw.Reset)
			for range 5 {
				for _, delay := range []time.Duration{0, 3 * raw.Pause} {
					body, err := upload(s, delay)
					Expect(err).To(HaveOccurred(), "read after %v: %q", delay, body)
				}
			}
		})
	}

	It("is complete if its connection ends orderly first", func() {
		s := listenRaw(ownHead+"\r\nwhole", raw.HalfClose)
		for _, delay := range []time.Duration{0, raw.Pause * 3 / 2, 4 * raw.Pause} {
			body, err := upload(s, delay)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("whole"))
		}
	})

	It("is broken in a transport of net/http, too", func() {
		s := listenRaw(ownHead+"\r\npart", raw.Reset)
		d := NewDialer()
		dial := func(ctx context.Context, _, address string) (net.Conn, error) { return d.Dial(ctx, address) }
		for range 5 {
			for _, delay := range []time.Duration{0, 3 * raw.Pause} {
				client := &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
				response, err := client.Post("http://"+s.Address, "", bytes.NewReader(make([]byte, raw.LongBytes)))
				if err == nil {
					time.Sleep(delay)
					_, err = io.ReadAll(response.Body)
					response.Body.Close()
				}
				Expect(err).To(HaveOccurred(), "read after %v", delay)
			}
		}
	})
})
