package relaybuffer

import (
	"io"
	"sync"
	"time"
)

// CutError reports that a response was cut off because its client reads too slowly and
// the responses of all clients use all the memory for them.
type CutError struct {
	Held    int64         // bytes
	Stalled time.Duration // time since the client last made progress
}

// Error implements error.
func (*CutError) Error() string { return "the client is too slow for the memory for responses" }

// FullError reports that the responses of all clients use all the memory for them.
type FullError struct{}

// Error implements error.
func (*FullError) Error() string { return "responses use all memory for them" }

// buffer holds what was read ahead of one response. One goroutine fills it, and another
// one reads it. It is guarded by the lock of its memory.
type buffer struct {
	memory     *Memory
	changed    *sync.Cond // of the fields below
	held       int64      // bytes counted in memory
	chunks     [][]byte   // with a capacity of chunkBytes each
	consumed   int        // bytes of the first chunk
	pieces     int64      // bytes that the reader holds besides, as hold was told
	end        error      // of the response; what is in chunks comes before it
	closed     bool
	ahead      bool      // fill runs, or has run
	reading    bool      // the reader waits for bytes, so that the client isn't slow
	progressed time.Time // when the reader last took bytes
	cutError   *CutError // set if the response was cut off
	onCut      func()
}

// stalled returns the time since the client last made progress.
func (b *buffer) stalled(now time.Time) time.Duration {
	if !b.ahead || b.reading || b.closed {
		return 0
	}
	return now.Sub(b.progressed)
}

// cut frees what is held and ends the response. It is called with the lock held.
func (b *buffer) cut(now time.Time) {
	b.cutError = &CutError{Held: b.held, Stalled: b.stalled(now)}
	b.free()
	b.onCut()
}

// free frees what is held, and wakes all that wait. It is called with the lock held.
func (b *buffer) free() {
	b.memory.release(b, b.held)
	b.chunks, b.pieces, b.closed = nil, 0, true
	b.changed.Broadcast()
}

// close frees what is held.
func (b *buffer) close() {
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	b.free()
}

// hold counts bytes of which the reader has a copy, in place of those of the last call.
func (b *buffer) hold(bytes int64) error {
	m := b.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if b.cutError != nil {
		return b.cutError
	}
	added := bytes - b.pieces
	if added > 0 && !m.reserve(b, added, time.Now()) {
		return &FullError{}
	}
	if added < 0 {
		m.release(b, -added)
	}
	b.pieces = bytes
	return nil
}

// fill reads a source ahead until it ends, or the buffer is closed. A write to the client
// has stalled for stallDelay.
func (b *buffer) fill(source io.Reader) {
	b.begin()
	for space := b.space(); space != nil; space = b.space() {
		n, err := source.Read(space)
		b.commit(n, err)
	}
}

func (b *buffer) begin() {
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	b.ahead, b.progressed = true, time.Now().Add(-stallDelay)
}

// space waits for free space and returns it; nil if the response has ended.
func (b *buffer) space() []byte {
	m := b.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	for !b.closed && b.end == nil {
		if last := len(b.chunks) - 1; last >= 0 && len(b.chunks[last]) < chunkBytes {
			c := b.chunks[last]
			return c[len(c):chunkBytes]
		}
		if len(b.chunks) < maxResponseBytes/chunkBytes {
			if m.reserve(b, chunkBytes, time.Now()) {
				b.chunks = append(b.chunks, make([]byte, 0, chunkBytes))
				continue
			}
			time.AfterFunc(recheckPeriod, b.changed.Broadcast)
		}
		if !b.closed {
			b.changed.Wait()
		}
	}
	return nil
}

// commit adds bytes that were read into the space.
func (b *buffer) commit(n int, err error) {
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	if b.closed {
		return
	}
	last := len(b.chunks) - 1
	b.chunks[last] = b.chunks[last][:len(b.chunks[last])+n]
	b.end = err
	b.changed.Broadcast()
}

// read waits for bytes and copies them to p.
func (b *buffer) read(p []byte) (int, error) {
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	b.reading = true
	defer b.endRead()
	for !b.closed && !b.readable() && b.end == nil {
		b.changed.Wait()
	}
	switch {
	case b.cutError != nil:
		return 0, b.cutError
	case b.closed:
		return 0, io.ErrClosedPipe
	case b.readable():
		return b.take(p), nil
	}
	return 0, b.end
}

func (b *buffer) endRead() { b.reading, b.progressed = false, time.Now() }

// readable reports whether there are bytes to be read.
func (b *buffer) readable() bool { return len(b.chunks) > 0 && len(b.chunks[0]) > b.consumed }

// take copies bytes to p, and frees a chunk of which nothing is left.
func (b *buffer) take(p []byte) int {
	first := b.chunks[0]
	n := copy(p, first[b.consumed:])
	b.consumed += n
	if b.consumed == chunkBytes {
		b.chunks, b.consumed = b.chunks[1:], 0
		b.memory.release(b, chunkBytes)
		b.changed.Broadcast()
	}
	return n
}
