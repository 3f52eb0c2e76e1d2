package http1

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// endlessServer reads one request from each connection and then writes a
// beginning once and a part again and again, until the client closes.
type endlessServer struct {
	listener  net.Listener
	beginning string
	part      string
	pause     time.Duration // between parts
}

func listenEndless(beginning, part string, pause time.Duration) *endlessServer {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &endlessServer{listener: l, beginning: beginning, part: part, pause: pause}
	go s.loop()
	DeferCleanup(l.Close)
	return s
}

func (s *endlessServer) loop() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		w := &endlessConn{server: s, conn: c}
		go w.run()
	}
}

type endlessConn struct {
	server *endlessServer
	conn   net.Conn
}

func (c *endlessConn) run() {
	defer c.conn.Close()
	if _, err := c.conn.Read(make([]byte, 4096)); err != nil {
		return
	}
	_, err := c.conn.Write([]byte(c.server.beginning))
	for err == nil {
		time.Sleep(c.server.pause)
		_, err = c.conn.Write([]byte(c.server.part))
	}
}

// heapBytes returns the bytes that the process has allocated since it started.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}

var _ = Describe("An endpoint that sends bytes without end", func() {
	const (
		limit    = 5 * time.Second // far below the deadlines of requests
		maxBytes = 8 << 20         // of a VM with 184 MB, and for each of its connections much less
	)
	block := strings.Repeat("x", 32<<10)
	for _, t := range []struct {
		name, beginning, part string
		pause                 time.Duration
	}{
		{"in one header", "HTTP/1.1 200 OK\r\nId: mine\r\nLong: ", block, 0},
		{"in header after header", "HTTP/1.1 200 OK\r\n", "Name: " + block[:1000] + "\r\n", 0},
		{"in the status line", "HTTP/1.1 200 ", block, 0},
		{"in interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", 0},
		{"in a chunked response to another request", "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "8000\r\n" + block + "\r\n", 0},
		{"in a long response to another request", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 99999999999\r\n\r\n", block, 0},
		{"slowly in a response to another request", "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 20 * time.Millisecond},
		{"slowly in a head", "HTTP/1.1 200 OK\r\nLong: ", "x", 20 * time.Millisecond},
		{"in responses to other requests", "", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nother", 0},
	} {
		It("ends the attempt soon, with little memory: "+t.name, func() {
			s := listenEndless(t.beginning, t.part, t.pause)
			c, err := NewPool(NewDialer()).Get(context.Background(), s.listener.Addr().String(), 0)
			Expect(err).NotTo(HaveOccurred())
			defer c.Close()
			Expect(c.Send(Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})).To(Succeed())
			before, start := heapBytes(), time.Now()
			_, err = c.ReadResponse("GET", isOwn)
			Expect(err).To(HaveOccurred())
			Expect(time.Since(start)).To(BeNumerically("<", limit))
			Expect(heapBytes() - before).To(BeNumerically("<", maxBytes))
		})
	}

	It("reads a large head and a slow body that belong to the request", func() {
		s := listenEndless("HTTP/1.1 200 OK\r\nId: mine\r\nLong: "+block[:20<<10]+"\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 10*time.Millisecond)
		c, err := NewPool(NewDialer()).Get(context.Background(), s.listener.Addr().String(), 0)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		Expect(c.Send(Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})).To(Succeed())
		r, err := c.ReadResponse("GET", isOwn)
		Expect(err).NotTo(HaveOccurred())
		for range 100 {
			_, err := r.Body.Read(make([]byte, 1))
			Expect(err).NotTo(HaveOccurred())
		}
	})
})
