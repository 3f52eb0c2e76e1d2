package loadexchange

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"hawthornspar/core/home"
)

// Paths of messages between VMs. A GET request of ReportPath asks only whether the VM
// answers.
const (
	ReportPath = "/load/report" // a VM's report; the response is a summary
	SumPath    = "/load/sum"    // a domain's sum; the response is the other domain's
)

// overheadBytes is an estimate of the bytes of one exchange besides the messages:
// the heads of request and response, acknowledgements and the headers of packets.
const overheadBytes = 400

// Transport sends requests to other VMs.
type Transport interface {
	http.RoundTripper
	// Connected reports whether a connection to an address, IP:port, is open.
	Connected(address string) bool
	// CloseConn closes the connection to an address.
	CloseConn(address string)
}

// send sends a message to another VM and returns the response.
func (e *Exchanger) send(ctx context.Context, t Transport, method string, to home.VM, path string, message []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "https://"+to.Address+path, bytes.NewReader(message))
	if err != nil {
		return nil, errors.Wrap(err, "message")
	}
	request.Header["User-Agent"] = []string{""} // leaves the header out
	response, err := t.RoundTrip(request)
	if err != nil {
		return nil, errors.Wrap(err, "VM")
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, errors.WithStack(&StatusError{Status: response.StatusCode})
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxMessageBytes))
	e.bytes.Add(int64(len(message) + len(raw) + overheadBytes))
	return raw, errors.Wrap(err, "VM's answer")
}
