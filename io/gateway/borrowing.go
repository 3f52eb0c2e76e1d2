package gateway

import (
	"time"

	"hawthornspar/core/escrow"
	"hawthornspar/core/home"
)

// borrowing borrows tokens for one request.
type borrowing struct {
	borrower  *borrower
	rotation  *escrow.Rotation // of the account's lenders
	group     *group
	account   string
	tokens    int64
	responses int       // lenders that responded
	reported  shortfall // what those lenders reported
}

// run requests loans from the lenders in turn until no request of the account
// waits for tokens, or none of the lenders has lent anything in a whole round. An
// active home VM first leaves the store time to cover the shortfall.
func (bw *borrowing) run() {
	defer bw.finish()
	if bw.isActiveHome() && !bw.group.storeFailing.Load() {
		time.Sleep(storeHeadStart)
	}
	lenders := bw.lenders()
	for unanswered := 0; unanswered < len(lenders); unanswered++ {
		need, want := bw.shortfall()
		if need == 0 {
			return
		}
		v := lenders[bw.rotation.Next(len(lenders))]
		lent := bw.borrowFrom(v, need, want)
		bw.rotation.Record(lent, want)
		if bw.reported.exhausted {
			break
		}
		if lent > 0 {
			unanswered = -1
		}
	}
	if need, _ := bw.shortfall(); need > 0 && bw.responses > 0 {
		bw.recordShortfall(need)
	}
}

// recordShortfall records for later requests that the other VMs did not lend
// enough.
func (bw *borrowing) recordShortfall(need int64) {
	now := time.Now()
	sf := bw.reported
	sf.tokens = need
	if !sf.expected || sf.retryAt.After(now.Add(shortfallPause)) {
		sf.expected = sf.expected && !sf.exhausted
		sf.retryAt = now.Add(shortfallPause)
	}
	bw.borrower.gateway.log.V(1).Info("budget not borrowed", "account", bw.account, "need", need, "exhausted", sf.exhausted, "later", sf.expected)
	bw.borrower.setShortfall(bw.account, sf)
}

// finish lets the next borrowing of the account start, and wakes the requests
// that wait for tokens.
func (bw *borrowing) finish() {
	bw.borrower.mu.Lock()
	delete(bw.borrower.inProgress, bw.account)
	bw.borrower.mu.Unlock()
	s := bw.borrower.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	bw.group.notifyUpdate()
}

// isActiveHome reports whether this VM is an active home VM of the group.
func (bw *borrowing) isActiveHome() bool {
	s := bw.borrower.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return bw.group.isActiveHome()
}

// shortfall returns the tokens that a waiting request is missing, and the number
// that is worth borrowing.
func (bw *borrowing) shortfall() (need, want int64) {
	s := bw.borrower.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return bw.group.budgets.WaitingShortfall(bw.account, bw.tokens, time.Now())
}

// lenders returns the VMs to borrow from. A home VM knows the allocations of the
// others and borrows from those with free tokens; any other VM borrows from the
// home VMs.
func (bw *borrowing) lenders() []home.VM {
	s := bw.borrower.gateway.state
	s.mu.Lock()
	var vms []home.VM
	if bw.group.isActiveHome() {
		for _, l := range bw.group.budgets.Lenders(bw.account) {
			vms = append(vms, home.VM{Name: l.VM, Address: l.Address})
		}
	} else {
		vms = bw.group.homes
	}
	s.mu.Unlock()
	vms = bw.borrower.responsive(vms)
	return vms[:min(len(vms), maxLenders)]
}

// borrowFrom requests a loan from one VM and adds it to the account's tokens. It
// returns the number of tokens lent.
func (bw *borrowing) borrowFrom(v home.VM, need, want int64) int64 {
	g := bw.borrower.gateway
	response, err := bw.borrower.requestLoan(v, loan{Account: bw.account, Need: need, Want: want, FromHome: bw.isActiveHome()})
	if err != nil {
		bw.borrower.markFailed(v, err)
		return 0
	}
	g.log.V(1).Info("budget borrowed", "account", bw.account, "lender", v.Name, "need", need, "given", response.Lent,
		"exhausted", response.Exhausted, "laterMs", response.RetryAfterMs)
	bw.responses++
	bw.recordResponse(response)
	if response.Lent == 0 {
		return 0
	}
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	bw.group.budgets.AddLoan(bw.account, response.Lent)
	bw.group.notifyUpdate()
	return response.Lent
}

// recordResponse records what a response says about later requests. Of several
// times it retains the earliest.
func (bw *borrowing) recordResponse(response loan) {
	bw.reported.exhausted = bw.reported.exhausted || response.Exhausted
	if response.RetryAfterMs == 0 {
		return
	}
	at := time.Now().Add(time.Duration(response.RetryAfterMs) * time.Millisecond)
	if !bw.reported.expected || at.Before(bw.reported.retryAt) {
		bw.reported.expected, bw.reported.retryAt = true, at
	}
}
