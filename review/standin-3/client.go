package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// tokensPerEvent is the Stride of the engines in the configuration.
const tokensPerEvent = 5

// request is what a client sends.
type request struct {
	id, path, key  string
	method, body   string
	prompt, output int // tokens; 0 for an app service
	deadline       time.Duration
}

// answer is what a client got.
type answer struct {
	id, vm     string
	path       string
	status     int // 0 for none
	events     int
	complete   bool
	seal       string
	code       string
	retryAfter string
	sent       time.Time
	ended      time.Time
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastID.Add(1)) }

// send sends a request to a machine over a new connection.
func send(rec *recorder, v *vm, q request) answer {
	a := answer{id: q.id, vm: v.name, path: q.path, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	method := q.method
	if method == "" {
		method = http.MethodPost
	}
	body := q.body
	if body == "" && method == http.MethodPost {
		body = "body of " + q.id
	}
	r, _ := http.NewRequestWithContext(ctx, method, "http://"+v.listen+q.path, strings.NewReader(body))
	r.Host = host
	r.Header.Set("X-Attempt-Id", q.id)
	r.Header.Set("X-Api-Key", q.key)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	if q.output > 0 {
		r.Header.Set("X-Model", "m")
		r.Header.Set("X-Token-Counts", fmt.Sprintf("%d,%d", q.prompt, q.output))
		r.Header.Set("X-Prefix-Hash", fmt.Sprintf("5c1e07a2:100,%s:%d", q.id, q.prompt-100))
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport}).Do(r)
	if err == nil {
		defer response.Body.Close()
		a.status, a.seal, a.retryAfter = response.StatusCode, response.Header.Get("X-Response-Seal"), response.Header.Get("Retry-After")
		lines := bufio.NewScanner(response.Body)
		for lines.Scan() {
			if strings.HasPrefix(lines.Text(), "data:") {
				a.events++
			}
			if a.status != http.StatusOK {
				a.code += lines.Text()
			}
		}
		err = lines.Err()
		a.complete = err == nil
	}
	a.ended = time.Now()
	rec.note("answer id=%s vm=%s path=%s status=%d events=%d complete=%v retryAfter=%q code=%q error=%v ms=%d", a.id, a.vm, a.path, a.status, a.events, a.complete, a.retryAfter, a.code, err, a.ended.Sub(a.sent).Milliseconds())
	return a
}

// load sends requests at a steady rate.
type load struct {
	rec     *recorder
	mu      sync.Mutex
	answers []answer
	wait    sync.WaitGroup
	stopped atomic.Bool
}

// run sends requests to a machine, one each period, until the load is stopped.
func (l *load) run(v *vm, period time.Duration, next func() request) {
	l.wait.Add(1)
	go func() {
		defer l.wait.Done()
		for t := time.NewTicker(period); !l.stopped.Load(); <-t.C {
			l.wait.Add(1)
			go func() {
				defer l.wait.Done()
				a := send(l.rec, v, next())
				l.mu.Lock()
				defer l.mu.Unlock()
				l.answers = append(l.answers, a)
			}()
		}
	}()
}

// stop ends the load and returns all answers.
func (l *load) stop() []answer {
	l.stopped.Store(true)
	l.wait.Wait()
	return l.answers
}

// all returns the answers so far.
func (l *load) all() []answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]answer(nil), l.answers...)
}
