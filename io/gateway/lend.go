package gateway

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// Lending to other VMs.
const (
	// lendPath is the URL path of loan requests.
	lendPath = "/budget/lend"
	// maxMessageBytes bounds a message about budgets, and the response to it.
	maxMessageBytes = 16 << 10
	// maxLendWait bounds how long a home VM waits for the store, a few of its
	// usual response times, before it responds to a VM that requests more than
	// it has.
	maxLendWait = 60 * time.Millisecond
)

// loan is a request to borrow tokens, and the response to it.
type loan struct {
	Account  string `json:"account,omitempty"`
	Need     int64  `json:"need,omitempty"` // tokens that a client's request is missing
	Want     int64  `json:"want,omitempty"` // most tokens that are worth borrowing
	FromHome bool   `json:"home,omitempty"` // whether the borrower is a home VM as well

	Lent         int64 `json:"given,omitempty"`     // tokens lent
	Exhausted    bool  `json:"exhausted,omitempty"` // whether no VM can have so many
	RetryAfterMs int64 `json:"laterMs,omitempty"`   // time until the home VM may lend them; 0 when unknown
}

// serveLoan lends tokens to another VM.
func (g *Gateway) serveLoan(w http.ResponseWriter, r *http.Request) {
	var request loan
	if err := json.NewDecoder(io.LimitReader(r.Body, maxMessageBytes)).Decode(&request); err != nil {
		g.log.Info("unreadable loan request", "error", err.Error())
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	l := &lending{gateway: g, request: request, group: g.state.group(request.Account)}
	response := l.lend(r.Context().Done())
	g.log.V(1).Info("budget lent", "account", request.Account, "need", request.Need, "want", request.Want, "home", request.FromHome, "given", response.Lent,
		"exhausted", response.Exhausted, "laterMs", response.RetryAfterMs)
	if err := json.NewEncoder(w).Encode(response); err != nil {
		g.log.Info("loan response not written", "account", request.Account, "given", response.Lent, "error", err.Error())
	}
}

// lending handles one loan request.
type lending struct {
	gateway *Gateway
	request loan
	group   *group
}

// lend lends tokens and returns the response. It waits at most maxLendWait for
// missing tokens that may arrive.
func (l *lending) lend(disconnected <-chan struct{}) loan {
	giveUpAt := time.Now().Add(maxLendWait)
	waiting := false
	defer func() { l.gateway.state.setWaiting(l.request.Account, l.request.Need, &waiting, false) }()
	for {
		final := !time.Now().Before(giveUpAt)
		response, changed := l.lendNow(final)
		if changed == nil || final {
			return response
		}
		l.gateway.state.setWaiting(l.request.Account, l.request.Need, &waiting, true)
		l.group.wake()
		timer := time.NewTimer(time.Until(giveUpAt))
		select {
		case <-changed:
		case <-timer.C:
		case <-disconnected:
			timer.Stop()
			return loan{}
		}
		timer.Stop()
	}
}

// lendNow lends tokens, or returns why it does not. changed is nil when the
// response is final. An unfinished response to another home VM lends nothing as
// long as the store may soon allow the whole need.
func (l *lending) lendNow(final bool) (response loan, changed <-chan struct{}) {
	st, budgets, now := l.gateway.state, l.group.budgets, time.Now()
	account, need := l.request.Account, l.request.Need
	st.mu.Lock()
	defer st.mu.Unlock()
	if l.request.FromHome {
		if !final && !l.group.storeFailing.Load() && budgets.MayLendAfterWrite(account, need, now) {
			return loan{}, l.group.updated
		}
		return loan{Lent: budgets.Lend(account, need, l.request.Want, now)}, nil
	}
	if lent := budgets.LendAsHome(account, need, l.request.Want, now); lent > 0 || need <= 0 {
		return loan{Lent: lent}, nil
	}
	if !l.group.isActiveHome() {
		return loan{}, nil
	}
	if budgets.Exhausted(account, need) {
		return loan{Exhausted: true}, nil
	}
	wait, covered := budgets.AvailableIn(account, need, now)
	if covered {
		response.RetryAfterMs = max(wait.Milliseconds(), 1)
	}
	if l.group.storeFailing.Load() || !covered && !budgets.Obtainable(account, need, now) {
		return response, nil
	}
	return response, l.group.updated
}
