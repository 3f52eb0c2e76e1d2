// Package endpoint sends requests to endpoints: model engines that stream
// chat completions, and plain app services.
package endpoint

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
)

// Timeouts and bounds of attempts.
const (
	dialTimeout    = time.Second
	firstTimeout   = 60 * time.Second
	stallTimeout   = 10 * time.Second
	appTimeout     = 30 * time.Second
	resumeFor      = 2 * time.Second
	resumePause    = 100 * time.Millisecond
	maxAnswerBytes = 1 << 20
	maxEventBytes  = 1 << 20
	maxIdleConns   = 64
)

// Post takes events for the core.
type Post func(inbox.Event)

// Exchange is the request that an attempt sends, and takes its answer.
type Exchange interface {
	Request(address string) (method, url string, header http.Header, body []byte)
	Begin(attempt int)
	Frame(attempt int, data []byte, text string) bool
	Tail(attempt int, data [][]byte, promptTokens, outputTokens int64)
	Answer(attempt int, answer entity.Answer)
}

// Client runs attempts.
type Client struct {
	vm      string // incarnation, part of run names
	post    Post
	log     logr.Logger
	stream  *http.Client
	single  *http.Client
	mu      sync.Mutex
	cancels map[attemptID]context.CancelFunc
}

type attemptID struct {
	request int64
	attempt int
}

// New returns a client whose run names start with the VM's incarnation.
func New(incarnation string, post Post, log logr.Logger) *Client {
	dialer := &dialer{timeout: dialTimeout}
	return &Client{
		vm: incarnation, post: post, log: log, cancels: map[attemptID]context.CancelFunc{},
		stream: &http.Client{Transport: &http.Transport{
			DialContext: dialer.dial, MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true,
		}},
		// A connection of its own for each call: net/http silently repeats
		// requests that fail on a connection that was used before.
		single: &http.Client{Transport: &http.Transport{
			DialContext: dialer.dial, DisableKeepAlives: true, DisableCompression: true,
		}, CheckRedirect: keepRedirect},
	}
}

// keepRedirect hands redirects to the caller, as following one would run a
// call twice.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Start runs an attempt. Its end is posted as inbox.AttemptEnded.
func (c *Client) Start(a outbox.StartAttempt, x Exchange) {
	ctx, cancel := context.WithCancel(context.Background())
	id := attemptID{a.Request, a.Attempt}
	c.mu.Lock()
	c.cancels[id] = cancel
	c.mu.Unlock()
	x.Begin(a.Attempt)
	t := &attempt{client: c, start: a, exchange: x, ctx: ctx, cancel: cancel}
	go t.run()
}

// Cancel stops an attempt.
func (c *Client) Cancel(a outbox.CancelAttempt) {
	c.mu.Lock()
	cancel, ok := c.cancels[attemptID{a.Request, a.Attempt}]
	c.mu.Unlock()
	if ok {
		cancel()
	}
}

func (c *Client) forget(id attemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cancels, id)
}
