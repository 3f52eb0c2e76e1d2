// Package load is a load generator. It sends streamed chat completions or orders,
// either at a fixed rate or with a fixed number of concurrent requests, and
// measures the time to the first token and between tokens.
package load

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"hawthornspar/timer"
)

// Path is a way to reach the service under test, such as directly or through a
// VM.
type Path struct {
	Name   string
	URL    string // base URL of chat completions, or the complete URL of orders
	Secret string // of the client account
}

// Options configure a load test.
type Options struct {
	Paths        []Path
	Rate         float64 // requests a second to each of Paths
	Duration     time.Duration
	OutputTokens int  // tokens requested of a chat completion
	Concurrency  int  // if above 0, the number of concurrent requests to the first of Paths, instead of Rate
	Orders       bool // sends orders instead of chat completions; each URL is that of /orders
}

// Result holds the outcomes and latencies of the requests to one path.
type Result struct {
	Path        Path
	Sent        int
	Failed      int                     // without a complete response of status 200
	FirstToken  *hdrhistogram.Histogram // microseconds to the first token, or to the end of an order's response
	InterToken  *hdrhistogram.Histogram // microseconds between tokens
	EndOfStream *hdrhistogram.Histogram // microseconds from the last token to the end of the response
	mu          sync.Mutex
}

// maxLatencyMicros is the longest latency that the histograms record.
const maxLatencyMicros = 60_000_000

// newResult returns an empty result whose histograms keep 3 significant digits.
func newResult(p Path) *Result {
	return &Result{Path: p, FirstToken: hdrhistogram.New(1, maxLatencyMicros, 3), InterToken: hdrhistogram.New(1, maxLatencyMicros, 3), EndOfStream: hdrhistogram.New(1, maxLatencyMicros, 3)}
}

// Generator sends the requests of a load test.
type Generator struct {
	options  Options
	clock    timer.Clock
	client   *http.Client
	inFlight sync.WaitGroup // requests sent at a fixed rate, or running workers
}

// New returns a load generator.
func New(options Options, clock timer.Clock) *Generator {
	return &Generator{options: options, clock: clock, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 256},
	}}
}

// Run sends requests for the duration, waits for all responses and returns the
// results for each path.
func (g *Generator) Run(ctx context.Context) []*Result {
	var results []*Result
	for _, p := range g.options.Paths {
		results = append(results, newResult(p))
	}
	if g.options.Concurrency > 0 {
		g.startWorkers(ctx, results[0])
	} else {
		g.sendAtRate(ctx, results)
	}
	g.inFlight.Wait()
	return results
}

// sendAtRate sends a request to every path at each tick, however many are in
// flight (open loop).
func (g *Generator) sendAtRate(ctx context.Context, results []*Result) {
	end := g.clock.Now().Add(g.options.Duration)
	ticks := g.clock.NewTicker(time.Duration(float64(time.Second) / g.options.Rate))
	defer ticks.Stop()
	for i := 0; g.clock.Now().Before(end) && ctx.Err() == nil; i++ {
		<-ticks.C
		for _, r := range results {
			g.inFlight.Add(1)
			c := &call{generator: g, ctx: ctx, result: r, index: i}
			go c.run()
		}
	}
}

// startWorkers starts the workers that keep a fixed number of requests in flight
// (closed loop).
func (g *Generator) startWorkers(ctx context.Context, r *Result) {
	end := g.clock.Now().Add(g.options.Duration)
	for i := range g.options.Concurrency {
		g.inFlight.Add(1)
		w := &worker{generator: g, ctx: ctx, result: r, index: i, end: end}
		go w.run()
	}
}

// worker sends requests one after the other.
type worker struct {
	generator *Generator
	ctx       context.Context
	result    *Result
	index     int // of its first request; the indexes of its requests are Options.Concurrency apart
	end       time.Time
}

func (w *worker) run() {
	defer w.generator.inFlight.Done()
	for i := w.index; w.generator.clock.Now().Before(w.end); i += w.generator.options.Concurrency {
		c := &call{generator: w.generator, ctx: w.ctx, result: w.result, index: i}
		c.result.record(c.send())
	}
}

// call is one request.
type call struct {
	generator *Generator
	ctx       context.Context
	result    *Result
	index     int // makes the prompt or order reference unique on its path
}

func (c *call) run() {
	defer c.generator.inFlight.Done()
	c.result.record(c.send())
}

// arrivals are the times from the sending of a request to the arrival of each
// token, and lastly to the end of the response. An order has only the end.
type arrivals []time.Duration

// record adds the outcome of a request.
func (r *Result) record(t arrivals, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Sent++
	if err != nil || len(t) == 0 {
		r.Failed++
		return
	}
	r.FirstToken.RecordValue(t[0].Microseconds())
	tokens := len(t) - 1
	for i := 1; i < tokens; i++ {
		r.InterToken.RecordValue(max((t[i] - t[i-1]).Microseconds(), 1))
	}
	if tokens > 0 {
		r.EndOfStream.RecordValue(max((t[tokens] - t[tokens-1]).Microseconds(), 1))
	}
}

// StatusError reports a response whose status is not 200. An interrupted stream
// counts as status 502.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return http.StatusText(e.Status) }

// send sends the request, reads its response and returns the arrivals.
func (c *call) send() (arrivals, error) {
	if c.generator.options.Orders {
		return c.sendOrder()
	}
	body := fmt.Sprintf(`{"model":"small","max_tokens":%d,"stream":true,"messages":[{"role":"user","content":"answer:%d %s %d"}]}`,
		c.generator.options.OutputTokens, c.generator.options.OutputTokens, c.result.Path.Name, c.index)
	start := c.generator.clock.Now()
	response, err := c.post("/v1/chat/completions", body, "")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var t arrivals
	scanner := bufio.NewScanner(response.Body)
	complete := false
	for scanner.Scan() {
		if bytes.Contains(scanner.Bytes(), []byte(`"content"`)) {
			t = append(t, c.generator.clock.Now().Sub(start))
		}
		complete = complete || bytes.Equal(scanner.Bytes(), []byte("data: [DONE]"))
	}
	if !complete {
		return nil, &StatusError{Status: http.StatusBadGateway}
	}
	return append(t, c.generator.clock.Now().Sub(start)), nil
}

// post sends a body, with an idempotency key unless that is empty, and returns
// the response if its status is 200.
func (c *call) post(path, body, idempotencyKey string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(c.ctx, http.MethodPost, c.result.Path.URL+path, strings.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	r.Header.Set("Authorization", "Bearer "+c.result.Path.Secret)
	if idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", idempotencyKey)
	}
	response, err := c.generator.client.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "send")
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, &StatusError{Status: response.StatusCode}
	}
	return response, nil
}

// sendOrder sends an order whose unique reference is also its idempotency key.
func (c *call) sendOrder() (arrivals, error) {
	ref := fmt.Sprintf("%s-%d-%d", c.result.Path.Name, c.generator.clock.Now().UnixNano(), c.index)
	start := c.generator.clock.Now()
	response, err := c.post("", `{"ref":"`+ref+`","item":"strainer"}`, ref)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return arrivals{c.generator.clock.Now().Sub(start)}, errors.Wrap(err, "answer")
}

// PercentileMillis returns a percentile, from 0 to 100, of a histogram of
// microseconds, converted to milliseconds.
func PercentileMillis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}
