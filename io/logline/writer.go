// Package logline writes log lines without ever delaying the writer's caller: a
// reader that stops reading costs lines, not requests.
package logline

import (
	"fmt"
	"io"
	"sync/atomic"
)

// queueLines bounds the lines that wait to be written, a few megabytes at most.
const queueLines = 8192

// batchBytes is how much is handed to one write.
const batchBytes = 16 << 10

// Writer queues lines and writes them in the background.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewWriter returns a writer whose goroutine lives as long as the process.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines)}
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
	for line := range w.lines {
		batch := w.gather(line)
		if dropped := w.Dropped(); dropped > told {
			batch = fmt.Appendf(batch, "\"level\"=0 \"msg\"=\"log lines dropped\" \"count\"=%d\n", dropped-told)
			told = dropped
		}
		// Nobody is left to tell when the log itself cannot be written.
		_, _ = w.out.Write(batch)
	}
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
