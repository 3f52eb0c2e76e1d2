package http1

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "http1")
}

// script is a peer that reads a request on each of its connections and then
// writes fixed bytes.
type script struct {
	listener net.Listener
	answers  []string // one a connection
	linger   time.Duration
}

func listen(linger time.Duration, answers ...string) *script {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &script{listener: l, answers: answers, linger: linger}
	go s.loop()
	return s
}

func (s *script) loop() {
	for _, a := range s.answers {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		buffer := make([]byte, 4096)
		_, _ = c.Read(buffer)     // any part of the request
		_, _ = c.Write([]byte(a)) // the test sees what is missing
		time.Sleep(s.linger)
		c.Close()
	}
}

const own = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok"

func mine(r *http.Response) bool { return r.Header.Get("Id") == "mine" }

var _ = Describe("Conn", func() {
	get := func(s *script, p *Pool) *Conn {
		c, err := p.Get(context.Background(), s.listener.Addr().String(), 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Send(Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})).To(Succeed())
		return c
	}

	for _, c := range []struct {
		name, answer string
		fails        bool
	}{
		{"the own answer", own, false},
		{"the own answer after another's", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nother" + own, false},
		{"the own answer after an interim one", "HTTP/1.1 103 Early Hints\r\n\r\n" + own, false},
		{"another's answer only", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nother", true},
		{"bytes that are no answer", "hello\r\n\r\n", true},
		{"another's answer without a length", "HTTP/1.1 200 OK\r\nId: other\r\n\r\n" + own, true},
		{"nothing", "", true},
	} {
		It("finds "+c.name, func() {
			s := listen(0, c.answer)
			conn := get(s, NewPool(NewDialer()))
			defer conn.Close()
			r, err := conn.Answer("GET", mine)
			if c.fails {
				Expect(err).To(HaveOccurred())
				return
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(mine(r)).To(BeTrue())
		})
	}

	It("does not use a connection again that holds stray bytes or was closed", func() {
		s := listen(50*time.Millisecond, own+own, own)
		p := NewPool(NewDialer())
		first := get(s, p)
		r, err := first.Answer("GET", mine)
		Expect(err).NotTo(HaveOccurred())
		_, _ = r.Body.Read(make([]byte, 2))
		first.Finish(r)
		time.Sleep(100 * time.Millisecond)
		second := get(s, p)
		Expect(second).NotTo(BeIdenticalTo(first))
	})

	It("keeps to the limit of connections, and says that nothing was sent", func() {
		s := listen(time.Second, own, own)
		p := NewPool(NewDialer())
		get(s, p)
		_, err := p.Get(context.Background(), s.listener.Addr().String(), 1)
		var limit *LimitError
		Expect(err).To(BeAssignableToTypeOf(limit))
		_, err = p.Get(context.Background(), "127.0.0.1:1", 1)
		var dial *DialError
		Expect(err).To(BeAssignableToTypeOf(dial))
	})
})
