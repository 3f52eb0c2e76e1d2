package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"hawthornspar/platform/standin"
)

// Load that one caller generates.
const (
	// meanPause is the mean of the exponentially distributed pauses between the
	// requests of one caller.
	meanPause = 90 * time.Millisecond
	// disconnectOneIn sets the share of requests whose callers disconnect early.
	disconnectOneIn = 15
	// probeOneIn sets the share of requests that go to a marker route, and so show
	// which configuration is in force.
	probeOneIn = 5
	// maxOrderAttempts bounds the attempts of one request that may run only once.
	maxOrderAttempts = 4
	// requestTimeout is how long callers wait for the end of a response.
	requestTimeout = 3 * time.Second
)

// caller sends requests to one VM over a persistent connection.
type caller struct {
	harness *Harness
	vm      *vm
	number  int // unique among the callers
	random  *rand.Rand
	client  *standin.Client
	done    *sync.WaitGroup
}

func (c *caller) loop(ctx context.Context) {
	defer c.done.Done()
	for i := 0; ctx.Err() == nil; i++ {
		c.send(i)
		pause := time.NewTimer(time.Duration(c.random.ExpFloat64() * float64(meanPause)))
		select {
		case <-pause.C:
		case <-ctx.Done():
		}
		pause.Stop()
	}
}

func (c *caller) send(i int) {
	q := c.randomRequest(i)
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	disconnects := c.random.IntN(disconnectOneIn) == 0 && !strings.HasPrefix(q.Target, standin.OrderPrefix)
	if disconnects {
		disconnectAfter := time.Duration(c.random.IntN(60)) * time.Millisecond
		var disconnect context.CancelFunc
		ctx, disconnect = context.WithTimeout(ctx, disconnectAfter)
		defer disconnect()
	}
	if !repeatable(q.Target) {
		q.Order = q.ID
	}
	c.exchange(ctx, &q)
	c.harness.record(q)
	for attempt := 1; attempt < maxOrderAttempts && !disconnects && q.unread(); attempt++ {
		q = c.sendAgain(q, attempt)
	}
}

// sendAgain sends an order that has not run, as far as its caller knows, at another VM.
func (c *caller) sendAgain(q Request, attempt int) Request {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	vms := c.harness.vms
	v := vms[(c.number+attempt)%len(vms)]
	next := Request{
		ID: fmt.Sprintf("%s.%d", q.Order, attempt), Order: q.Order, VM: v.name, Account: q.Account, Target: q.Target, Body: q.Body,
		PromptTokens: q.PromptTokens, MaxOutputTokens: q.MaxOutputTokens, Parts: q.Parts,
	}
	other := &caller{harness: c.harness, vm: v, client: standin.NewClient(v.listen)}
	other.exchange(ctx, &next)
	c.harness.record(next)
	return next
}

// exchange sends a request and fills in the response.
func (c *caller) exchange(ctx context.Context, q *Request) {
	q.Sent = time.Now()
	response := c.client.Send(ctx, standin.ClientRequest{
		ID: q.ID, Target: q.Target, APIKey: c.harness.apiKey(q.Account), Body: q.Body, PromptTokens: q.PromptTokens, MaxOutputTokens: q.MaxOutputTokens, Parts: q.Parts, Timeout: requestTimeout,
	})
	q.Ended = time.Now()
	if ctx.Err() != nil && !response.Complete {
		q.Disconnected = q.Ended
	}
	q.Reset = response.Reset
	q.Status, q.ResponseID, q.Seal, q.ResponseBody, q.Complete = response.Status, response.ID, response.Seal, response.Body, response.Complete
}

// randomRequest returns the caller's i-th request, with a random account, body
// and route.
func (c *caller) randomRequest(i int) Request {
	accounts := c.harness.accounts()
	q := Request{ID: fmt.Sprintf("c%d-%d", c.number, i), VM: c.vm.name, Account: accounts[c.random.IntN(len(accounts))].Name}
	q.Body = strings.Repeat("x", c.random.IntN(4000))
	switch n := c.random.IntN(10); {
	case c.random.IntN(probeOneIn) == 0:
		q.Target = standin.MarkerPrefix(c.harness.randomMarker(c.random))
	case n < 3:
		q.Target, q.PromptTokens, q.MaxOutputTokens = standin.StreamPrefix, 100+c.random.Int64N(900), 25
	case n < 5:
		q.Target, q.PromptTokens, q.MaxOutputTokens = standin.ResumePrefix, 100+c.random.Int64N(900), 25
	case n < 8:
		q.Target = standin.OrderPrefix
	default:
		q.Target = standin.LookPrefix
	}
	if q.PromptTokens > 0 && c.harness.options.Seed >= firstPartSeed {
		q.Parts = soundParts(q.Account, q.ID, c.random.IntN(documents))
	}
	return q
}

// documents is the number of documents that the prompts of an account share.
const documents = 6

// soundParts returns the parts of a prompt: the first is common to the account, and the
// last belongs to the request alone.
func soundParts(account, id string, document int) []string {
	return []string{"first-" + account, fmt.Sprintf("document-%s-%d", account, document), "own-" + id}
}
