package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to the record of a case.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecorder(path string) *recorder {
	f, err := os.Create(path)
	if err != nil {
		cannotRun("record: " + err.Error())
	}
	return &recorder{file: f, started: time.Now()}
}

// note writes a line with the time since the start.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

// say writes a line to the record and to the standard output.
func (r *recorder) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf(format+"\n", args...)
}
