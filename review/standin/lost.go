package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// recovery is RecoveryS.
	recovery = 12 * time.Second
	// prepaid is the tenant's Prepaid. The whole case needs less than two thirds of it.
	prepaid = 800_000
	// lostMachines is how many machines there are, all of which are lost at once.
	lostMachines = 8
)

// callers sends streams at a steady rate, and counts what is served.
type callers struct {
	run    *caseRun
	vms    atomic.Pointer[[]*vm]
	mu     sync.Mutex
	calls  []call
	tokens int // input once a request, and output that was delivered
	done   sync.WaitGroup
}

// call is one request of a client, with its retry.
type call struct {
	sent   time.Time
	served bool
	status int // of the last attempt
}

const (
	callPeriod   = 40 * time.Millisecond
	callEvents   = 10
	inputTokens  = 400
	outputTokens = 50 // delivered; the request states at most 80
)

func (c *callers) loop(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			c.done.Wait()
			return
		case <-time.After(callPeriod):
		}
		c.done.Add(1)
		go c.one(n)
	}
}

// one sends a request, and once more if it was refused, as the site's clients do.
func (c *callers) one(n int) {
	defer c.done.Done()
	vms := *c.vms.Load()
	result := call{sent: time.Now()}
	for attempt := range 2 {
		id := fmt.Sprintf("c%05d-%d", n, attempt)
		v := vms[(n+attempt)%len(vms)]
		a := send(v, request{id: id, path: path + "2f", body: "prompt " + id, prefix: prefix("a"+id, fmt.Sprintf("b%d", n%40)), tokens: "400,80", timeout: 6 * time.Second})
		c.run.record.line("client sends %s to %s and gets %d, complete %t", id, v.name, a.status, a.complete)
		result.status = a.status
		result.served = a.status == http.StatusOK && a.complete && a.body == complete(id, callEvents)
		if a.status == http.StatusOK {
			c.mu.Lock()
			c.tokens += inputTokens + outputTokens
			c.mu.Unlock()
		}
		if a.status != http.StatusTooManyRequests && a.status != http.StatusServiceUnavailable && a.status != 0 {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, result)
}

// share returns how many calls were sent in a time, how many of them were served, and
// how the others ended.
func (c *callers) share(from, to time.Time) (sent, served int, statuses map[int]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	statuses = map[int]int{}
	for _, each := range c.calls {
		if each.sent.Before(from) || each.sent.After(to) {
			continue
		}
		sent++
		if each.served {
			served++
		}
		statuses[each.status]++
	}
	return sent, served, statuses
}

// playLost: all machines are removed for good, without SIGTERM, and as many others are
// added at new addresses.
func playLost(c *caseRun) (int, error) {
	settings := runnerSettings{
		service: service, slots: 16, queue: 4, prefill: 100 * time.Millisecond, events: callEvents, pause: 30 * time.Millisecond,
		fatal: func(*http.Request, string) fatal { return harmless },
	}
	config := configuration(2, settings.slots)
	config["Tenants"] = []any{map[string]any{"Name": tenant, "ApiKeys": []string{apiKey}, "Prepaid": prepaid}}
	if !c.store.put("op", "config", config) {
		return cannotRun, fmt.Errorf("no configuration")
	}
	if err := c.startRunners(4, settings); err != nil {
		return cannotRun, err
	}
	all, err := newVMs(2*lostMachines, c.dir, c.store.address)
	if err != nil {
		return cannotRun, err
	}
	c.vms = all
	first, others := all[:lostMachines], all[lostMachines:]
	if err := c.startAll(first); err != nil {
		return cannotRun, err
	}
	time.Sleep(stableWindow)
	callers, stop := &callers{run: c}, make(chan struct{})
	callers.vms.Store(&first)
	begin := time.Now()
	stopped := make(chan struct{})
	go func() { callers.loop(stop); close(stopped) }()
	time.Sleep(10 * time.Second)
	fault := time.Now()
	if c.trouble {
		for _, v := range first {
			_ = v.command.Process.Kill()
		}
		c.record.line("all %d machines are lost; %d others are added", lostMachines, lostMachines)
		if err := c.startAll(others); err != nil {
			return cannotRun, err
		}
		callers.vms.Store(&others)
	}
	back := time.Now()
	c.record.line("the machines are back after %v", back.Sub(fault))
	time.Sleep(recovery + 20*time.Second)
	end := time.Now()
	close(stop)
	<-stopped
	sentBefore, servedBefore, _ := callers.share(begin, fault)
	sent, served, statuses := callers.share(back.Add(recovery), end)
	verdict, code := "holds", held
	if 4*servedBefore >= sentBefore && 4*served < sent {
		verdict, code = "is broken", broken
	}
	text := fmt.Sprintf("before the loss %d of %d requests were served; later than %v after the machines were back %d of %d (by last status %v); the tenant has used at most %d of %d tokens: the rule %s",
		servedBefore, sentBefore, recovery, served, sent, statuses, callers.tokens, prepaid, verdict)
	c.record.line("%s", text)
	fmt.Println(text)
	return code, nil
}

// startAll starts machines and waits until they are ready.
func (c *caseRun) startAll(vms []*vm) error {
	for _, v := range vms {
		if err := v.start(c.dir); err != nil {
			return err
		}
		c.record.line("machine %s starts at %s", v.name, v.listen)
	}
	for _, v := range vms {
		if err := v.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}
