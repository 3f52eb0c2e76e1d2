// Package engine is a test double of an inference engine with continuous
// batching. It streams tokens, admits runs by priority, cancels and resumes
// runs and caches prompt prefixes.
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

// Options configure an Engine.
type Options struct {
	Slots            int           // maximum number of runs in the batch
	QueueSize        int           // maximum number of runs that wait while the batch is full
	TokenInterval    time.Duration // interval between the tokens of a run
	PrefillTime      time.Duration // per 1,000 prompt bytes that are not in the prefix cache
	CacheSize        int           // maximum number of cached prompt prefixes
	Overrun          int           // tokens generated beyond the smaller of the requested length and the limit
	MinLoadReportAge time.Duration // minimum age of the reported load
	Name             string
	OnCrash          func() // called when a run starts whose prompt contains CrashMarker; may be nil
}

// CrashMarker simulates a request that crashes engines: the engine calls
// Options.OnCrash when it starts a run whose prompt contains this text.
const CrashMarker = "CRASH-ENGINE"

// Engine decodes a batch of runs in steps. Each step generates at most one
// token of each run.
type Engine struct {
	options     Options
	clock       timer.Clock
	mu          sync.Mutex
	running     []*Run          // the batch
	waiting     []*Run          // the queue
	runs        map[string]*Run // by ID, also those that ended
	runsByUser  map[string]int  // number of runs by the user field of their requests
	prefixCache []string        // prompt prefixes, the most recently used one last
	load        []loadSample    // oldest first
	tokenCount  int64           // generated tokens of all runs
	cacheHits   int64           // of the prefix cache
}

// loadSample is the load at a time.
type loadSample struct {
	at   time.Time
	load Load
}

// Load is the load that the engine reports of itself.
type Load struct {
	Running int `json:"running"` // runs in the batch
	Waiting int `json:"waiting"` // runs that wait for a slot
	Slots   int `json:"slots"`   // maximum number of runs in the batch
}

// Counts are the engine's totals since its start. Tests compare them with the
// responses that clients received.
type Counts struct {
	Runs      map[string]int `json:"runs"`      // by the user field of the request
	Tokens    int64          `json:"tokens"`    // generated
	CacheHits int64          `json:"cacheHits"` // of the prefix cache
}

// Run is the execution of one request. The engine keeps it after its end, so
// that a client can still read its tokens.
type Run struct {
	ID               string
	Priority         int // lower values are admitted first
	Prompt           string
	MaxTokens        int // maximum number of tokens that the request allows
	Started          bool
	Tokens           []string // generated so far
	Done             bool     // complete or cancelled
	outputTokens     int      // number of tokens to generate
	remainingPrefill time.Duration
	changed          chan struct{} // closed and replaced whenever Tokens or Done changes
}

// New returns an engine and starts its decoding loop.
func New(options Options, clock timer.Clock) *Engine {
	e := &Engine{options: options, clock: clock, runs: map[string]*Run{}, runsByUser: map[string]int{}}
	go e.loop()
	return e
}

func (e *Engine) loop() {
	ticks := e.clock.NewTicker(e.options.TokenInterval)
	defer ticks.Stop()
	for range ticks.C {
		e.step()
	}
}

// Submit queues a run and returns it, or returns nil when both the batch and
// the queue are full.
func (e *Engine) Submit(id, user, prompt string, maxTokens, priority int) *Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.running) >= e.options.Slots && len(e.waiting) >= e.options.QueueSize {
		return nil
	}
	r := &Run{ID: id, Priority: priority, Prompt: prompt, MaxTokens: maxTokens, changed: make(chan struct{})}
	r.outputTokens = min(requestedTokens(prompt), maxTokens) + e.options.Overrun
	e.runs[id] = r
	e.waiting = append(e.waiting, r)
	e.runsByUser[user]++
	return r
}

// requestedTokens returns the number of tokens that a prompt requests with
// "answer:N", and a default for any other prompt.
func requestedTokens(prompt string) int {
	const defaultTokens = 20
	_, rest, ok := strings.Cut(prompt, "answer:")
	if !ok {
		return defaultTokens
	}
	digits := strings.TrimLeft(rest, "0123456789")
	n, err := strconv.Atoi(rest[:len(rest)-len(digits)])
	if err != nil {
		return defaultTokens
	}
	return max(n, 1)
}

// step admits waiting runs by priority and advances every run in the batch.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	slices.SortStableFunc(e.waiting, func(a, b *Run) int { return cmp.Compare(a.Priority, b.Priority) })
	for len(e.running) < e.options.Slots && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.start(r)
	}
	unfinished := e.running[:0]
	for _, r := range e.running {
		e.advance(r)
		if !r.Done {
			unfinished = append(unfinished, r)
		}
	}
	e.running = unfinished
	e.recordLoad()
}

// start moves a run into the batch and sets how long its prefill takes.
func (e *Engine) start(r *Run) {
	r.Started = true
	r.remainingPrefill = time.Duration(e.uncachedBytes(r.Prompt)) * e.options.PrefillTime / 1000
	e.running = append(e.running, r)
	if strings.Contains(r.Prompt, CrashMarker) && e.options.OnCrash != nil {
		e.options.OnCrash()
	}
}

// cachedPrefixBytes is the length of the prompt prefixes in the cache.
const cachedPrefixBytes = 256

// uncachedBytes returns the number of prompt bytes that prefill computes, and
// makes the prompt's prefix the most recently used one of the cache.
func (e *Engine) uncachedBytes(prompt string) int {
	prefix := prompt[:min(len(prompt), cachedPrefixBytes)]
	if i := slices.Index(e.prefixCache, prefix); i >= 0 {
		e.cacheHits++
		e.prefixCache = append(slices.Delete(e.prefixCache, i, i+1), prefix)
		return len(prompt) - len(prefix)
	}
	e.prefixCache = append(e.prefixCache, prefix)
	if len(e.prefixCache) > e.options.CacheSize {
		e.prefixCache = e.prefixCache[1:]
	}
	return len(prompt)
}

// advance spends one step on a run's prefill, or else generates a token. The
// last token carries a checksum of the others, with which a client detects lost
// or altered tokens.
func (e *Engine) advance(r *Run) {
	if r.remainingPrefill > 0 {
		r.remainingPrefill -= e.options.TokenInterval
		return
	}
	e.tokenCount++
	n := len(r.Tokens)
	if n < r.outputTokens-1 {
		r.Tokens = append(r.Tokens, "w"+strconv.Itoa(n)+"."+r.ID+" ")
	} else {
		r.Tokens = append(r.Tokens, "sum:"+Checksum(strings.Join(r.Tokens, "")))
		r.Done = true
	}
	r.notify()
}

// Checksum returns the CRC-32 of a text in hexadecimal digits. The last token of
// a run carries the checksum of the tokens before it.
func Checksum(text string) string {
	return strconv.FormatUint(uint64(crc32.ChecksumIEEE([]byte(text))), 16)
}

// notify wakes all streams that follow the run.
func (r *Run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Follow returns a run's tokens from offset on, whether the run is done, a
// channel that is closed at its next change, and whether the run exists.
func (e *Engine) Follow(id string, offset int) ([]string, bool, <-chan struct{}, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.runs[id]
	if !ok {
		return nil, false, nil, false
	}
	return slices.Clone(r.Tokens[min(offset, len(r.Tokens)):]), r.Done, r.changed, true
}

// Cancel ends a run that waits or runs.
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

// recordLoad adds a sample of the current load, and drops the samples that are
// older than the newest one of at least the age MinLoadReportAge.
func (e *Engine) recordLoad() {
	now := e.clock.Now()
	e.load = append(e.load, loadSample{now, Load{len(e.running), len(e.waiting), e.options.Slots}})
	for len(e.load) > 1 && now.Sub(e.load[1].at) >= e.options.MinLoadReportAge {
		e.load = e.load[1:]
	}
}

// Load returns the load of MinLoadReportAge ago, or the oldest known one.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.load) == 0 {
		return Load{Slots: e.options.Slots}
	}
	return e.load[0].load
}

// Counts returns the totals since the engine's start.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := Counts{Runs: map[string]int{}, Tokens: e.tokenCount, CacheHits: e.cacheHits}
	for user, n := range e.runsByUser {
		c.Runs[user] = n
	}
	return c
}
