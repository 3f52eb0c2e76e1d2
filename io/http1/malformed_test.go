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

	for _, t := range []struct{ name, line string }{
		{"a blank before the colon", "Name : value"},
		{"a blank before the colon of a length", "Content-Length : 1"},
		{"a blank before the colon of an encoding", "Transfer-Encoding : chunked"},
		{"a blank", "Na me: value"},
		{"a tab", "Na\tme: value"},
		{"a blank at its beginning", " Name: value"},
		{"a tab at its beginning", "\tName: value"},
		{"a control byte", "Na\x01me: value"},
		{"a zero byte", "Na\x00me: value"},
		{"a carriage return", "Na\rme: value"},
		{"a vertical tab at its beginning", "\vName: value"},
		{"a delete byte", "Na\x7fme: value"},
		{"a byte that is not ASCII", "Na\xe9me: value"},
		{"a separator", "Na(me: value"},
		{"no byte", ": value"},
		{"no colon", "Name"},
	} {
		// A folded line is one field for net/http: it joins it to the field before.
		folded := t.line[0] == ' ' || t.line[0] == '\t'
		for _, place := range []struct{ name, response string }{
			{"first in a head", "HTTP/1.1 200 OK\r\n" + t.line + "\r\nId: mine\r\nContent-Length: 2\r\n\r\nok"},
			{"in a head", "HTTP/1.1 200 OK\r\nId: mine\r\nOther: value\r\n" + t.line + "\r\nContent-Length: 2\r\n\r\nok"},
			{"last in a head", "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\nOther: value\r\n" + t.line + "\r\n\r\nok"},
			{"in a head whose lines end with line feeds", "HTTP/1.1 200 OK\nId: mine\nContent-Length: 2\nOther: value\n" + t.line + "\n\nok"},
			{"in an interim response", "HTTP/1.1 103 Early Hints\r\nOther: value\r\n" + t.line + "\r\n\r\n" + ownResponse},
			{"in the trailers", "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nOther: value\r\n" + t.line + "\r\n\r\n"},
		} {
			for i, c := range clients {
				if i > 0 && (folded || place.name == "in an interim response") {
					continue // net/http hands neither on
				}
				if folded && place.name == "in the trailers" {
					continue // they are not handed on
				}
				// Guards against a line that is handed on, and against a body with another length or
				// encoding than its endpoint stated.
				It("is an error at once, with "+t.name+" in a field's name "+place.name+", "+c.name, func() {
					s := listen(openTime, place.response)
					start := time.Now()
					body, err := c.roundTrip(s)
					Expect(err).To(HaveOccurred(), "%q", body)
					Expect(time.Since(start)).To(BeNumerically("<", limit))
				})
			}
		}
	}
})

var _ = Describe("A malformed response to another request", func() {
	const chunked = "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n"
	for _, t := range []struct{ name, response string }{
		{"with the status 000", "HTTP/1.1 000 None\r\nId: other\r\nContent-Length: 5\r\n\r\nother"},
		{"with a blank in a field's name", "HTTP/1.1 200 OK\r\nId: other\r\nNa me: value\r\nContent-Length: 5\r\n\r\nother"},
		{"with a blank before the colon of its length", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length : 5\r\n\r\nother"},
		{"with a blank in a trailer's name", chunked + "Na me: value\r\n\r\n"},
		{"with a control byte in a trailer's name", chunked + "Na\x01me: value\r\n\r\n"},
	} {
		// Guards against a body that is read by other framing than its endpoint's, so that what
		// follows is not where it seems to be.
		It("is not discarded to read on behind it: "+t.name, func() {
			body, err := roundTrip(listen(0, t.response+ownResponse))
			Expect(err).To(HaveOccurred(), "%q", body)
		})
	}

	It("is discarded if it is sound", func() {
		body, err := roundTrip(listen(0, chunked+"Name: value\r\n\r\n"+ownResponse))
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("ok"))
	})
})

var _ = Describe("A response of HTTP/1.0", func() {
	for _, name := range []string{"Transfer-Encoding", "transfer-encoding"} {
		// Guards against a body that has the framing of its chunks in it.
		It("is an error if it states an encoding, which its version does not have: "+name, func() {
			body, err := roundTrip(listen(0, "HTTP/1.0 200 OK\r\nId: mine\r\n"+name+": chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
			Expect(err).To(HaveOccurred(), "%q", body)
		})
	}

	It("is complete at the end of its connection, or of its length", func() {
		for _, field := range []string{"", "Content-Length: 2\r\n"} {
			body, err := roundTrip(listen(0, "HTTP/1.0 200 OK\r\nId: mine\r\n"+field+"\r\nok"))
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("ok"))
		}
	})
})

var _ = Describe("A response with unusual fields", func() {
	const name = "!#$%&'*+-.^_`|~09azAZ"
	for _, t := range []struct{ name, response string }{
		{"names", "HTTP/1.1 200 OK\r\n" + name + ": a \t b\xe9 : c\r\nEmpty:\r\nId: mine\r\nContent-Length: 2\r\n\r\nok"},
		{"names after an interim response", "HTTP/1.1 103 Early Hints\r\n" + name + ":\r\n\r\n" + ownResponse},
		{"announcements of trailers", "HTTP/1.1 200 OK\r\nId: mine\r\nTrailer: na me\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{"line ends", "HTTP/1.1 200 OK\nId: mine\nContent-Length: 2\n\nok"},
		{"lines in the body", "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 8\r\n\r\n x y: z\n"},
		{"trailers", "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + name + ": value\r\n\r\n"},
	} {
		for _, c := range clients {
			It("is read whole, with unusual "+t.name+", "+c.name, func() {
				body, err := c.roundTrip(listen(0, t.response))
				Expect(err).NotTo(HaveOccurred())
				Expect(body).To(Or(Equal("ok"), Equal(" x y: z\n")))
			})
		}
	}
})
