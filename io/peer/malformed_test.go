package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/io/certificate"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

// encodeField encodes a short header field as a QPACK literal (RFC 9204, section 4.5.6).
func encodeField(name, value string) string {
	const literalName, maxPrefix = 0x20, 7
	text := string([]byte{literalName | byte(len(name))})
	if len(name) >= maxPrefix {
		text = string([]byte{literalName | maxPrefix, byte(len(name) - maxPrefix)})
	}
	return text + name + string([]byte{byte(len(value))}) + value
}

// encodeResponse encodes a response of HTTP/3 with one more header field and a body.
func encodeResponse(status, name, value, body string) string {
	const dataFrame, headersFrame = 0, 1
	fields := "\x00\x00" + encodeField(":status", status) + encodeField(name, value)
	return string([]byte{headersFrame, byte(len(fields))}) + fields + string([]byte{dataFrame, byte(len(body))}) + body
}

// rawPeer writes fixed bytes in response to each request.
type rawPeer struct {
	listener *quic.Listener
	response string
	reset    bool // it resets the stream after the response
}

func (p *rawPeer) loop() {
	for {
		conn, err := p.listener.Accept(context.Background())
		if err != nil {
			return
		}
		stream, err := conn.AcceptStream(context.Background())
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, stream) // the test notices what is missing
		_, _ = stream.Write([]byte(p.response))
		if p.reset {
			time.Sleep(50 * time.Millisecond)
			stream.CancelWrite(quic.StreamErrorCode(http3.ErrCodeInternalError))
			continue
		}
		_ = stream.Close() // fails only on a closed connection
	}
}

// mutualTLS returns the configuration of a VM of a new fleet.
func mutualTLS() *tls.Config {
	authority, err := certificate.NewAuthority(time.Now(), time.Hour)
	Expect(err).NotTo(HaveOccurred())
	own, err := certificate.IssueVM(authority, "vm", time.Now(), time.Hour)
	Expect(err).NotTo(HaveOccurred())
	config, err := certificate.MutualTLS(authority.Certificate, own)
	Expect(err).NotTo(HaveOccurred())
	return config
}

var _ = Describe("A response of another VM", func() {
	for _, t := range []struct {
		name     string
		response string
		reset    bool
		sound    bool
	}{
		{"that is sound", encodeResponse("200", "name", "value", "ok"), false, true},
		{"with the status 000", encodeResponse("000", "name", "value", "ok"), false, false},
		{"with the status 099", encodeResponse("099", "name", "value", "ok"), false, false},
		{"with a blank in the name of a field", encodeResponse("200", "na me", "value", "ok"), false, false},
		{"with a control byte in the name of a field", encodeResponse("200", "na\x01me", "value", "ok"), false, false},
		{"that is broken off", encodeResponse("200", "name", "value", "ok"), true, false},
	} {
		// Guards against a malformed response of a VM that another one takes for an answer.
		It("is an error unless it is sound: "+t.name, func() {
			config := mutualTLS()
			server := config.Clone()
			server.NextProtos = []string{http3.NextProtoH3}
			l, err := quic.ListenAddr("127.0.0.1:0", server, nil)
			Expect(err).NotTo(HaveOccurred())
			defer l.Close()
			p := &rawPeer{l, t.response, t.reset}
			go p.loop()
			n, err := Listen(entity.VM{Name: "vm"}, "127.0.0.1:0", config, http.NotFoundHandler(), func(inbox.Event) {}, logr.Discard())
			Expect(err).NotTo(HaveOccurred())
			defer n.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+l.Addr().String()+"/", nil)
			Expect(err).NotTo(HaveOccurred())
			var body []byte
			response, err := n.RoundTrip(r)
			if err == nil {
				body, err = io.ReadAll(response.Body)
			}
			if t.sound {
				Expect(err).NotTo(HaveOccurred())
				Expect(string(body)).To(Equal("ok"))
				return
			}
			Expect(err).To(HaveOccurred(), "%q", body)
			Expect(ctx.Err()).NotTo(HaveOccurred(), "it is noticed at once")
		})
	}
})
