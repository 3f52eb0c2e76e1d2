package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes down what was sent, answered and run.
type record struct {
	mu       sync.Mutex
	file     *os.File
	started  time.Time
	arrivals []arrival
	crashes  []time.Time
}

// arrival is one request that reached a runner which took it.
type arrival struct {
	attempt string
	fatal   bool
}

func newRecord(name string) (*record, error) {
	f, err := os.Create(name)
	return &record{file: f, started: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

// write writes a line. The caller holds the lock.
func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// taken records that a request has reached a runner, which did not turn it away.
func (r *record) taken(attempt, runner string, fatal bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, arrival{attempt, fatal})
	r.write("reaches runner %s, which takes it: %s", runner, attempt)
}

func (r *record) run(attempt, runner string) { r.line("runner %s runs %s", runner, attempt) }

func (r *record) crash(runner, by string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes = append(r.crashes, time.Now())
	r.write("runner %s CRASHES by %s (crash %d)", runner, by, len(r.crashes))
}

// fatalArrivalsAfter returns how many fatal requests that were sent later than a time
// reached runners. Those that runners turned away do not count.
func (r *record) fatalArrivalsAfter(sent map[string]time.Time, after time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, a := range r.arrivals {
		if a.fatal && sent[a.attempt].After(after) {
			n++
		}
	}
	return n
}
