package gateway

import (
	"context"
	"sync"
	"time"

	"hawthornspar/core/linkqueue"
)

const (
	// uplinkPeriod is the longest time between two looks at the queue: responses that
	// are sent meanwhile put off the next turn.
	uplinkPeriod = 20 * time.Millisecond
	// uplinkMinPeriod keeps rounded times from looping without a pause.
	uplinkMinPeriod = time.Millisecond
)

// uplink is the VM's own outgoing link, with the requests that wait for it.
type uplink struct {
	mu      sync.Mutex
	queue   linkqueue.Queue
	turns   map[*linkqueue.Entry]chan bool // of the requests that wait: whether they are sent
	running bool                           // loop runs
}

// add counts bytes that are sent to a client.
func (u *uplink) add(bytes int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.queue.AddResponse(bytes, time.Now())
}

// takeBack takes back bytes that were counted for a request and not sent.
func (u *uplink) takeBack(bytes int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.queue.TakeBack(bytes, time.Now())
}

// delay returns how long bytes that are sent now wait.
func (u *uplink) delay() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.queue.Delay(time.Now())
}

// length returns the time that the link needs for all that waits for it.
func (u *uplink) length() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.queue.Length(time.Now())
}

// waiting returns the number of requests that wait.
func (u *uplink) waiting() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.queue.Waiting()
}

// arrive decides on a request. For one that waits, it returns the channel that says
// whether the request is sent, or has become too late.
func (u *uplink) arrive(r linkqueue.Request) (linkqueue.Decision, chan bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	d := u.queue.Arrive(r, time.Now())
	if d.Verdict != linkqueue.Wait {
		return d, nil
	}
	turn := make(chan bool, 1)
	if u.turns == nil {
		u.turns = map[*linkqueue.Entry]chan bool{}
	}
	u.turns[d.Entry] = turn
	if !u.running {
		u.running = true
		go u.loop()
	}
	return d, turn
}

// leave removes a request that no longer waits for its turn.
func (u *uplink) leave(e *linkqueue.Entry) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.queue.Remove(e)
	delete(u.turns, e)
}

// loop gives turns until no request waits.
func (u *uplink) loop() {
	for {
		pause, waiting := u.giveTurns(time.Now())
		if !waiting {
			return
		}
		time.Sleep(pause)
	}
}

// giveTurns ends the waits of requests that are sent now or have become too late. It
// returns the time until the next look, and whether requests wait.
func (u *uplink) giveTurns(now time.Time) (time.Duration, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, e := range u.queue.Expired(now) {
		u.endWait(e, false)
	}
	for e := u.queue.Take(now); e != nil; e = u.queue.Take(now) {
		u.endWait(e, true)
	}
	u.running = u.queue.Waiting() > 0
	return min(max(u.queue.UntilTurn(now), uplinkMinPeriod), uplinkPeriod), u.running
}

func (u *uplink) endWait(e *linkqueue.Entry, sent bool) {
	u.turns[e] <- sent
	delete(u.turns, e)
}

// awaitLink waits for the request's turn on the VM's link. It returns a refusal if the
// turn would come too late, or the request ends.
func (x *exchange) awaitLink(ctx context.Context) *refusal {
	u, bytes := &x.gateway.uplink, estimatedHeadBytes/2+len(x.body)
	deadline, crowded := x.linkDeadline()
	d, turn := u.arrive(linkqueue.Request{Rank: x.route.EffectivePriority(x.account), Bytes: bytes, Deadline: deadline})
	switch d.Verdict {
	case linkqueue.Send:
		x.linkBytes = bytes
		return nil
	case linkqueue.Refuse:
		if crowded {
			return x.refuseForLink("crowded", d.Expected, linkCongested.retryAfter)
		}
		return x.refuseForLink("refused", d.Expected, d.RetryAfter)
	}
	began := time.Now()
	select {
	case sent := <-turn:
		if !sent {
			return x.refuseForLink("expired", d.Expected, linkCongested.retryAfter)
		}
		x.linkBytes = bytes
		x.recordLinkWait("sent", d.Expected, time.Since(began))
		return nil
	case <-ctx.Done():
		u.leave(d.Entry)
		x.recordLinkWait("left", d.Expected, time.Since(began))
		refused := x.finalRefusal(stopping)
		if x.request.Context().Err() != nil {
			refused = clientDisconnected
		} else if time.Until(x.deadline) < minAttemptTime {
			refused = x.deadlineRefusal()
		}
		return &refused
	}
}

// linkDeadline returns by when the request must be served if it waits for the link, and
// whether the VM is crowded while others of its failure domain have room. It is then the
// aim of a request of which nothing was sent, as its client sends it to another VM.
func (x *exchange) linkDeadline() (time.Time, bool) {
	if x.attemptsSent > 0 || x.route.FirstTarget <= 0 || !x.gateway.state.crowded() {
		return x.deadline, false
	}
	if aim := x.arrived.Add(x.route.FirstTarget); aim.Before(x.deadline) {
		return aim, true
	}
	return x.deadline, true
}

// returnLinkBytes takes back the bytes of an attempt of which nothing was sent, so that a
// lack of endpoints does not look like a full link.
func (x *exchange) returnLinkBytes() {
	if x.linkBytes == 0 {
		return
	}
	x.gateway.uplink.takeBack(x.linkBytes)
	x.linkBytes = 0
}

// refuseForLink returns the refusal of a request whose turn on the link would come too
// late. expected is the time until its turn when it arrived.
func (x *exchange) refuseForLink(outcome string, expected, retryAfter time.Duration) *refusal {
	x.gateway.metrics.Increment("link_waits", outcome)
	x.gateway.log.Info("link refused", "id", x.info.ID, "outcome", outcome, "expectedMs", expected.Milliseconds(), "bytes", len(x.body),
		"waiting", x.gateway.uplink.waiting(), "queueMs", x.gateway.uplink.length().Milliseconds(), "retryAfterMs", retryAfter.Milliseconds())
	refused := linkCongested
	refused.retryAfter = retryAfter
	refused = x.finalRefusal(refused)
	return &refused
}

// recordLinkWait counts and logs how the wait of a request ended.
func (x *exchange) recordLinkWait(outcome string, expected, waited time.Duration) {
	x.gateway.metrics.Increment("link_waits", outcome)
	x.gateway.metrics.ObserveDuration("link_wait_seconds", outcome, waited)
	x.gateway.log.Info("link waited", "id", x.info.ID, "outcome", outcome, "ms", waited.Milliseconds(), "expectedMs", expected.Milliseconds(), "bytes", len(x.body))
}
