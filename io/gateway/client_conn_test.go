package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// clientListener accepts connections as the acceptor does.
type clientListener struct{ net.Listener }

func (l *clientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newClientConn(c.(*net.TCPConn)), nil
}

// slowEcho responds with the length of the body and its first byte.
type slowEcho struct{ delay time.Duration }

func (e *slowEcho) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(e.delay)
	fmt.Fprintf(w, "%d %.1s", len(body), body)
}

var _ = Describe("A connection that is read ahead", func() {
	// Guards against bytes of a next request that are lost, mixed up, or never read.
	It("hands out requests that were sent ahead in their order, whole and also long ones", func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		s := &http.Server{Handler: &slowEcho{delay: 20 * time.Millisecond}, ReadHeaderTimeout: time.Second, IdleTimeout: time.Second}
		go s.Serve(&clientListener{l})
		defer s.Close()
		conn, err := net.Dial("tcp4", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		lengths := []int{1, 100, 200_000, 0, 70_000, 5}
		for i, n := range lengths {
			w := &segmentWriter{conn, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat(string(rune('a'+i)), n))}
			w.write()
		}
		reader := bufio.NewReader(conn)
		for i, n := range lengths {
			Expect(conn.SetReadDeadline(time.Now().Add(3 * time.Second))).To(Succeed())
			r, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(r.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(Equal(fmt.Sprintf("%d %s", n, strings.Repeat(string(rune('a'+i)), min(n, 1)))))
		}
		time.Sleep(50 * time.Millisecond)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		r, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(http.StatusOK))
	})
})

// Descriptors and memory of the smallest VM.
const (
	smallVMDescriptors = 4_100
	smallVMBytes       = 184 << 20
)

var _ = Describe("What is read ahead", func() {
	// Guards against a VM whose memory is filled by clients that send without end behind
	// their requests.
	It("fits into half of the memory of a small VM, on all connections that it can have", func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		client, err := net.Dial("tcp4", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer client.Close()
		accepted, err := (&clientListener{l}).Accept()
		Expect(err).NotTo(HaveOccurred())
		defer accepted.Close()
		c := accepted.(*clientConn)
		Expect(client.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))).To(Succeed())
		// It fails as soon as the kernel takes no more.
		_, _ = io.WriteString(client, strings.Repeat("x", 16<<20))
		_, err = c.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		reading := func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.reading
		}
		Eventually(reading).Should(BeFalse())
		Expect((cap(c.ahead) + readAheadBytes) * smallVMDescriptors).To(BeNumerically("<", smallVMBytes/2))
	})
})

// segmentWriter writes a request in a few segments, so that its parts arrive apart.
type segmentWriter struct {
	conn net.Conn
	text string
}

func (w *segmentWriter) write() {
	for _, part := range []string{w.text[:3], w.text[3:20], w.text[20:]} {
		_, err := io.WriteString(w.conn, part)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(2 * time.Millisecond)
	}
}
