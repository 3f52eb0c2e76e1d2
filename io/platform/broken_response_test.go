package platform

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/inbox"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform")
}

// earlyStore writes fixed bytes in response to requests whose bodies it does not read, and
// resets their connections.
type earlyStore struct {
	listener net.Listener
	response string
}

func (s *earlyStore) loop() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 512)) // any part of the request will do
		_, _ = c.Write([]byte(s.response))
		time.Sleep(50 * time.Millisecond) // the request fills the buffers of the connection
		_ = c.(*net.TCPConn).SetLinger(0) // the test notices an end without a reset
		c.Close()
	}
}

var _ = Describe("A response of the store that is broken off while an object is still being written", func() {
	for _, t := range []struct{ name, text string }{
		{"without a length", "HTTP/1.1 200 OK\r\n\r\npart"},
		{"in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"},
	} {
		// Guards against an object that counts as stored although the store has not read it.
		It("does not show that the object is stored: "+t.name, func() {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			defer l.Close()
			s := &earlyStore{l, t.text}
			go s.loop()
			c := New(l.Addr().String(), func(inbox.Event) {})
			for range 5 {
				Expect(c.PutObject(context.Background(), "name", bytes.Repeat([]byte("x"), 16<<20))).NotTo(Succeed())
			}
		})
	}
})
