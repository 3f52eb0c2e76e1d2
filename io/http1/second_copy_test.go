package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// copyingServer answers each request of one connection. When it has read the head of the
// next one, it writes its last response once more, and only then reads the body.
type copyingServer struct{ listener net.Listener }

func (s *copyingServer) loop() {
	conn, err := s.listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	reader, last := bufio.NewReader(conn), ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, last) // the test notices missing bytes
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Id")
		last = fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
		_, _ = io.WriteString(conn, last)
	}
}

var _ = Describe("A second copy of a response", func() {
	// Guards against an answer that is another request's, as its late copy arrives while the
	// next request is still being written.
	It("is no response to the request that is being written", func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		s := &copyingServer{l}
		go s.loop()
		pool := NewPool(NewDialer())
		body := []byte(strings.Repeat("x", 8<<20)) // more than the kernel takes at once
		for i := range 5 {
			id := fmt.Sprintf("r%d", i)
			c, err := pool.Get(context.Background(), l.Addr().String(), 1)
			Expect(err).NotTo(HaveOccurred())
			Expect(c.Reused()).To(Equal(i > 0))
			Expect(c.Send(Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{"Id": {id}}, Body: body})).To(Succeed())
			r, err := c.ReadResponse("POST", func(r *http.Response) bool { return r.Header.Get("Id") == id })
			Expect(err).NotTo(HaveOccurred())
			text, err := io.ReadAll(r.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(text)).To(Equal(id))
			Eventually(func() bool { return c.bodyDone == nil || len(c.bodyDone) == 1 }).Should(BeTrue())
			c.Finish(r)
		}
	})
})
