package link

import (
	"io"
	"net"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "link")
}

// listen returns a listener on a free port of loopback.
func listen() net.Listener {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	return l
}

// tcpServer forwards the TCP connections of a listener over a link.
type tcpServer struct {
	link     *Link
	listener net.Listener
}

func (s *tcpServer) run() { _ = s.link.ServeTCP(s.listener) } // ends with the listener

var _ = Describe("Link", func() {
	for _, t := range []struct {
		name         string
		resetOnClose bool
	}{
		{"forwards a regular end of the stream as an end", false},
		{"forwards a reset as a reset", true},
	} {
		It(t.name, func() {
			target, front := listen(), listen()
			s := &tcpServer{New(target.Addr().String()), front}
			go s.run()
			client, err := net.Dial("tcp4", front.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			server, err := target.Accept()
			Expect(err).NotTo(HaveOccurred())
			_, err = server.Write([]byte("half of it"))
			Expect(err).NotTo(HaveOccurred())
			got := make([]byte, 10)
			_, err = io.ReadFull(client, got)
			Expect(err).NotTo(HaveOccurred())
			if t.resetOnClose {
				resetOnClose(server)
			}
			Expect(server.Close()).To(Succeed())
			_, err = client.Read(got)
			Expect(err == io.EOF).To(Equal(!t.resetOnClose), "%v", err)
		})
	}
})
