package gateway

import (
	"time"

	"hawthornspar/core/home"
)

// question borrows for one request.
type question struct {
	borrower *borrower
	group    *group
	account  string
	tokens   int64
	asked    int      // lenders that answered
	answers  shortage // what they said
}

func (q *question) run() {
	defer q.end()
	if q.keeps() && !q.group.storeLost.Load() {
		time.Sleep(storeFirst)
	}
	for _, l := range q.lenders() {
		need, want := q.lack()
		if need == 0 {
			return
		}
		q.borrow(l, need, want)
		if q.answers.exhausted {
			break
		}
	}
	if need, _ := q.lack(); need > 0 && q.asked > 0 {
		q.fall(need)
	}
}

// fall notes that the others could not help.
func (q *question) fall(need int64) {
	now := time.Now()
	s := q.answers
	s.tokens = need
	if !s.later || s.until.After(now.Add(shortagePause)) {
		s.later = s.later && !s.exhausted
		s.until = now.Add(shortagePause)
	}
	q.borrower.gateway.log.V(1).Info("budget not borrowed", "account", q.account, "need", need, "exhausted", s.exhausted, "later", s.later)
	q.borrower.note(q.account, s)
}

// end lets the account's next question begin, and wakes those that wait.
func (q *question) end() {
	q.borrower.mu.Lock()
	delete(q.borrower.busy, q.account)
	q.borrower.mu.Unlock()
	s := q.borrower.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	q.group.changed()
}

func (q *question) keeps() bool {
	s := q.borrower.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return q.group.keeps()
}

func (q *question) lack() (need, want int64) {
	s := q.borrower.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return q.group.book.Lack(q.account, q.tokens, time.Now())
}

// lenders returns the VMs to ask: a home knows what the others hold.
func (q *question) lenders() []home.VM {
	s := q.borrower.gateway.state
	s.mu.Lock()
	var vms []home.VM
	if q.group.keeps() {
		for _, l := range q.group.book.Lenders(q.account) {
			vms = append(vms, home.VM{Name: l.VM, Address: l.Address})
		}
	} else {
		vms = q.group.homes
	}
	s.mu.Unlock()
	vms = q.borrower.answering(vms)
	return vms[:min(len(vms), lendersAsked)]
}

func (q *question) borrow(v home.VM, need, want int64) {
	g := q.borrower.gateway
	answer, err := q.borrower.lend(v, loan{Account: q.account, Need: need, Want: want, Home: q.keeps()})
	if err != nil {
		q.borrower.markFailed(v, err)
		return
	}
	g.log.V(1).Info("budget borrowed", "account", q.account, "lender", v.Name, "need", need, "given", answer.Given,
		"exhausted", answer.Exhausted, "laterMs", answer.LaterMs)
	q.asked++
	q.hear(answer)
	if answer.Given == 0 {
		return
	}
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	q.group.book.Borrowed(q.account, answer.Given)
	q.group.changed()
}

// hear keeps what an answer says of later questions: the earliest time wins.
func (q *question) hear(answer loan) {
	q.answers.exhausted = q.answers.exhausted || answer.Exhausted
	if answer.LaterMs == 0 {
		return
	}
	at := time.Now().Add(time.Duration(answer.LaterMs) * time.Millisecond)
	if !q.answers.later || at.Before(q.answers.until) {
		q.answers.later, q.answers.until = true, at
	}
}
