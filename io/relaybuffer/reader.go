package relaybuffer

import (
	"io"
	"sync"
	"time"
)

// stallDelay is the time that a write to a client takes before the response is read
// ahead. Endpoints wait for seconds, and writes to sound clients end at once.
const stallDelay = 50 * time.Millisecond

// Reader reads a response that is written to a client. As long as the client keeps up,
// it reads the source directly. Once a write has stalled, another goroutine reads the
// source ahead. All methods are called by the goroutine that writes.
type Reader struct {
	source  io.Reader
	buffer  buffer
	onAhead func()
	timer   *time.Timer // starts run; nil before the first write
	ended   bool        // the source has ended

	mu      sync.Mutex
	writing bool // a write to the client is running, so that the source is not read
	ahead   bool // the source is read by run only
	closed  bool
}

// Option configures a Reader.
type Option func(*Reader)

// OnCut sets what interrupts a write to the client when the response is cut off. It must
// not block.
func OnCut(f func()) Option { return func(r *Reader) { r.buffer.onCut = f } }

// OnAhead sets what is called when the response begins to be read ahead.
func OnAhead(f func()) Option { return func(r *Reader) { r.onAhead = f } }

// NewReader returns a reader of a source. Whoever ends the response must interrupt reads
// of the source, which may go on after Close.
func (m *Memory) NewReader(source io.Reader, options ...Option) *Reader {
	r := &Reader{source: source, onAhead: func() {}, buffer: buffer{memory: m, onCut: func() {}, progressed: time.Now()}}
	r.buffer.changed = sync.NewCond(&m.mu)
	for _, o := range options {
		o(r)
	}
	return r
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.isAhead() {
		return r.buffer.read(p)
	}
	n, err := r.source.Read(p)
	r.ended = err != nil
	return n, err
}

func (r *Reader) isAhead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ahead
}

// Write runs a write to the client, during which the source may be read ahead.
func (r *Reader) Write(write func() error) error {
	if r.ended {
		return write()
	}
	r.beginWrite()
	defer r.endWrite()
	return write()
}

func (r *Reader) beginWrite() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing = true
	switch {
	case r.ahead:
	case r.timer == nil:
		r.timer = time.AfterFunc(stallDelay, r.run)
	default:
		r.timer.Reset(stallDelay)
	}
}

func (r *Reader) endWrite() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing = false
	r.timer.Stop()
}

// run reads the source ahead if a write is running.
func (r *Reader) run() {
	if !r.goAhead() {
		return
	}
	r.onAhead()
	r.buffer.fill(r.source)
}

// goAhead reports whether run is to read the source.
func (r *Reader) goAhead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.writing || r.ahead || r.closed {
		return false
	}
	r.ahead = true
	return true
}

// Hold counts bytes that the caller keeps of the response, in place of those of the last
// call.
func (r *Reader) Hold(bytes int) error { return r.buffer.hold(int64(bytes)) }

// Cut returns how the response was cut off; nil if it was not.
func (r *Reader) Cut() *CutError {
	r.buffer.memory.mu.Lock()
	defer r.buffer.memory.mu.Unlock()
	return r.buffer.cutError
}

// Close frees what is held of the response.
func (r *Reader) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.buffer.close()
}
