// Package load sends streamed chat completions at a steady rate and measures
// the time to the first token and between tokens.
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

// Path is one way to an engine.
type Path struct {
	Name   string
	URL    string
	Secret string
}

// Options shape a run.
type Options struct {
	Paths    []Path // requests go to them in turn
	Rate     float64
	Duration time.Duration
	Answer   int  // tokens
	Closed   int  // when above 0, so many requests at a time instead of Rate
	Orders   bool // orders instead of chat completions; URL is that of /orders
}

// Measure is what one path took.
type Measure struct {
	Path   Path
	Sent   int
	Failed int
	First  *hdrhistogram.Histogram // microseconds to the first token
	Gap    *hdrhistogram.Histogram // microseconds between tokens
	Last   *hdrhistogram.Histogram // microseconds from the last token to the end marker
	mu     sync.Mutex
}

// maxMicros is the longest time that is told apart.
const maxMicros = 60_000_000

func newMeasure(p Path) *Measure {
	return &Measure{Path: p, First: hdrhistogram.New(1, maxMicros, 3), Gap: hdrhistogram.New(1, maxMicros, 3), Last: hdrhistogram.New(1, maxMicros, 3)}
}

// Load sends requests.
type Load struct {
	options Options
	clock   timer.Service
	client  *http.Client
	open    sync.WaitGroup
}

// New returns a load for options.
func New(options Options, clock timer.Service) *Load {
	return &Load{options: options, clock: clock, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 256},
	}}
}

// Run sends for the duration, waits for all answers and returns the measures.
func (l *Load) Run(ctx context.Context) []*Measure {
	var measures []*Measure
	for _, p := range l.options.Paths {
		measures = append(measures, newMeasure(p))
	}
	if l.options.Closed > 0 {
		l.closed(ctx, measures[0])
	} else {
		l.steady(ctx, measures)
	}
	l.open.Wait()
	return measures
}

func (l *Load) steady(ctx context.Context, measures []*Measure) {
	end := l.clock.Now().Add(l.options.Duration)
	ticks := l.clock.Subscribe(time.Duration(float64(time.Second) / l.options.Rate))
	defer ticks.Stop()
	for i := 0; l.clock.Now().Before(end) && ctx.Err() == nil; i++ {
		<-ticks.C
		for _, m := range measures {
			l.open.Add(1)
			c := &call{load: l, ctx: ctx, measure: m, number: i}
			go c.run()
		}
	}
}

func (l *Load) closed(ctx context.Context, m *Measure) {
	end := l.clock.Now().Add(l.options.Duration)
	for i := range l.options.Closed {
		l.open.Add(1)
		k := &worker{load: l, ctx: ctx, measure: m, number: i, end: end}
		go k.run()
	}
}

// worker sends one request after the other.
type worker struct {
	load    *Load
	ctx     context.Context
	measure *Measure
	number  int
	end     time.Time
}

func (k *worker) run() {
	defer k.load.open.Done()
	for i := k.number; k.load.clock.Now().Before(k.end); i += k.load.options.Closed {
		c := &call{load: k.load, ctx: k.ctx, measure: k.measure, number: i}
		c.measure.took(c.send())
	}
}

// call is one request.
type call struct {
	load    *Load
	ctx     context.Context
	measure *Measure
	number  int
}

func (c *call) run() {
	defer c.load.open.Done()
	c.measure.took(c.send())
}

// times are when the tokens of one answer and then its end arrived, after
// sending. An order has its end alone.
type times []time.Duration

func (m *Measure) took(t times, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Sent++
	if err != nil || len(t) == 0 {
		m.Failed++
		return
	}
	m.First.RecordValue(t[0].Microseconds())
	tokens := len(t) - 1
	for i := 1; i < tokens; i++ {
		m.Gap.RecordValue(max((t[i] - t[i-1]).Microseconds(), 1))
	}
	if tokens > 0 {
		m.Last.RecordValue(max((t[tokens] - t[tokens-1]).Microseconds(), 1))
	}
}

// StatusError says that a request was refused.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return http.StatusText(e.Status) }

func (c *call) send() (times, error) {
	if c.load.options.Orders {
		return c.order()
	}
	body := fmt.Sprintf(`{"model":"small","max_tokens":%d,"stream":true,"messages":[{"role":"user","content":"answer:%d %s %d"}]}`,
		c.load.options.Answer, c.load.options.Answer, c.measure.Path.Name, c.number)
	start := c.load.clock.Now()
	response, err := c.post("/v1/chat/completions", body, "")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var t times
	lines := bufio.NewScanner(response.Body)
	whole := false
	for lines.Scan() {
		if bytes.Contains(lines.Bytes(), []byte(`"content"`)) {
			t = append(t, c.load.clock.Now().Sub(start))
		}
		whole = whole || bytes.Equal(lines.Bytes(), []byte("data: [DONE]"))
	}
	if !whole {
		return nil, &StatusError{Status: http.StatusBadGateway}
	}
	return append(t, c.load.clock.Now().Sub(start)), nil
}

// post sends a body to the call's path, and returns an answer with status 200.
func (c *call) post(path, body, key string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(c.ctx, http.MethodPost, c.measure.Path.URL+path, strings.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	r.Header.Set("Authorization", "Bearer "+c.measure.Path.Secret)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	response, err := c.load.client.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "send")
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, &StatusError{Status: response.StatusCode}
	}
	return response, nil
}

// order sends an order under a key of its own.
func (c *call) order() (times, error) {
	ref := fmt.Sprintf("%s-%d-%d", c.measure.Path.Name, c.load.clock.Now().UnixNano(), c.number)
	start := c.load.clock.Now()
	response, err := c.post("", `{"ref":"`+ref+`","item":"strainer"}`, ref)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return times{c.load.clock.Now().Sub(start)}, errors.Wrap(err, "answer")
}

// Millis returns a quantile of a histogram in milliseconds.
func Millis(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}
