// Package endpoint sends requests to endpoints: model engines that stream
// chat completions, and plain app services.
package endpoint

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/io/http1"
)

// Timeouts and limits of attempts.
const (
	dialTimeout       = time.Second
	firstEventTimeout = 60 * time.Second // until a stream's first event
	nextEventTimeout  = 10 * time.Second // between two events of a stream
	appTimeout        = 30 * time.Second
	resumeTimeout     = 2 * time.Second        // for resuming an interrupted stream
	resumeInterval    = 100 * time.Millisecond // between two requests to resume
	maxResponseBytes  = 1 << 20                // of an app service
	maxEventBytes     = 1 << 20
	maxFinalEvents    = 16 // events without text at the end of a stream: the reason and the usage
	maxHeadBytes      = 64 << 10
)

// Post queues an event for the core.
type Post func(inbox.Event)

// Exchange provides the request that an attempt sends and receives the response.
// Each method but Request gets the attempt's number, so that an implementation
// can ignore late calls of earlier attempts.
type Exchange interface {
	// Request returns the HTTP request for the endpoint at the given address.
	Request(address string) (method, url string, header http.Header, body []byte)
	// BeginAttempt starts a new attempt.
	BeginAttempt(attempt int)
	// AddEvent appends an event and its text to the response. It returns false if
	// the event is no longer accepted.
	AddEvent(attempt int, data []byte, text string) bool
	// SetFinalEvents sets the events without text that end a stream, and the token
	// usage.
	SetFinalEvents(attempt int, data [][]byte, promptTokens, outputTokens int64)
	// SetResponse sets the complete response of an app service.
	SetResponse(attempt int, response entity.AppResponse)
}

// Client runs attempts at endpoints.
type Client struct {
	incarnation string // first part of run IDs
	post        Post
	log         logr.Logger
	modelClient *http.Client
	appClient   *http.Client
	mu          sync.Mutex
	cancelFuncs map[attemptID]context.CancelFunc
}

// attemptID identifies an attempt on this VM.
type attemptID struct {
	request int64
	attempt int
}

// New returns a client whose run IDs start with the VM's incarnation.
func New(incarnation string, post Post, log logr.Logger) *Client {
	// Each request gets its own connection. On a reused one, net/http silently repeats
	// some requests that fail, which would run a call twice, and a late second copy of
	// an earlier response would count as the response.
	transport := &http.Transport{DialContext: http1.ReportingDial(&net.Dialer{Timeout: dialTimeout}), DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes}
	checked := &http1.CheckedTransport{Base: transport}
	return &Client{
		incarnation: incarnation, post: post, log: log, cancelFuncs: map[attemptID]context.CancelFunc{},
		modelClient: &http.Client{Transport: checked},
		appClient:   &http.Client{Transport: checked, CheckRedirect: returnRedirect},
	}
}

// returnRedirect makes the HTTP client return a redirect instead of following it,
// which would run a call twice.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Start starts an attempt. When it ends, inbox.AttemptEnded is posted.
func (c *Client) Start(command outbox.StartAttempt, x Exchange) {
	ctx, cancel := context.WithCancel(context.Background())
	id := attemptID{command.Request, command.Attempt}
	c.mu.Lock()
	c.cancelFuncs[id] = cancel
	c.mu.Unlock()
	x.BeginAttempt(command.Attempt)
	a := &attempt{client: c, command: command, exchange: x, ctx: ctx, cancel: cancel}
	go a.run()
}

// Cancel cancels an attempt, if it is still running.
func (c *Client) Cancel(command outbox.CancelAttempt) {
	c.mu.Lock()
	cancel, ok := c.cancelFuncs[attemptID{command.Request, command.Attempt}]
	c.mu.Unlock()
	if ok {
		cancel()
	}
}

// removeCancel removes the cancel function of an attempt that ended.
func (c *Client) removeCancel(id attemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cancelFuncs, id)
}
