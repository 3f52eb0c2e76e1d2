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

// Repaying other VMs.
const (
	// repayPath is the URL path of repayments.
	repayPath = "/budget/repay"
	// repayPeriod is the time between repayments: about the time in which
	// borrowed tokens are spent.
	repayPeriod = time.Second
)

// repayment returns to a home VM what a VM borrowed of a group's accounts, and
// reports what the VM spent. It is applied at most once: by the incarnation
// that it is addressed to, in the order of its sender's sequence numbers.
type repayment struct {
	To       string                      `json:"to"`   // incarnation of the home VM
	From     string                      `json:"from"` // incarnation of the sender
	Sequence int64                       `json:"sequence"`
	Accounts map[string]escrow.Repayment `json:"accounts"`
}

// serveRepayment accepts tokens that other VMs repay or hand over.
func (g *Gateway) serveRepayment(w http.ResponseWriter, r *http.Request) {
	var m repayment
	if err := json.NewDecoder(io.LimitReader(r.Body, maxMessageBytes)).Decode(&m); err != nil {
		g.log.Info("unreadable repayment", "error", err.Error())
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if m.To != g.settings.Incarnation || g.shuttingDown.Load() || !g.repaymentSequences.accept(m.From, m.Sequence) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	g.state.mu.Lock()
	for account, p := range m.Accounts {
		g.state.group(account).budgets.AddRepayment(account, p)
	}
	g.state.mu.Unlock()
	g.log.V(1).Info("budget taken back", "from", m.From, "sequence", m.Sequence, "accounts", len(m.Accounts))
	if err := json.NewEncoder(w).Encode(struct{}{}); err != nil {
		g.log.V(1).Info("repayment not acknowledged", "from", m.From, "error", err.Error())
	}
}

// sequences keeps the newest sequence number of each sender.
type sequences struct {
	mu     sync.Mutex
	newest map[string]int64 // by the sender's incarnation
}

// accept reports whether a sequence number is newer than all earlier ones of
// its sender, and if so records it.
func (s *sequences) accept(sender string, number int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.newest == nil {
		s.newest = map[string]int64{}
	}
	if number <= s.newest[sender] {
		return false
	}
	s.newest[sender] = number
	return true
}

// repayer returns the borrowed tokens that this VM does not need.
type repayer struct {
	gateway  *Gateway
	mu       sync.Mutex // one repayment at a time, so that sequence numbers arrive in order
	sequence int64
}

func (p *repayer) loop(ctx context.Context) {
	for sleep(ctx, jitter(repayPeriod)) {
		p.repayAll()
	}
}

// repayAll makes the due repayments of all groups.
func (p *repayer) repayAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, gr := range p.gateway.state.groups {
		p.repay(gr)
	}
}

// repay returns tokens to the first responsive home VM of a group.
func (p *repayer) repay(gr *group) {
	homes := p.homes(gr)
	if len(homes) == 0 {
		return
	}
	s := p.gateway.state
	withdrawn := s.withdrawEach(gr, gr.budgets.Repay)
	if len(withdrawn) > 0 && !p.send(homes[0], withdrawn) {
		s.restoreEach(gr, withdrawn, gr.budgets.UndoRepay)
	}
}

// handOverAll transfers to other VMs the tokens that the store could not take
// back from this VM, which is shutting down.
func (p *repayer) handOverAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, gr := range p.gateway.state.groups {
		if gr.storeFailing.Load() {
			p.handOver(gr)
		}
	}
}

// handOver transfers a group's available tokens to the first home VM that
// accepts them.
func (p *repayer) handOver(gr *group) {
	s := p.gateway.state
	withdrawn := s.withdrawEach(gr, gr.budgets.HandOver)
	if len(withdrawn) == 0 {
		return
	}
	for _, to := range p.homes(gr) {
		if p.send(to, withdrawn) {
			p.gateway.log.Info("budget handed over", "group", gr.number, "to", to.Name, "accounts", withdrawn)
			return
		}
	}
	s.restoreEach(gr, withdrawn, gr.budgets.UndoHandOver)
}

// homes returns the responsive home VMs of a group.
func (p *repayer) homes(gr *group) []home.VM {
	s := p.gateway.state
	s.mu.Lock()
	homes := gr.homes
	s.mu.Unlock()
	return p.gateway.borrower.responsive(homes)
}

// send sends tokens to a home VM. It returns false when it is certain that the
// home VM did not accept them; when the home VM does not respond, they are
// lost.
func (p *repayer) send(to home.VM, accounts map[string]escrow.Repayment) bool {
	p.sequence++
	m := repayment{To: to.Incarnation, From: p.gateway.settings.Incarnation, Sequence: p.sequence, Accounts: accounts}
	err := p.gateway.borrower.post(to, repayPath, m, &struct{}{})
	if err == nil {
		return true
	}
	var refused *StatusError
	var unsent *NoPeerError
	if errors.As(err, &refused) || errors.As(err, &unsent) {
		p.gateway.log.Info("repayment not accepted", "home", to.Name, "error", err.Error())
		return false
	}
	p.gateway.borrower.markFailed(to, err)
	p.gateway.metrics.Increment("repayments_lost", "noAnswer")
	p.gateway.log.Info("repayment lost", "home", to.Name, "accounts", accounts)
	return true
}

// withdrawEach withdraws the tokens of each account that are to be transferred.
func (s *state) withdrawEach(gr *group, withdraw func(account string, now time.Time) escrow.Repayment) map[string]escrow.Repayment {
	s.mu.Lock()
	defer s.mu.Unlock()
	withdrawn := map[string]escrow.Repayment{}
	for _, account := range gr.budgets.Accounts() {
		if p := withdraw(account, time.Now()); p != (escrow.Repayment{}) {
			withdrawn[account] = p
		}
	}
	return withdrawn
}

// restoreEach restores the tokens that no home VM accepted.
func (s *state) restoreEach(gr *group, withdrawn map[string]escrow.Repayment, restore func(account string, p escrow.Repayment)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for account, p := range withdrawn {
		restore(account, p)
	}
}
