package gateway

import "io"

// Memory for the bodies of requests.
const (
	// defaultBodyBytes bounds one body if the configuration sets no limit.
	defaultBodyBytes = 16 << 20
	// defaultBufferedBytes bounds all bodies together if the memory of the VM is
	// not known, and bufferedMemoryShare is the share of the memory otherwise.
	defaultBufferedBytes = 64 << 20
	bufferedMemoryShare  = 0.25
)

// BodyMemoryError reports that the bodies of requests use all the memory that
// there is for them.
type BodyMemoryError struct{}

// Error implements error.
func (*BodyMemoryError) Error() string { return "the bodies of requests use all memory for them" }

// maxBufferedBytes returns the bytes that the bodies of all requests may use.
func (g *Gateway) maxBufferedBytes() int64 {
	if g.settings.MemoryBytes <= 0 {
		return defaultBufferedBytes
	}
	return int64(bufferedMemoryShare * float64(g.settings.MemoryBytes))
}

// reserveMemory counts memory for the request's body, until releaseBody. It
// returns false when there is not enough.
func (x *exchange) reserveMemory(bytes int64) bool {
	if x.gateway.bufferedBytes.Add(bytes) > x.gateway.maxBufferedBytes() {
		x.gateway.bufferedBytes.Add(-bytes)
		return false
	}
	x.bodyMemory += bytes
	return true
}

// releaseBody counts down the memory of the request's body.
func (x *exchange) releaseBody() {
	x.gateway.bufferedBytes.Add(-x.bodyMemory)
	x.bodyMemory = 0
}

// memoryReader counts memory for the bytes of a body of unknown length while
// they are read.
type memoryReader struct {
	exchange *exchange
	source   io.Reader
}

// Read implements io.Reader.
func (m *memoryReader) Read(p []byte) (int, error) {
	n, err := m.source.Read(p)
	if n > 0 && !m.exchange.reserveMemory(int64(n)) {
		return 0, &BodyMemoryError{}
	}
	return n, err
}
