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

	"hawthornspar/core/entity"
	"hawthornspar/core/escrow"
	"hawthornspar/core/inbox"
	"hawthornspar/io/certificate"
	"hawthornspar/io/peer"
)

// Bounds of borrowing.
const (
	// storeFirst is how long the store has to lift a shortage, several of its
	// usual answers, before other VMs are asked.
	storeFirst = 40 * time.Millisecond
	// lenderTimeout bounds a question to another VM: a handshake and an
	// answer inside a region.
	lenderTimeout = 150 * time.Millisecond
	// lendersAsked bounds the VMs asked for one request.
	lendersAsked = 4
	// lenderPause follows a question that failed.
	lenderPause = 2 * time.Second
	// exhaustedPause follows questions that did not bring enough, about the time
	// until the next reading of what others hold.
	exhaustedPause = 700 * time.Millisecond
	// certificateLife is longer than any VM runs.
	certificateLife = 365 * 24 * time.Hour
	// authorityKey names the fleet's certificate authority in the store.
	authorityKey = "authority"
	// lendPath is the path that lends.
	lendPath = "/budget/lend"
	// lendBytes bounds a question and its answer.
	lendBytes = 4 << 10
)

// loan is a question for tokens, and its answer.
type loan struct {
	Account string `json:"account,omitempty"`
	Need    int64  `json:"need,omitempty"`
	Want    int64  `json:"want,omitempty"`
	Given   int64  `json:"given,omitempty"`
}

// peerOpener opens the channel between VMs once the store has the fleet's keys.
type peerOpener struct{ gateway *Gateway }

func (o *peerOpener) run(ctx context.Context) {
	if o.gateway.settings.Peer == "" {
		return
	}
	for ctx.Err() == nil {
		node, err := o.open(ctx)
		if err == nil {
			o.gateway.borrower.use(node)
			o.gateway.log.Info("peers open", "address", o.gateway.settings.Peer)
			return
		}
		o.gateway.log.Info("peers not open", "error", err.Error())
		sleep(ctx, jitter(failPause))
	}
}

func (o *peerOpener) open(ctx context.Context) (*peer.Node, error) {
	g := o.gateway
	authority, err := o.authority(ctx)
	if err != nil {
		return nil, err
	}
	own, err := certificate.NewVM(authority, g.settings.Name, time.Now(), certificateLife)
	if err != nil {
		return nil, err
	}
	mutual, err := certificate.Mutual(authority.Certificate, own)
	if err != nil {
		return nil, err
	}
	self := entity.VM{Name: g.settings.Name, Incarnation: g.settings.Incarnation, Address: g.settings.Peer, Domain: g.settings.Domain}
	return peer.Listen(self, g.settings.Peer, mutual, http.HandlerFunc(g.servePeer), func(inbox.Event) {}, g.log)
}

// authority returns the fleet's certificate authority: from the store, or from
// another VM that told it meanwhile.
func (o *peerOpener) authority(ctx context.Context) (certificate.Pair, error) {
	mine, err := certificate.NewAuthority(time.Now(), certificateLife)
	if err != nil {
		return certificate.Pair{}, err
	}
	raw, err := json.Marshal(mine)
	if err != nil {
		return certificate.Pair{}, errors.Wrap(err, "authority")
	}
	raw, err = o.gateway.store.Shared(ctx, authorityKey, raw)
	if known := o.gateway.authority.Load(); known != nil {
		return *known, nil
	}
	if err != nil {
		return certificate.Pair{}, err
	}
	var shared certificate.Pair
	if err := json.Unmarshal(raw, &shared); err != nil {
		return certificate.Pair{}, errors.Wrap(err, "authority")
	}
	o.gateway.authority.Store(&shared)
	return shared, nil
}

// serveLoan gives another VM tokens.
func (g *Gateway) serveLoan(w http.ResponseWriter, r *http.Request) {
	var asked loan
	if err := json.NewDecoder(io.LimitReader(r.Body, lendBytes)).Decode(&asked); err != nil {
		g.log.Info("unreadable question for budget", "error", err.Error())
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.state.mu.Lock()
	given := g.state.book.Lend(asked.Account, asked.Need, asked.Want, time.Now())
	g.state.mu.Unlock()
	g.log.Info("budget lent", "account", asked.Account, "need", asked.Need, "given", given)
	if err := json.NewEncoder(w).Encode(loan{Given: given}); err != nil {
		g.log.Info("budget lent in vain", "account", asked.Account, "given", given, "error", err.Error())
	}
}

// borrower asks other VMs for tokens, for one request of an account at a time.
type borrower struct {
	gateway   *Gateway
	mu        sync.Mutex
	node      *peer.Node
	busy      map[string]bool      // accounts
	failed    map[string]time.Time // VMs that did not answer
	exhausted map[string]time.Time // accounts of which the others gave too little
}

func newBorrower(g *Gateway) *borrower {
	return &borrower{gateway: g, busy: map[string]bool{}, failed: map[string]time.Time{}, exhausted: map[string]time.Time{}}
}

func (b *borrower) use(n *peer.Node) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.node = n
}

// client returns a client that speaks to other VMs.
func (b *borrower) client() *http.Client {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &http.Client{Transport: b.node}
}

// anyPeer returns the address of some other VM; false when none is known or the
// channel to them is not open.
func (b *borrower) anyPeer() (string, bool) {
	b.gateway.state.mu.Lock()
	addresses := b.gateway.state.book.Peers()
	b.gateway.state.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.node == nil || len(addresses) == 0 {
		return "", false
	}
	return addresses[rand.IntN(len(addresses))], true
}

// ask starts borrowing for a request, unless the account has it going already.
func (b *borrower) ask(account string, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.node == nil || b.busy[account] || time.Since(b.exhausted[account]) < exhaustedPause {
		return
	}
	b.busy[account] = true
	q := &question{borrower: b, node: b.node, account: account, tokens: tokens}
	go q.run()
}

// question borrows for one request.
type question struct {
	borrower *borrower
	node     *peer.Node
	account  string
	tokens   int64
}

func (q *question) run() {
	defer q.end()
	if !q.borrower.gateway.storeLost.Load() {
		time.Sleep(storeFirst)
	}
	for _, l := range q.lenders() {
		need, want := q.lack()
		if need == 0 {
			return
		}
		q.borrow(l, need, want)
	}
	if need, _ := q.lack(); need > 0 {
		q.borrower.markExhausted(q.account)
	}
}

func (b *borrower) markExhausted(account string) {
	b.mu.Lock()
	b.exhausted[account] = time.Now()
	b.mu.Unlock()
	b.gateway.state.mu.Lock()
	defer b.gateway.state.mu.Unlock()
	b.gateway.state.bookChanged()
}

// isExhausted tells whether the other VMs lately had too little of an account.
func (b *borrower) isExhausted(account string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Since(b.exhausted[account]) < exhaustedPause
}

func (q *question) end() {
	q.borrower.mu.Lock()
	defer q.borrower.mu.Unlock()
	delete(q.borrower.busy, q.account)
}

func (q *question) lack() (need, want int64) {
	s := q.borrower.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Lack(q.account, q.tokens, time.Now())
}

// lenders returns the VMs to ask, without those that did not answer lately.
func (q *question) lenders() []escrow.Lender {
	s := q.borrower.gateway.state
	s.mu.Lock()
	all := s.book.Lenders(q.account)
	s.mu.Unlock()
	q.borrower.mu.Lock()
	defer q.borrower.mu.Unlock()
	var lenders []escrow.Lender
	for _, l := range all {
		if time.Since(q.borrower.failed[l.VM]) > lenderPause && len(lenders) < lendersAsked {
			lenders = append(lenders, l)
		}
	}
	return lenders
}

func (q *question) borrow(l escrow.Lender, need, want int64) {
	g := q.borrower.gateway
	given, err := q.exchange(l, loan{Account: q.account, Need: need, Want: want})
	if err != nil {
		q.borrower.mu.Lock()
		q.borrower.failed[l.VM] = time.Now()
		q.borrower.mu.Unlock()
		g.log.Info("lender lost", "lender", l.VM, "error", err.Error())
		return
	}
	g.log.Info("budget borrowed", "account", q.account, "lender", l.VM, "need", need, "given", given)
	if given == 0 {
		return
	}
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	g.state.book.Borrowed(q.account, given)
	g.state.bookChanged()
}

func (q *question) exchange(l escrow.Lender, asked loan) (int64, error) {
	raw, err := json.Marshal(asked)
	if err != nil {
		return 0, errors.Wrap(err, "question")
	}
	ctx, cancel := context.WithTimeout(context.Background(), lenderTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+l.Address+lendPath, bytes.NewReader(raw))
	if err != nil {
		return 0, errors.Wrap(err, "question")
	}
	response, err := q.node.RoundTrip(request)
	if err != nil {
		return 0, errors.Wrap(err, "lender")
	}
	defer response.Body.Close()
	var answer loan
	err = json.NewDecoder(io.LimitReader(response.Body, lendBytes)).Decode(&answer)
	return answer.Given, errors.Wrap(err, "lender's answer")
}
