package gateway

import (
	"errors"
	"net/http"
	"time"

	"hawthornspar/io/relaybuffer"
)

// Memory for responses that are held for slow clients.
const (
	// defaultResponsesBytes bounds what is held of all responses if the memory of the VM
	// is not known, and responsesMemoryShare is the share of the memory otherwise.
	defaultResponsesBytes = 32 << 20
	responsesMemoryShare  = 0.125
	// maxUncountedBytes is the length of the incomplete event of a stream up to which it
	// is not counted, like the buffers of a connection.
	maxUncountedBytes = 2 * relayBufferBytes
)

// maxResponsesBytes returns the bytes that may be held of all responses. memory is that of
// the VM; 0 when unknown.
func maxResponsesBytes(memory int64) int64 {
	if memory <= 0 {
		return defaultResponsesBytes
	}
	return int64(responsesMemoryShare * float64(memory))
}

// newResponseReader returns a reader of a response's body, which reads ahead when the client
// is slow.
func (x *exchange) newResponseReader(response *http.Response) *relaybuffer.Reader {
	return x.gateway.responses.NewReader(response.Body, relaybuffer.OnCut(x.interruptWrites), relaybuffer.OnAhead(x.recordSlowClient))
}

// interruptWrites ends writes to the client at once.
func (x *exchange) interruptWrites() {
	// It fails only on a closed connection.
	_ = http.NewResponseController(x.writer).SetWriteDeadline(time.Unix(1, 0))
}

// recordSlowClient counts and logs that the response is read ahead of its client.
func (x *exchange) recordSlowClient() {
	x.gateway.metrics.Increment("reads_ahead", x.route.Kind.String())
	x.gateway.log.Info("read ahead", "id", x.info.ID, "kind", x.route.Kind.String(), "heldBytes", x.gateway.responses.Used())
}

// isCut reports whether a response ended early because the responses of all clients use all
// memory for them, and counts and logs it.
func (x *exchange) isCut(err error) bool {
	var cut *relaybuffer.CutError
	var full *relaybuffer.FullError
	switch {
	case errors.As(err, &cut):
		x.gateway.log.Info("response cut", "id", x.info.ID, "bytes", cut.Held, "stalledMs", cut.Stalled.Milliseconds(), "events", x.relayed.events)
		x.gateway.metrics.Increment("response_cuts", "clientSlow")
	case errors.As(err, &full):
		x.gateway.log.Info("response cut", "id", x.info.ID, "events", x.relayed.events, "heldBytes", x.gateway.responses.Used())
		x.gateway.metrics.Increment("response_cuts", "eventLarge")
	default:
		return false
	}
	return true
}
