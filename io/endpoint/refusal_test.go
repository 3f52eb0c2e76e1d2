package endpoint

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "endpoint")
}

// refusalText is what repeatingEngine writes to refuse a request.
const refusalText = "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n"

// streamText is the response of repeatingEngine to a request that it runs.
const streamText = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n" +
	"data: {\"choices\":[{\"delta\":{\"content\":\"word\"}}]}\n\ndata: [DONE]\n\n"

// repeatingEngine refuses the first request that it gets. On a connection on which it
// has refused one, it writes the refusal again before the response to the next.
type repeatingEngine struct {
	listener net.Listener
	mu       sync.Mutex
	requests int
	runs     int
}

func (e *repeatingEngine) loop() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		c := &engineConnection{e, conn}
		go c.run()
	}
}

type engineConnection struct {
	engine *repeatingEngine
	conn   net.Conn
}

func (c *engineConnection) run() {
	defer c.conn.Close()
	reader := bufio.NewReader(c.conn)
	refused := false
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = r.Body.Close() // reads the rest
		e := c.engine
		e.mu.Lock()
		e.requests++
		first := e.requests == 1
		if !first {
			e.runs++
		}
		e.mu.Unlock()
		text := streamText
		switch {
		case first:
			refused, text = true, refusalText
		case refused:
			text = refusalText + streamText
		}
		_, _ = c.conn.Write([]byte(text)) // the test notices missing bytes
		if !first {
			return
		}
	}
}

// testExchange is a request whose response is discarded.
type testExchange struct{}

func (x *testExchange) Request(address string) (method, url string, header http.Header, body []byte) {
	return http.MethodPost, "http://" + address + "/v1/chat/completions", http.Header{}, []byte("{}")
}
func (x *testExchange) BeginAttempt(int)                           {}
func (x *testExchange) AddEvent(int, []byte, string) bool          { return true }
func (x *testExchange) SetFinalEvents(int, [][]byte, int64, int64) {}
func (x *testExchange) SetResponse(int, entity.AppResponse)        {}

// newTestClient returns a client and the ends of its attempts.
func newTestClient() (*Client, <-chan inbox.AttemptEnded) {
	ends := make(chan inbox.AttemptEnded, 1)
	return New("i1", func(event inbox.Event) {
		if ended, ok := event.(inbox.AttemptEnded); ok {
			ends <- ended
		}
	}, logr.Discard()), ends
}

var _ = Describe("Client", func() {
	// Guards against "not run" for a request that an engine runs.
	It("takes no refusal of an earlier request, written once more, as its own", func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		e := &repeatingEngine{listener: l}
		go e.loop()
		c, ends := newTestClient()
		outcome := func(request int64) inbox.Outcome {
			c.Start(outbox.StartAttempt{Request: request, Attempt: 1, Endpoint: "e1", Address: l.Addr().String(), Kind: entity.KindModel}, &testExchange{})
			var ended inbox.AttemptEnded
			Eventually(ends).WithTimeout(3 * time.Second).Should(Receive(&ended))
			return ended.Outcome
		}
		Expect(outcome(1)).To(Equal(inbox.OutcomeFull))
		Expect(outcome(2)).To(Equal(inbox.OutcomeCompleted))
		Expect(e.runs).To(Equal(1))
	})
})
