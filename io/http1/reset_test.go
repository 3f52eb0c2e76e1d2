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
)

const (
	// uploadBytes is more than the buffers of a connection hold.
	uploadBytes = 16 << 20
	// resetDelay is the time in which an upload fills the buffers of its connection, and
	// in which its end is noticed.
	resetDelay = 50 * time.Millisecond
)

// earlyServer responds to requests whose bodies it does not read, and then ends their
// connections.
type earlyServer struct {
	listener net.Listener
	response string
	end      func(*net.TCPConn)
}

// listenEarly starts a server whose connections end with a reset, or with an orderly end
// of what the server sends.
func listenEarly(response string, reset bool) *earlyServer {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	s := &earlyServer{listener: l, response: response, end: endOrderly}
	if reset {
		s.end = func(c *net.TCPConn) { _ = c.SetLinger(0) } // the test notices an end without a reset
	}
	go s.loop()
	return s
}

// endOrderly ends what a server sends before the connection is closed, which resets it as
// bytes are unread.
func endOrderly(c *net.TCPConn) {
	_ = c.CloseWrite() // the test notices if it fails
	time.Sleep(resetDelay)
}

func (s *earlyServer) loop() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 512)) // any part of the request will do
		_, _ = c.Write([]byte(s.response))
		time.Sleep(resetDelay)
		s.end(c.(*net.TCPConn))
		c.Close()
	}
}

// upload sends a long request and returns what its response had, and how it ended.
func (s *earlyServer) upload(readDelay time.Duration) (string, error) {
	c, err := NewPool(NewDialer()).Get(context.Background(), s.listener.Addr().String(), 0)
	Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	Expect(c.Send(Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, uploadBytes)})).To(Succeed())
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
	} {
		It("is broken if its connection is reset: "+t.name, func() {
			s := listenEarly(t.response, true)
			for range 5 {
				for _, delay := range []time.Duration{0, 3 * resetDelay} {
					body, err := s.upload(delay)
					Expect(err).To(HaveOccurred(), "read after %v: %q", delay, body)
				}
			}
		})
	}

	It("is complete if its connection ends orderly first", func() {
		s := listenEarly(ownHead+"\r\nwhole", false)
		for _, delay := range []time.Duration{0, resetDelay * 3 / 2, 4 * resetDelay} {
			body, err := s.upload(delay)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("whole"))
		}
	})

	It("is broken in a transport of net/http, too", func() {
		s := listenEarly(ownHead+"\r\npart", true)
		d := NewDialer()
		dial := func(ctx context.Context, _, address string) (net.Conn, error) { return d.Dial(ctx, address) }
		for range 5 {
			for _, delay := range []time.Duration{0, 3 * resetDelay} {
				client := &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
				response, err := client.Post("http://"+s.listener.Addr().String(), "", bytes.NewReader(make([]byte, uploadBytes)))
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
