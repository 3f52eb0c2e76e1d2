package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hawthornspar/core/home"
	"hawthornspar/io/peer"
)

// Bounds of borrowing.
const (
	// storeFirst is how long the store has to lift a home's shortage, several of
	// its usual answers, before other homes are asked.
	storeFirst = 40 * time.Millisecond
	// lenderTimeout bounds a question to another VM: a handshake, its wait for
	// the store and an answer inside a region.
	lenderTimeout = 150 * time.Millisecond
	// lendersAsked bounds the VMs asked for one request.
	lendersAsked = 4
	// lenderPause follows a question that failed.
	lenderPause = 2 * time.Second
	// shortagePause follows questions that did not bring enough, about the time
	// until the next reading of what others hold.
	shortagePause = 700 * time.Millisecond
	// greetSpread spreads the first connections to homes, as all VMs may start
	// at once.
	greetSpread = 3 * time.Second
)

// shortage is what the other VMs lately could not give of an account.
type shortage struct {
	tokens    int64     // that were asked for
	until     time.Time // when it is worth asking again
	exhausted bool      // a home says that no VM can have as much
	later     bool      // a home says that it may give them at until
}

// borrower asks other VMs for tokens, for one request of an account at a time.
type borrower struct {
	gateway   *Gateway
	mu        sync.Mutex
	node      *peer.Node
	busy      map[string]bool      // accounts
	failed    map[string]time.Time // VMs that did not answer
	greeted   map[string]bool      // addresses to which a connection was opened
	shortages map[string]shortage  // by account
}

func newBorrower(g *Gateway) *borrower {
	return &borrower{gateway: g, busy: map[string]bool{}, failed: map[string]time.Time{}, greeted: map[string]bool{}, shortages: map[string]shortage{}}
}

func (b *borrower) use(n *peer.Node) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.node = n
}

// channel returns the channel to other VMs; nil while it is not open.
func (b *borrower) channel() *peer.Node {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.node
}

// anyPeer returns the address of some other VM; false when none is known or the
// channel to them is not open.
func (b *borrower) anyPeer() (string, bool) {
	var addresses []string
	b.gateway.state.mu.Lock()
	for _, v := range b.gateway.state.members {
		if v.Name != b.gateway.settings.Name && v.Address != "" {
			addresses = append(addresses, v.Address)
		}
	}
	b.gateway.state.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.node == nil || len(addresses) == 0 {
		return "", false
	}
	return addresses[rand.IntN(len(addresses))], true
}

// greet opens a connection to a home before the first request needs it.
func (b *borrower) greet(v home.VM) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.greeted[v.Address] || v.Address == "" {
		return
	}
	b.greeted[v.Address] = true
	t := &greeting{borrower: b, to: v}
	go t.run()
}

// greeting is one early connection.
type greeting struct {
	borrower *borrower
	to       home.VM
}

func (t *greeting) run() {
	time.Sleep(rand.N(greetSpread))
	if _, err := t.borrower.lend(t.to, loan{}); err != nil {
		t.borrower.gateway.log.V(1).Info("home not greeted", "home", t.to.Name, "error", err.Error())
	}
}

// ask starts borrowing for a request, unless the account has it going already.
func (b *borrower) ask(r *group, account string, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.node == nil || b.busy[account] {
		return
	}
	b.busy[account] = true
	q := &question{borrower: b, group: r, account: account, tokens: tokens}
	go q.run()
}

// short tells whether the other VMs lately could not give as much of an account.
func (b *borrower) short(account string, tokens int64) (shortage, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.shortages[account]
	return s, ok && tokens >= s.tokens && time.Now().Before(s.until)
}

func (b *borrower) note(account string, s shortage) {
	b.mu.Lock()
	b.shortages[account] = s
	b.mu.Unlock()
}

func (b *borrower) markFailed(v home.VM, err error) {
	b.mu.Lock()
	b.failed[v.Name] = time.Now()
	b.mu.Unlock()
	b.drop(v.Address)
	b.gateway.metrics.Count("lenders_lost", "noAnswer")
	b.gateway.log.Info("lender lost", "lender", v.Name, "error", err.Error())
}

// drop closes the connection to a VM that did not answer: the VM may have been
// replaced since it was opened.
func (b *borrower) drop(address string) { b.channel().Drop(address) }

// answering returns the VMs of a list without those that did not answer lately.
func (b *borrower) answering(vms []home.VM) []home.VM {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []home.VM
	for _, v := range vms {
		if time.Since(b.failed[v.Name]) > lenderPause {
			list = append(list, v)
		}
	}
	return list
}

// lend asks a VM for tokens.
func (b *borrower) lend(v home.VM, asked loan) (loan, error) {
	var answer loan
	err := b.post(v, lendPath, asked, &answer)
	return answer, err
}

// post sends a message to another VM and reads its answer.
func (b *borrower) post(v home.VM, path string, message, answer any) error {
	node := b.channel()
	if node == nil {
		return errors.WithStack(&NoPeerError{})
	}
	raw, err := json.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "message")
	}
	ctx, cancel := context.WithTimeout(context.Background(), lenderTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+v.Address+path, bytes.NewReader(raw))
	if err != nil {
		return errors.Wrap(err, "message")
	}
	response, err := node.RoundTrip(request)
	if err != nil {
		return errors.Wrap(err, "VM")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.WithStack(&AnswerError{Status: response.StatusCode})
	}
	err = json.NewDecoder(io.LimitReader(response.Body, messageBytes)).Decode(answer)
	return errors.Wrap(err, "VM's answer")
}
