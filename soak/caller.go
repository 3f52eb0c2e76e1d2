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

const (
	// callerPause is the mean time between the requests of one caller.
	callerPause = 90 * time.Millisecond
	// leaveOneIn is the part of the requests whose callers leave early.
	leaveOneIn = 15
	// probeOneIn is the part of the requests that show which configuration is in
	// force.
	probeOneIn = 5
	// callerTimeout is how long callers wait.
	callerTimeout = 3 * time.Second
)

// caller sends requests to one VM over a kept connection.
type caller struct {
	run    *Run
	vm     *vm
	number int
	random *rand.Rand
	client *standin.Client
	done   *sync.WaitGroup
}

func (c *caller) loop(ctx context.Context) {
	defer c.done.Done()
	for i := 0; ctx.Err() == nil; i++ {
		c.send(i)
		pause := time.NewTimer(time.Duration(c.random.ExpFloat64() * float64(callerPause)))
		select {
		case <-pause.C:
		case <-ctx.Done():
		}
		pause.Stop()
	}
}

func (c *caller) send(i int) {
	a := c.attempt(i)
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	leaves := c.random.IntN(leaveOneIn) == 0 && !strings.HasPrefix(a.Target, standin.OrderPrefix)
	if leaves {
		patience := time.Duration(c.random.IntN(60)) * time.Millisecond
		var leave context.CancelFunc
		ctx, leave = context.WithTimeout(ctx, patience)
		defer leave()
	}
	a.Sent = time.Now()
	got := c.client.Send(ctx, standin.Ask{
		ID: a.ID, Target: a.Target, Key: c.run.keyOf(a.Account), Body: a.Body, Prompt: a.Prompt, Output: a.Output, Timeout: callerTimeout,
	})
	a.Ended = time.Now()
	if ctx.Err() != nil && !got.Whole {
		a.Left = a.Ended
	}
	a.Status, a.AnswerID, a.Seal, a.Text, a.Whole = got.Status, got.ID, got.Seal, got.Text, got.Whole
	c.run.record(a)
}

// attempt draws a request.
func (c *caller) attempt(i int) Attempt {
	accounts := c.run.accounts()
	a := Attempt{ID: fmt.Sprintf("c%d-%d", c.number, i), VM: c.vm.name, Account: accounts[c.random.IntN(len(accounts))].Name}
	a.Body = strings.Repeat("x", c.random.IntN(4000))
	switch n := c.random.IntN(10); {
	case c.random.IntN(probeOneIn) == 0:
		a.Target = standin.MarkerPrefix(c.run.someMarker(c.random))
	case n < 3:
		a.Target, a.Prompt, a.Output = standin.StreamPrefix, 100+c.random.Int64N(900), 25
	case n < 5:
		a.Target, a.Prompt, a.Output = standin.ResumePrefix, 100+c.random.Int64N(900), 25
	case n < 8:
		a.Target = standin.OrderPrefix
	default:
		a.Target = standin.LookPrefix
	}
	return a
}
