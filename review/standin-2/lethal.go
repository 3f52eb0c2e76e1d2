package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The deployment and the disruption of trials.
const (
	lethalPart  = "5c1e07a2"              // part of prompts that crashes runners
	crashAfter  = 1500 * time.Millisecond // from the first event of an answer
	downTime    = 2 * time.Second
	prefillTime = 200 * time.Millisecond
	pauseTime   = 75 * time.Millisecond
	// leaveAfter is how long after a request its client leaves, within the 1,500 ms of the disruption.
	leaveAfter = 1200 * time.Millisecond
	// stableWindow is StableWindowMs, and allowed the number of requests that may reach runners after that.
	stableWindow = 3 * time.Second
	allowed      = 3
	countedCrash = 5
	soundClients = 16
	modelCount   = 6
)

// lethal is what became of the requests with the part that crashes runners.
type lethal struct {
	record  *record
	mu      sync.Mutex
	crashes []time.Time
	reached []time.Time
	lost    []time.Time // ends of sound chats that were not served whole
}

// run runs a chat, and crashes its runner if the prompt has the part. The run ends when its caller has left.
func (l *lethal) run(r *runner, k *call) {
	attempt := k.request.Header.Get("X-Attempt-Id")
	has := strings.Contains(k.request.Header.Get("X-Prefix-Hash"), lethalPart)
	if has {
		l.mu.Lock()
		l.reached = append(l.reached, time.Now())
		l.mu.Unlock()
	}
	time.Sleep(prefillTime)
	k.beginStream()
	began := time.Now()
	for n := 1; n <= 40; n++ {
		if !k.event(n) {
			l.record.line("%s drops %s, whose caller has left", k.id, attempt)
			return
		}
		time.Sleep(pauseTime)
		if has && time.Since(began) >= crashAfter {
			if r.crash(k.id) {
				l.record.line("%s crashes on %s", k.id, attempt)
				l.mu.Lock()
				l.crashes = append(l.crashes, time.Now())
				l.mu.Unlock()
				time.AfterFunc(downTime, r.start)
			}
			return
		}
	}
	k.endStream()
}

func (l *lethal) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.crashes)
}

// since returns the numbers of crashes, and of sound chats that were not served whole, since a time.
func (l *lethal) since(began time.Time) (crashes, lost int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, at := range l.crashes {
		if at.After(began) {
			crashes++
		}
	}
	for _, at := range l.lost {
		if at.After(began) {
			lost++
		}
	}
	return crashes, lost
}

// late returns how many requests with the part reached runners later than stableWindow after the counted crash.
func (l *lethal) late() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, at := range l.reached {
		if len(l.crashes) >= countedCrash && at.Sub(l.crashes[countedCrash-1]) > stableWindow {
			n++
		}
	}
	return n
}

// trials plays chats of which some have a part that crashes runners. After the fifth crash the clients of these
// leave in the middle of the answer. The rule is that no more than three such requests reach runners from then on.
func trials(rec *record, trouble bool) bool {
	s := newStore()
	configure(s, 3, 0, []map[string]any{route("chat", "/chat/", "streaming", "dahu75a", 12*time.Second, 1, nil)}, []map[string]any{engines(48)})
	l := &lethal{record: rec}
	for i := range modelCount {
		newRunner(fmt.Sprintf("m%d", i), "dahu75a", "kandy", 48, s, rec, l.run)
	}
	first := newMachine("edge-kandy-1", "kandy", s.address, nil, 284)
	machines := []*machine{first, newMachine("edge-matale-1", "matale", s.address, []string{first.control}, 284)}
	for _, m := range machines {
		m.start()
	}
	for _, m := range machines {
		m.awaitReady()
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for c := range soundClients {
		wg.Go(func() { l.soundChats(machines[c%2], c, stop) })
	}
	sequence := 0
	ask := func(leaves bool) {
		sequence++
		m, number := machines[sequence%2], sequence
		wg.Go(func() { lethalChat(rec, m, number, leaves) })
	}
	for end := time.Now().Add(50 * time.Second); l.count() < countedCrash; time.Sleep(700 * time.Millisecond) {
		if time.Now().After(end) {
			must(fmt.Errorf("only %d crashes", l.count()))
		}
		ask(false)
	}
	time.Sleep(stableWindow + 500*time.Millisecond)
	began := time.Now()
	// Four clients send them in turn, so that 4 of 20 clients leave: a share of 0.2.
	for range 40 {
		ask(trouble)
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()
	crashes, lost := l.since(began)
	rec.say("from then on, crashes: %d, sound chats that were not served whole: %d", crashes, lost)
	rec.say("crashes in all: %d; requests with the part that reached runners later than 3 s after the fifth crash: %d (allowed: %d)", l.count(), l.late(), allowed)
	return l.late() <= allowed
}

// soundChats plays chats without the part, which share all else, until stop is closed.
func (l *lethal) soundChats(m *machine, number int, stop chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
		id := fmt.Sprintf("50%03x%03x", number, i)
		g := send(m, ask{
			method: http.MethodPost, target: "/chat/x", id: id, body: []byte(id), deadline: 12 * time.Second,
			tokens: "460,240", parts: []string{"0a0a0a0a:198", fmt.Sprintf("91bd3f%02x:210", number%5), id + ":52"},
		})
		if g.status != http.StatusOK || !g.complete {
			l.mu.Lock()
			l.lost = append(l.lost, time.Now())
			l.mu.Unlock()
		}
		l.record.line("sound chat %s at %s: status %d, whole %v", id, m.name, g.status, g.complete)
	}
}

// lethalChat sends a chat with the part. Its client stays to the end, or leaves in the middle.
func lethalChat(rec *record, m *machine, number int, leaves bool) {
	id := fmt.Sprintf("60%06x", number)
	a := ask{
		method: http.MethodPost, target: "/chat/x", id: id, body: []byte(id), deadline: 12 * time.Second,
		tokens: "560,240", parts: []string{"0a0a0a0a:198", fmt.Sprintf("91bd3f%02x:210", number%5), lethalPart + ":100", id + ":52"},
	}
	if leaves {
		a.wait = leaveAfter
	}
	g := send(m, a)
	rec.line("chat %s with the part at %s: status %d, whole %v, ended after %d ms", id, m.name, g.status, g.complete, g.took.Milliseconds())
}
