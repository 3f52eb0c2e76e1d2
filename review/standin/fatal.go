package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// load sends sound requests and, with trouble, fatal ones.
type load struct {
	run         *caseRun
	sound       func(n int) request
	fatal       func(n int) request
	soundPeriod time.Duration
	fatalPeriod time.Duration
	fatalDelay  time.Duration // until the first fatal request
	mu          sync.Mutex
	fatalSent   map[string]time.Time
	outcomes    map[string]int
	pending     sync.WaitGroup
}

func (l *load) play(d time.Duration) {
	l.fatalSent, l.outcomes = map[string]time.Time{}, map[string]int{}
	end := time.Now().Add(d)
	l.pending.Add(2)
	go l.loop("sound", l.sound, l.soundPeriod, end)
	go l.loop("fatal", l.fatal, l.fatalPeriod, end)
	l.pending.Wait()
}

func (l *load) loop(kind string, next func(int) request, period time.Duration, end time.Time) {
	defer l.pending.Done()
	if kind == "fatal" {
		if !l.run.trouble {
			return
		}
		time.Sleep(l.fatalDelay)
	}
	for n := 0; time.Now().Before(end); n++ {
		l.pending.Add(1)
		go l.one(kind, l.run.vms[n%len(l.run.vms)], next(n))
		time.Sleep(period)
	}
}

func (l *load) one(kind string, v *vm, q request) {
	defer l.pending.Done()
	l.mu.Lock()
	if kind == "fatal" {
		l.fatalSent[q.id] = time.Now()
	}
	l.mu.Unlock()
	l.run.record.line("client sends %s request %s to %s", kind, q.id, v.name)
	a := send(v, q)
	outcome := fmt.Sprintf("%d", a.status)
	if !a.complete {
		outcome += " cut"
	}
	l.run.record.line("client gets %s for %s", outcome, q.id)
	l.mu.Lock()
	l.outcomes[kind+" "+outcome]++
	l.mu.Unlock()
}

// judge applies the rule: at most three fatal requests may reach runners that were sent
// later than StableWindowMs after the crash with the given number.
func (l *load) judge(crashes int, tolerated int) int {
	rec := l.run.record
	rec.line("clients' outcomes: %v", l.outcomes)
	fmt.Println("clients' outcomes:", l.outcomes)
	if len(rec.crashes) < crashes {
		rec.line("%d crashes: the rule holds", len(rec.crashes))
		fmt.Printf("%d crashes: the rule holds\n", len(rec.crashes))
		return held
	}
	late := rec.fatalArrivalsAfter(l.fatalSent, rec.crashes[crashes-1].Add(stableWindow))
	verdict, code := "holds", held
	if late > tolerated {
		verdict, code = "is broken", broken
	}
	text := fmt.Sprintf("%d crashes; %d fatal requests that were sent later than %v after crash %d reached runners, %d allowed: the rule %s",
		len(rec.crashes), late, stableWindow, crashes, tolerated, verdict)
	rec.line("%s", text)
	fmt.Println(text)
	return code
}

// startRunners starts runners of the one service.
func (c *caseRun) startRunners(count int, s runnerSettings) error {
	for i := range count {
		if _, err := newRunner(fmt.Sprintf("i-%d", i), loopback(100+i), s, c.store, c.record); err != nil {
			return err
		}
	}
	return nil
}

// prefix returns the header with the parts of a prompt; own is its own last part.
func prefix(own string, parts ...string) string {
	list := ""
	for _, p := range parts {
		list += p + ":300,"
	}
	return list + own + ":100"
}

// hotTenant is how many times its usual the tenant sends; the site file has up to 7.5.
const hotTenant = 7

// playPaused: runners that are full turn requests away with Retry-After, while one
// request crashes each runner that begins to run it.
func playPaused(c *caseRun) (int, error) {
	const fatalBody = "the request that crashes runners"
	retryAfter := "2"
	if os.Getenv("PAUSE") == "0" { // to show what the fault depends on
		retryAfter = ""
	}
	settings := runnerSettings{
		service: service, slots: 4, queue: 2, prefill: 400 * time.Millisecond, events: 10, pause: 60 * time.Millisecond,
		retryAfter: retryAfter, downtime: 2 * time.Second,
		fatal: func(_ *http.Request, body string) fatal {
			if body == fatalBody {
				return atBegin
			}
			return harmless
		},
	}
	if !c.store.put("op", "config", configuration(2, settings.slots)) {
		return cannotRun, fmt.Errorf("no configuration")
	}
	if err := c.startRunners(6, settings); err != nil {
		return cannotRun, err
	}
	if err := c.startVMs(3); err != nil {
		return cannotRun, err
	}
	soundPeriod := 40 * time.Millisecond
	if c.trouble {
		soundPeriod /= hotTenant
	}
	l := &load{
		run: c, soundPeriod: soundPeriod, fatalPeriod: 150 * time.Millisecond, fatalDelay: 5 * time.Second,
		sound: func(n int) request {
			id := fmt.Sprintf("s%06d", n)
			return request{id: id, path: path + "2f", body: "prompt " + id, prefix: prefix("a"+id, fmt.Sprintf("b%d", n%40)), tokens: "400,80", timeout: 6 * time.Second}
		},
		fatal: func(n int) request {
			return request{id: fmt.Sprintf("f%06d", n), path: path + "2f", body: fatalBody, prefix: prefix("f00d", "b1"), tokens: "400,80", timeout: 6 * time.Second}
		},
	}
	l.play(40 * time.Second)
	return l.judge(3, 3), nil
}

// playBegun: a part of prompts crashes each runner when it has begun to write an answer.
func playBegun(c *caseRun) (int, error) {
	const part = "dead"
	settings := runnerSettings{
		service: service, slots: 16, queue: 4, prefill: 100 * time.Millisecond, events: 10, pause: 30 * time.Millisecond, downtime: 2 * time.Second,
		fatal: func(r *http.Request, _ string) fatal {
			if !strings.Contains(r.Header.Get("X-Prefix-Hash"), part+":") {
				return harmless
			}
			if os.Getenv("BEGUN") == "0" { // to show what the fault depends on
				return atBegin
			}
			return afterBegun
		},
	}
	if !c.store.put("op", "config", configuration(2, settings.slots)) {
		return cannotRun, fmt.Errorf("no configuration")
	}
	if err := c.startRunners(6, settings); err != nil {
		return cannotRun, err
	}
	if err := c.startVMs(3); err != nil {
		return cannotRun, err
	}
	l := &load{
		run: c, soundPeriod: 40 * time.Millisecond, fatalPeriod: 400 * time.Millisecond,
		sound: func(n int) request {
			id := fmt.Sprintf("s%06d", n)
			return request{id: id, path: path + "2f", body: "prompt " + id, prefix: prefix("a"+id, "ba5e", fmt.Sprintf("b%d", n%40)), tokens: "700,80", timeout: 6 * time.Second}
		},
		fatal: func(n int) request {
			id := fmt.Sprintf("f%06d", n)
			return request{id: id, path: path + "2f", body: "prompt " + id, prefix: prefix("a"+id, "ba5e", part, fmt.Sprintf("b%d", n%40)), tokens: "1000,80", timeout: 6 * time.Second}
		},
	}
	l.play(30 * time.Second)
	return l.judge(5, 3), nil
}

// manyParts is the number of shared parts of each prompt; PARTS replaces it, to show
// what the fault depends on.
const manyParts = 80

// playMany: a part in the middle of long prompts crashes runners before they write
// anything.
func playMany(c *caseRun) (int, error) {
	const part = "dead"
	settings := runnerSettings{
		service: service, slots: 16, queue: 4, prefill: 100 * time.Millisecond, events: 10, pause: 30 * time.Millisecond, downtime: 2 * time.Second,
		fatal: func(r *http.Request, _ string) fatal {
			if strings.Contains(r.Header.Get("X-Prefix-Hash"), part+":") {
				return atBegin
			}
			return harmless
		},
	}
	if !c.store.put("op", "config", configuration(2, settings.slots)) {
		return cannotRun, fmt.Errorf("no configuration")
	}
	if err := c.startRunners(6, settings); err != nil {
		return cannotRun, err
	}
	if err := c.startVMs(3); err != nil {
		return cannotRun, err
	}
	count := manyParts
	if n, err := strconv.Atoi(os.Getenv("PARTS")); err == nil {
		count = n
	}
	turns := func(fatal bool) []string {
		var parts []string
		for i := range count {
			if fatal && i == count/2 {
				parts = append(parts, part)
				continue
			}
			parts = append(parts, fmt.Sprintf("b%03d", i))
		}
		return parts
	}
	l := &load{
		run: c, soundPeriod: 40 * time.Millisecond, fatalPeriod: 400 * time.Millisecond,
		sound: func(n int) request {
			id := fmt.Sprintf("s%06d", n)
			return request{id: id, path: path + "2f", body: "prompt " + id, prefix: prefix("a"+id, turns(false)...), tokens: "700,80", timeout: 6 * time.Second}
		},
		fatal: func(n int) request {
			id := fmt.Sprintf("f%06d", n)
			return request{id: id, path: path + "2f", body: "prompt " + id, prefix: prefix("a"+id, turns(true)...), tokens: "1000,80", timeout: 6 * time.Second}
		},
	}
	l.play(30 * time.Second)
	return l.judge(5, 3), nil
}
