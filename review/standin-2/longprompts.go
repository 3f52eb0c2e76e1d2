package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// The deployment and the disruption of longPrompts.
const (
	modelRunners = 8
	modelSlots   = 48
	chatClients  = 340
	orderClients = 8
	chatParts    = 300  // of a prompt, beside the first and the last one; the header takes 4 KB of the 16 KB allowed
	commonParts  = 3000 // of which those of a prompt are drawn
	orderTimeout = time.Second
	orderWork    = 30 * time.Millisecond
	playTime     = 80 * time.Second
	crashedShare = 4 // one of so many runners is down at a time: a share of 0.25
	crashTime    = 2 * time.Second
	crashPause   = time.Second
	// answerSlack is how long after the TimeoutMs of their route the rule waits for answers.
	answerSlack = 500 * time.Millisecond
	// fewest is the least number of requests unanswered at TimeoutMs by which the case judges.
	fewest = 20
	// controlLimit is the longest time of a request straight to a runner with which the machine of the test is
	// taken for fit to judge.
	controlLimit = 300 * time.Millisecond
)

// chats plays chats with long histories.
type chats struct {
	machine *machine
	record  *record
	mu      sync.Mutex
	random  *rand.Rand
	ended   int
	served  int
}

// prompt returns the parts of a prompt: one that all share, common ones, and one of its own.
func (c *chats) prompt(id string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := []string{"0a0a0a0a:198"}
	for range chatParts {
		list = append(list, fmt.Sprintf("%08x:12", c.random.Intn(commonParts)))
	}
	return append(list, id+":20")
}

// play sends one chat after the other until stop is closed. It comes back when it is told to.
func (c *chats) play(number int, stop chan struct{}) {
	wait := time.Duration(number) * 20 * time.Millisecond
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(wait):
		}
		id := fmt.Sprintf("%04x%04x", number, i)
		g := send(c.machine, ask{
			method: http.MethodPost, target: "/chat/x", id: id, body: []byte(id), deadline: 12 * time.Second,
			tokens: fmt.Sprintf("%d,240", 218+12*chatParts), parts: c.prompt(id),
		})
		c.record.line("chat %s: status %d, whole %v, after %d ms", id, g.status, g.complete, g.took.Milliseconds())
		c.mu.Lock()
		c.ended++
		wait = 0
		if g.status == http.StatusOK && g.complete {
			c.served++
		} else {
			after, _ := strconv.ParseFloat(g.header.Get("Retry-After"), 64)
			wait = max(time.Duration(after*float64(time.Second)), 200*time.Millisecond)
		}
		c.mu.Unlock()
	}
}

// orders plays orders and keeps how long each took.
type orders struct {
	machine *machine
	record  *record
	mu      sync.Mutex
	took    []time.Duration
}

// play sends one order after the other until stop is closed. Its client waits for longer than its route allows.
func (o *orders) play(number int, stop chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		id := fmt.Sprintf("order%d-%d", number, i)
		g := send(o.machine, ask{method: http.MethodPost, target: "/order/x", id: id, body: []byte("crate"), deadline: 5 * time.Second, wait: 6 * time.Second})
		o.record.line("%s: status %d after %d ms", id, g.status, g.took.Milliseconds())
		o.mu.Lock()
		o.took = append(o.took, g.took)
		o.mu.Unlock()
	}
}

// control asks a runner straight until stop is closed, and returns the longest time that it took but for one in
// a hundred.
func control(r *runner, stop chan struct{}) time.Duration {
	var took []time.Duration
	direct := &machine{listen: r.address}
	for i := 0; ; i++ {
		select {
		case <-stop:
			slices.Sort(took)
			return took[len(took)*99/100]
		case <-time.After(100 * time.Millisecond):
		}
		took = append(took, send(direct, ask{method: http.MethodPost, target: "/order/x", id: fmt.Sprintf("control%d", i), deadline: 5 * time.Second}).took)
	}
}

// crashInTurn lets a share of the runners crash, and then the next ones, until the end.
func crashInTurn(rec *record, runners []*runner, end time.Time) {
	n := len(runners) / crashedShare
	for first := 0; time.Now().Before(end); first = (first + n) % len(runners) {
		down := runners[first : first+n]
		for _, r := range down {
			rec.line("%s crashes", r.current())
			r.crash(r.current())
		}
		time.Sleep(crashTime)
		for _, r := range down {
			r.start()
		}
		time.Sleep(crashPause)
	}
}

// longPrompts plays chats with long histories beside orders, while runners of the model crash. The rule is that of
// the requests that are unanswered at the TimeoutMs of their route, half are answered half a second later.
func longPrompts(rec *record, trouble bool) bool {
	s := newStore()
	configure(s, 3, 0, []map[string]any{
		route("chat", "/chat/", "streaming", "dahu75a", 15*time.Second, 1, nil),
		route("order", "/order/", "non_idempotent", "huno90b", orderTimeout, 1, nil),
	}, []map[string]any{engines(modelSlots), desk()})
	var models, desks []*runner
	for i := range modelRunners {
		models = append(models, newRunner(fmt.Sprintf("m%d", i), "dahu75a", "kandy", modelSlots, s, rec, chat))
	}
	for i := range 3 {
		desks = append(desks, newRunner(fmt.Sprintf("d%d", i), "huno90b", "kandy", 6, s, rec, func(_ *runner, k *call) {
			time.Sleep(orderWork)
			k.answer("booked")
		}))
	}
	m := newMachine("edge-kandy-1", "kandy", s.address, nil, 284)
	m.start()
	m.awaitReady()
	c := &chats{machine: m, record: rec, random: rand.New(rand.NewSource(1))}
	o := &orders{machine: m, record: rec}
	stop, controlled := make(chan struct{}), make(chan time.Duration, 1)
	var wg sync.WaitGroup
	for i := range chatClients {
		go c.play(i, stop)
	}
	for i := range orderClients {
		wg.Go(func() { o.play(i, stop) })
	}
	go func() { controlled <- control(desks[0], stop) }()
	end := time.Now().Add(playTime)
	time.Sleep(8 * time.Second)
	if trouble {
		crashInTurn(rec, models, end)
	}
	time.Sleep(time.Until(end))
	close(stop)
	wg.Wait() // for the orders; the chats may take longer
	if slowest := <-controlled; slowest > controlLimit {
		must(fmt.Errorf("a request straight to a runner took %d ms", slowest.Milliseconds()))
	}
	return o.judge(c)
}

// chat runs a chat: events for three seconds.
func chat(_ *runner, k *call) {
	k.beginStream()
	for n := 1; n <= 40; n++ {
		time.Sleep(75 * time.Millisecond)
		if !k.event(n) {
			return
		}
	}
	k.endStream()
}

func (o *orders) judge(c *chats) bool {
	slices.Sort(o.took)
	unanswered, late := 0, 0
	for _, t := range o.took {
		if t > orderTimeout {
			unanswered++
		}
		if t > orderTimeout+answerSlack {
			late++
		}
	}
	at := func(percent int) int64 { return o.took[len(o.took)*percent/100].Milliseconds() }
	c.mu.Lock()
	defer c.mu.Unlock()
	o.record.say("%d chats, %d served whole; %d orders: half within %d ms, 90 in 100 within %d ms, all within %d ms", c.ended, c.served, len(o.took), at(50), at(90), o.took[len(o.took)-1].Milliseconds())
	o.record.say("orders unanswered at the TimeoutMs of their route: %d; of these without an answer half a second later: %d", unanswered, late)
	return unanswered < fewest || 2*late <= unanswered
}
