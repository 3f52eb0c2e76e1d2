// Package logline writes log lines without ever delaying the writer's caller: a
// reader that stops reading costs lines, not requests.
package logline

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// queueLines bounds the lines that wait to be written, a few megabytes at most.
const queueLines = 8192

// batchBytes is how much is handed to one write.
const batchBytes = 16 << 10

// Writer queues lines and writes them in the background.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	flushes chan chan struct{}
	dropped atomic.Int64
}

// NewWriter returns a writer whose goroutine lives as long as the process.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), flushes: make(chan chan struct{})}
	go w.loop()
	return w
}

// Write queues a line, or drops and counts it when the queue is full.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) loop() {
	told := int64(0)
	for {
		line, flushed := w.next()
		if flushed != nil {
			close(flushed)
			continue
		}
		batch := w.gather(line)
		if dropped := w.Dropped(); dropped > told {
			batch = fmt.Appendf(batch, "\"level\"=0 \"msg\"=\"log lines dropped\" \"count\"=%d\n", dropped-told)
			told = dropped
		}
		// Nobody is left to tell when the log itself cannot be written.
		_, _ = w.out.Write(batch)
	}
}

// next returns the next line, or a flush to confirm when no line waits.
func (w *Writer) next() ([]byte, chan struct{}) {
	select {
	case line := <-w.lines:
		return line, nil
	default:
	}
	select {
	case line := <-w.lines:
		return line, nil
	case f := <-w.flushes:
		return nil, f
	}
}

// Flush waits until all queued lines are written, for at most limit. It returns
// false when they were not.
func (w *Writer) Flush(limit time.Duration) bool {
	t := time.NewTimer(limit)
	defer t.Stop()
	flushed := make(chan struct{})
	select {
	case w.flushes <- flushed:
	case <-t.C:
		return false
	}
	<-flushed
	return true
}

// gather joins the lines that wait already.
func (w *Writer) gather(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
