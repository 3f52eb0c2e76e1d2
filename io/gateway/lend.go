package gateway

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

const (
	// lendPath is the path that lends.
	lendPath = "/budget/lend"
	// messageBytes bounds a message about budgets, and its answer.
	messageBytes = 16 << 10
	// supplyWait bounds how long a home waits for the store, a few of its usual
	// answers, before it answers a VM that asks for more than it has.
	supplyWait = 60 * time.Millisecond
)

// loan is a question for tokens, and its answer.
type loan struct {
	Account string `json:"account,omitempty"`
	Need    int64  `json:"need,omitempty"`
	Want    int64  `json:"want,omitempty"`
	Home    bool   `json:"home,omitempty"` // the asking VM is a home as well

	Given     int64 `json:"given,omitempty"`
	Exhausted bool  `json:"exhausted,omitempty"` // no VM can have as much
	LaterMs   int64 `json:"laterMs,omitempty"`   // when the home may give it; 0 for unknown
}

// serveLoan gives another VM tokens.
func (g *Gateway) serveLoan(w http.ResponseWriter, r *http.Request) {
	var asked loan
	if err := json.NewDecoder(io.LimitReader(r.Body, messageBytes)).Decode(&asked); err != nil {
		g.log.Info("unreadable question for budget", "error", err.Error())
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s := &supply{gateway: g, asked: asked, group: g.state.group(asked.Account)}
	answer := s.answer(r.Context().Done())
	g.log.V(1).Info("budget lent", "account", asked.Account, "need", asked.Need, "want", asked.Want, "home", asked.Home, "given", answer.Given,
		"exhausted", answer.Exhausted, "laterMs", answer.LaterMs)
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		g.log.Info("budget lent in vain", "account", asked.Account, "given", answer.Given, "error", err.Error())
	}
}

// supply answers one question for tokens.
type supply struct {
	gateway *Gateway
	asked   loan
	group   *group
}

// answer gives tokens, after a wait for the store if that can bring them.
func (s *supply) answer(left <-chan struct{}) loan {
	until := time.Now().Add(supplyWait)
	waits := false
	defer func() { s.gateway.state.wait(s.asked.Account, s.asked.Need, &waits, false) }()
	for {
		answer, changed := s.try()
		if changed == nil || !time.Now().Before(until) {
			return answer
		}
		s.gateway.state.wait(s.asked.Account, s.asked.Need, &waits, true)
		s.group.wake()
		timer := time.NewTimer(time.Until(until))
		select {
		case <-changed:
		case <-timer.C:
		case <-left:
			timer.Stop()
			return loan{}
		}
		timer.Stop()
	}
}

// try gives tokens, or says why not. changed is nil when the answer is final.
func (s *supply) try() (answer loan, changed <-chan struct{}) {
	st, book, now := s.gateway.state, s.group.book, time.Now()
	account, need := s.asked.Account, s.asked.Need
	st.mu.Lock()
	defer st.mu.Unlock()
	if s.asked.Home {
		return loan{Given: book.Lend(account, need, s.asked.Want, now)}, nil
	}
	if given := book.Supply(account, need, s.asked.Want, now); given > 0 || need <= 0 {
		return loan{Given: given}, nil
	}
	if !s.group.keeps() {
		return loan{}, nil
	}
	if book.Exhausted(account, need) {
		return loan{Exhausted: true}, nil
	}
	wait, held := book.AllowedIn(account, need, now)
	if held {
		answer.LaterMs = max(wait.Milliseconds(), 1)
	}
	if s.group.storeLost.Load() || !held && !book.Undrawn(account, need) {
		return answer, nil
	}
	return answer, s.group.granted
}
