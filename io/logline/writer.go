// Package logline writes log lines without ever blocking the code that logs: when
// the reader of the output stalls, lines are dropped and requests go on.
package logline

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// queueLines bounds the lines that wait to be written, which take a few megabytes
// at most.
const queueLines = 8192

// batchBytes is the size from which a batch of lines is written without adding
// more lines.
const batchBytes = 16 << 10

// Writer queues log lines and writes them to another writer in the background.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	flushes chan chan struct{} // requests to flush; loop closes the channel that it receives
	dropped atomic.Int64
}

// NewWriter returns a Writer that writes to out. Its goroutine runs until the
// process ends.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), flushes: make(chan chan struct{})}
	go w.loop()
	return w
}

// Write queues a copy of line, or drops and counts the line if the queue is full.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the Writer was created.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// loop writes queued lines in batches, adds a line with the number of dropped lines
// after each loss, and confirms flushes.
func (w *Writer) loop() {
	reported := int64(0)
	for {
		line, flushed := w.next()
		if flushed != nil {
			close(flushed)
			continue
		}
		batch := w.fillBatch(line)
		if dropped := w.Dropped(); dropped > reported {
			batch = fmt.Appendf(batch, "\"level\"=0 \"msg\"=\"log lines dropped\" \"count\"=%d\n", dropped-reported)
			reported = dropped
		}
		// There is nowhere to report that the log itself cannot be written.
		_, _ = w.out.Write(batch)
	}
}

// next blocks until a line is queued or a flush is requested. It returns the line,
// or the channel that confirms the flush. It prefers queued lines to flushes.
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

// Flush waits up to timeout for all queued lines to be written and reports whether
// they were.
func (w *Writer) Flush(timeout time.Duration) bool {
	t := time.NewTimer(timeout)
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

// fillBatch appends queued lines to batch until the queue is empty or the batch
// reaches batchBytes.
func (w *Writer) fillBatch(batch []byte) []byte {
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
