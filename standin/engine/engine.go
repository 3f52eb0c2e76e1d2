// Package engine stands in for a batching model engine that streams tokens,
// honours priorities, cancels and resumes streams and caches prompt prefixes.
package engine

import (
	"cmp"
	"hash/crc32"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"hawthornspar/timer"
)

// Options shape an engine.
type Options struct {
	Slots       int           // runs in one batch
	Queue       int           // runs that may wait
	TokenTime   time.Duration // between two tokens of a run
	PrefillTime time.Duration // for each 1,000 prompt bytes that are not cached
	CacheSize   int           // prompt prefixes kept
	Overrun     int           // tokens sent beyond the limit that was asked for
	LoadLag     time.Duration // age of the load report
	Name        string
	OnCrash     func() // called by a request that crashes engines
}

// CrashMarker in a prompt crashes the engine.
const CrashMarker = "CRASH-ENGINE"

// Engine runs a batch, one token of each run a step.
type Engine struct {
	options Options
	clock   timer.Service
	mu      sync.Mutex
	running []*Run
	waiting []*Run
	runs    map[string]*Run
	byUser  map[string]int // runs by the request's user field
	cache   []string       // prompt prefixes, latest last
	load    []datedLoad
	tokens  int64
	hits    int64
}

type datedLoad struct {
	at   time.Time
	load Load
}

// Load is the engine's report of its own load.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

// Counts tells what the engine did, for judges.
type Counts struct {
	Runs      map[string]int `json:"runs"` // by user field
	Tokens    int64          `json:"tokens"`
	CacheHits int64          `json:"cacheHits"`
}

// Run is one request in the batch.
type Run struct {
	ID       string
	Priority int
	Prompt   string
	Limit    int
	Started  bool
	Tokens   []string
	Done     bool
	length   int
	prefill  time.Duration
	changed  chan struct{}
}

// New returns an engine and starts its loop.
func New(options Options, clock timer.Service) *Engine {
	e := &Engine{options: options, clock: clock, runs: map[string]*Run{}, byUser: map[string]int{}}
	go e.loop()
	return e
}

func (e *Engine) loop() {
	ticks := e.clock.Subscribe(e.options.TokenTime)
	defer ticks.Stop()
	for range ticks.C {
		e.step()
	}
}

// Submit queues a run, or returns nil when the queue is full.
func (e *Engine) Submit(id, user, prompt string, limit, priority int) *Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.running) >= e.options.Slots && len(e.waiting) >= e.options.Queue {
		return nil
	}
	r := &Run{ID: id, Priority: priority, Prompt: prompt, Limit: limit, changed: make(chan struct{})}
	r.length = min(wanted(prompt), limit) + e.options.Overrun
	e.runs[id] = r
	e.waiting = append(e.waiting, r)
	e.byUser[user]++
	return r
}

// wanted reads the answer's length from a prompt that says "answer:N".
func wanted(prompt string) int {
	const byDefault = 20
	_, rest, ok := strings.Cut(prompt, "answer:")
	if !ok {
		return byDefault
	}
	digits := strings.TrimLeft(rest, "0123456789")
	n, err := strconv.Atoi(rest[:len(rest)-len(digits)])
	if err != nil {
		return byDefault
	}
	return max(n, 1)
}

// step admits waiting runs by priority and gives each running one a token.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	slices.SortStableFunc(e.waiting, func(a, b *Run) int { return cmp.Compare(a.Priority, b.Priority) })
	for len(e.running) < e.options.Slots && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.start(r)
	}
	kept := e.running[:0]
	for _, r := range e.running {
		e.advance(r)
		if !r.Done {
			kept = append(kept, r)
		}
	}
	e.running = kept
	e.record()
}

func (e *Engine) start(r *Run) {
	r.Started = true
	r.prefill = time.Duration(e.uncached(r.Prompt)) * e.options.PrefillTime / 1000
	e.running = append(e.running, r)
	if strings.Contains(r.Prompt, CrashMarker) && e.options.OnCrash != nil {
		e.options.OnCrash()
	}
}

// prefixBytes is the part of a prompt that the cache keeps.
const prefixBytes = 256

// uncached returns the prompt bytes to compute, and caches the prefix.
func (e *Engine) uncached(prompt string) int {
	prefix := prompt[:min(len(prompt), prefixBytes)]
	if i := slices.Index(e.cache, prefix); i >= 0 {
		e.hits++
		e.cache = append(slices.Delete(e.cache, i, i+1), prefix)
		return len(prompt) - len(prefix)
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > e.options.CacheSize {
		e.cache = e.cache[1:]
	}
	return len(prompt)
}

// advance adds one token; the last one carries a checksum of the others.
func (e *Engine) advance(r *Run) {
	if r.prefill > 0 {
		r.prefill -= e.options.TokenTime
		return
	}
	e.tokens++
	n := len(r.Tokens)
	if n < r.length-1 {
		r.Tokens = append(r.Tokens, "w"+strconv.Itoa(n)+"."+r.ID+" ")
	} else {
		r.Tokens = append(r.Tokens, "sum:"+Checksum(strings.Join(r.Tokens, "")))
		r.Done = true
	}
	r.notify()
}

// Checksum is what the last token carries of the text before it.
func Checksum(text string) string {
	return strconv.FormatUint(uint64(crc32.ChecksumIEEE([]byte(text))), 16)
}

func (r *Run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Follow returns the tokens from offset on, whether the run ended, and a
// channel that is closed at the next change.
func (e *Engine) Follow(id string, offset int) ([]string, bool, <-chan struct{}, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.runs[id]
	if !ok {
		return nil, false, nil, false
	}
	return slices.Clone(r.Tokens[min(offset, len(r.Tokens)):]), r.Done, r.changed, true
}

// Cancel ends a run.
func (e *Engine) Cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.runs[id]
	if !ok || r.Done {
		return
	}
	r.Done = true
	r.notify()
	e.waiting = slices.DeleteFunc(e.waiting, func(o *Run) bool { return o == r })
}

func (e *Engine) record() {
	now := e.clock.Now()
	e.load = append(e.load, datedLoad{now, Load{len(e.running), len(e.waiting), e.options.Slots}})
	for len(e.load) > 1 && now.Sub(e.load[1].at) >= e.options.LoadLag {
		e.load = e.load[1:]
	}
}

// Load returns the lagging report.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.load) == 0 {
		return Load{Slots: e.options.Slots}
	}
	return e.load[0].load
}

// Counts returns what the engine did so far.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := Counts{Runs: map[string]int{}, Tokens: e.tokens, CacheHits: e.hits}
	for user, n := range e.byUser {
		c.Runs[user] = n
	}
	return c
}
