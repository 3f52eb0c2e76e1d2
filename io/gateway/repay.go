package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hawthornspar/core/escrow"
	"hawthornspar/core/home"
)

const (
	// repayPath is the path that takes tokens back.
	repayPath = "/budget/repay"
	// repayPeriod is the time between repayments: about as long as borrowed
	// tokens last.
	repayPeriod = time.Second
)

// repayment gives back to a home what a VM borrowed of a group's accounts, and
// says what it spent. It is carried out once at most: by the incarnation that
// it is meant for, in the order of its sender's numbers.
type repayment struct {
	To       string                      `json:"to"`   // the home's incarnation
	From     string                      `json:"from"` // the sender's
	Sequence int64                       `json:"sequence"`
	Accounts map[string]escrow.Repayment `json:"accounts"`
}

// serveRepayment takes tokens back.
func (g *Gateway) serveRepayment(w http.ResponseWriter, r *http.Request) {
	var m repayment
	if err := json.NewDecoder(io.LimitReader(r.Body, messageBytes)).Decode(&m); err != nil {
		g.log.Info("unreadable repayment", "error", err.Error())
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if m.To != g.settings.Incarnation || g.stopping.Load() || !g.repaid.take(m.From, m.Sequence) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	g.state.mu.Lock()
	for account, p := range m.Accounts {
		g.state.group(account).book.Repaid(account, p)
	}
	g.state.mu.Unlock()
	g.log.V(1).Info("budget taken back", "from", m.From, "sequence", m.Sequence, "accounts", len(m.Accounts))
	if err := json.NewEncoder(w).Encode(struct{}{}); err != nil {
		g.log.V(1).Info("repayment not acknowledged", "from", m.From, "error", err.Error())
	}
}

// sequences remembers the newest number of each sender.
type sequences struct {
	mu     sync.Mutex
	newest map[string]int64 // by incarnation
}

// take tells whether a number is newer than all before it, and remembers it.
func (s *sequences) take(from string, number int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.newest == nil {
		s.newest = map[string]int64{}
	}
	if number <= s.newest[from] {
		return false
	}
	s.newest[from] = number
	return true
}

// repayer gives back what this VM borrowed and does not need.
type repayer struct {
	gateway  *Gateway
	mu       sync.Mutex // one repayment at a time, so that numbers arrive in order
	sequence int64
}

func (p *repayer) loop(ctx context.Context) {
	for sleep(ctx, jitter(repayPeriod)) {
		p.repayAll()
	}
}

func (p *repayer) repayAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.gateway.state.groups {
		p.repay(r)
	}
}

// repay gives back to the first home of a group that answers.
func (p *repayer) repay(r *group) {
	homes := p.homes(r)
	if len(homes) == 0 {
		return
	}
	s := p.gateway.state
	taken := s.takeEach(r, r.book.Repay)
	if len(taken) > 0 && !p.send(homes[0], taken) {
		s.putEach(r, taken, r.book.Keep)
	}
}

// handOverAll gives to other VMs what the store could not take back from this
// one, which stops.
func (p *repayer) handOverAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.gateway.state.groups {
		if r.storeLost.Load() {
			p.handOver(r)
		}
	}
}

// handOver gives a group's free tokens to the first home that takes them.
func (p *repayer) handOver(r *group) {
	s := p.gateway.state
	taken := s.takeEach(r, r.book.HandOver)
	if len(taken) == 0 {
		return
	}
	for _, to := range p.homes(r) {
		if p.send(to, taken) {
			p.gateway.log.Info("budget handed over", "group", r.number, "to", to.Name, "accounts", taken)
			return
		}
	}
	s.putEach(r, taken, r.book.TakeBack)
}

// homes returns the homes of a group that answer.
func (p *repayer) homes(r *group) []home.VM {
	s := p.gateway.state
	s.mu.Lock()
	homes := r.homes
	s.mu.Unlock()
	return p.gateway.borrower.answering(homes)
}

// send gives tokens to a home. It returns false when it is certain that the
// home did not take them; when it does not answer, they are lost.
func (p *repayer) send(to home.VM, accounts map[string]escrow.Repayment) bool {
	p.sequence++
	m := repayment{To: to.Incarnation, From: p.gateway.settings.Incarnation, Sequence: p.sequence, Accounts: accounts}
	err := p.gateway.borrower.post(to, repayPath, m, &struct{}{})
	if err == nil {
		return true
	}
	var refused *AnswerError
	var unsent *NoPeerError
	if errors.As(err, &refused) || errors.As(err, &unsent) {
		p.gateway.log.Info("repayment not taken", "home", to.Name, "error", err.Error())
		return false
	}
	p.gateway.borrower.markFailed(to, err)
	p.gateway.metrics.Count("repayments_lost", "noAnswer")
	p.gateway.log.Info("repayment lost", "home", to.Name, "accounts", accounts)
	return true
}

// takeEach takes out of a group's book what is to be given away.
func (s *state) takeEach(r *group, take func(account string, now time.Time) escrow.Repayment) map[string]escrow.Repayment {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := map[string]escrow.Repayment{}
	for _, account := range r.book.Accounts() {
		if p := take(account, time.Now()); p != (escrow.Repayment{}) {
			taken[account] = p
		}
	}
	return taken
}

// putEach puts back what no home took.
func (s *state) putEach(r *group, taken map[string]escrow.Repayment, put func(account string, p escrow.Repayment)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for account, p := range taken {
		put(account, p)
	}
}
