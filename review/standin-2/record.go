package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	must(err)
	return &record{file: f, began: time.Now()}
}

// line writes one line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes one line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// must ends the case as one that could not run.
func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		cleanUp()
		os.Exit(exitNotRun)
	}
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)
