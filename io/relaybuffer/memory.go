// Package relaybuffer reads responses of endpoints ahead of slow clients, within
// the memory that a VM has for that. An endpoint cuts off a response that stays
// unread for some seconds, although its client may read on.
package relaybuffer

import (
	"sync"
	"time"
)

const (
	// chunkBytes is the unit in which memory is counted.
	chunkBytes = 16 << 10
	// maxResponseBytes bounds what is read ahead of one response.
	maxResponseBytes = 256 << 10
	// minStall is the time without progress after which a response may be cut off
	// when all memory is in use. A client that reads at all makes progress within
	// it, as a piece of a response has a few kilobytes.
	minStall = time.Second
	// recheckPeriod is the time after which a response that found all memory in use
	// asks again.
	recheckPeriod = 50 * time.Millisecond
)

// Memory counts the bytes that are held of all responses of a VM. Its methods may be
// called concurrently.
type Memory struct {
	mu      sync.Mutex // also guards the buffers
	limit   int64
	used    int64
	holders map[*buffer]bool // that hold bytes
}

// NewMemory returns memory of a number of bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit, holders: map[*buffer]bool{}} }

// Used returns the bytes that are held.
func (m *Memory) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// reserve counts bytes for a buffer, and reports whether there were enough. If not, it
// cuts off the response that holds most and has made no progress for the longest time,
// which frees its bytes. It is called with the lock held.
func (m *Memory) reserve(b *buffer, bytes int64, now time.Time) bool {
	for m.used+bytes > m.limit {
		worst := m.worst(now)
		if worst == nil {
			return false
		}
		worst.cut(now)
		if worst == b {
			return false
		}
	}
	m.used += bytes
	b.held += bytes
	m.holders[b] = true
	return true
}

// release counts down bytes of a buffer. It is called with the lock held.
func (m *Memory) release(b *buffer, bytes int64) {
	m.used -= bytes
	b.held -= bytes
	if b.held == 0 {
		delete(m.holders, b)
	}
}

// worst returns the buffer with the largest product of bytes and time without progress;
// nil if all have made progress of late. It is called with the lock held.
func (m *Memory) worst(now time.Time) *buffer {
	var worst *buffer
	most := 0.0
	for b := range m.holders {
		stalled := b.stalled(now)
		weight := float64(b.held) * stalled.Seconds()
		if stalled >= minStall && weight > most {
			worst, most = b, weight
		}
	}
	return worst
}
