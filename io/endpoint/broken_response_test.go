package endpoint

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/standin/raw"
)

// bodyExchange is a request with a body.
type bodyExchange struct {
	testExchange
	body []byte
}

func (x *bodyExchange) Request(address string) (method, url string, header http.Header, body []byte) {
	return http.MethodPost, "http://" + address + "/orders", http.Header{}, x.body
}

// call sends a request with a body to an endpoint in trouble, and returns how its attempt
// ended.
func call(response string, end raw.End, kind string, body []byte) inbox.AttemptEnded {
	s, err := raw.Listen(response, end)
	Expect(err).NotTo(HaveOccurred())
	defer s.Close()
	c, ends := newTestClient()
	c.Start(outbox.StartAttempt{Request: 1, Attempt: 1, Endpoint: "e1", Address: s.Address, Kind: kind}, &bodyExchange{body: body})
	var ended inbox.AttemptEnded
	Eventually(ends).WithTimeout(6 * time.Second).Should(Receive(&ended))
	return ended
}

// eventText is a stream of one event, without its end.
const eventText = "data: {\"choices\":[{\"delta\":{\"content\":\"word\"}}]}\n\n"

var _ = Describe("A response that is broken off while its request is still being written", func() {
	for _, t := range []struct {
		kind string
		name string
		text string
	}{
		{entity.KindApp, "of an app service without a length", "HTTP/1.1 200 OK\r\n\r\npart"},
		{entity.KindApp, "of an app service, of HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\npart"},
		{entity.KindApp, "of an app service in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"},
		{entity.KindApp, "of an app service with a length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"},
		{entity.KindModel, "of an engine", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + eventText},
	} {
		// Guards against a part of a response that is billed and passed on as a complete one.
		It("is not complete, and no proof that the request has not run: "+t.name, func() {
			for range 2 {
				ended := call(t.text, raw.Reset, t.kind, make([]byte, raw.LongBytes))
				Expect(ended.Outcome).To(Equal(inbox.OutcomeConnectionFailed), "%q", ended.Response.Body)
				Expect(ended.Proof.Holds()).To(BeFalse())
			}
		})
	}
})

var _ = Describe("A malformed response of an endpoint", func() {
	for _, t := range []struct {
		kind string
		name string
		text string
	}{
		{entity.KindApp, "of an app service with the status 000", "HTTP/1.1 000 None\r\nContent-Length: 4\r\n\r\ntext"},
		{entity.KindApp, "of an app service with the status 600", "HTTP/1.1 600 None\r\nContent-Length: 4\r\n\r\ntext"},
		{entity.KindApp, "of an app service with the status 000 that says that the request has not run", "HTTP/1.1 000 None\r\nX-Not-Run: i1-1-1\r\nContent-Length: 4\r\n\r\ntext"},
		{entity.KindApp, "of an app service that switches protocols", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\ntext"},
		{entity.KindApp, "of an app service with a blank in the name of a field", "HTTP/1.1 200 OK\r\nNa me: value\r\nContent-Length: 4\r\n\r\ntext"},
		{entity.KindApp, "of an app service with a blank before the colon of its encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n"},
		{entity.KindApp, "of an app service with a control byte in the name of a field", "HTTP/1.1 200 OK\r\nNa\x01me: value\r\nContent-Length: 4\r\n\r\ntext"},
		{entity.KindApp, "of an app service with a blank in the name of a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\nNa me: value\r\n\r\n"},
		{entity.KindApp, "of an app service with a blank in the name of a field of a refusal", "HTTP/1.1 429 Too Many Requests\r\nX-Not-Run: i1-1-1\r\nNa me: value\r\nContent-Length: 0\r\n\r\n"},
		{entity.KindModel, "of an engine with a blank in the name of a field", "HTTP/1.1 200 OK\r\nNa me: value\r\nContent-Type: text/event-stream\r\n\r\n" + eventText + "data: [DONE]\n\n"},
		{entity.KindModel, "of an engine with the status 000", "HTTP/1.1 000 None\r\nContent-Type: text/event-stream\r\n\r\n" + eventText + "data: [DONE]\n\n"},
	} {
		// Guards against a response that no HTTP server may send and that is billed and passed on.
		It("is not complete, and no proof that the request has not run: "+t.name, func() {
			ended := call(t.text, raw.Close, t.kind, []byte("{}"))
			Expect(ended.Outcome).To(Equal(inbox.OutcomeConnectionFailed), "%q", ended.Response.Body)
			Expect(ended.Proof.Holds()).To(BeFalse())
		})
	}
})
