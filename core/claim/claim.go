// Package claim makes non-idempotent requests run at most once. A claim row,
// inserted only if absent, commits before the first byte goes to an endpoint.
// Claims have no lease and never lapse.
package claim

import (
	"fmt"
	"time"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// System claims requests, keeps their answers and replays them.
type System struct {
	calls     entity.Table[int64, *call]            // table calls under way by id
	records   entity.Table[string, *record]         // outcomes to write, by claim key
	watching  entity.Table[int64, *entity.Request]  // claimed by another VM
	dropped   entity.Table[string, entity.ClaimRow] // claims to withdraw
	withdraws entity.Table[string, time.Time]       // next try of each withdrawal
}

type kind int

const (
	callInsert kind = iota
	callWatch
	callRecord
	callWithdrawRead
	callWithdraw
)

type call struct {
	kind    kind
	key     string
	request *entity.Request
}

// record is the outcome of a claimed request on its way to the table.
type record struct {
	request *entity.Request
	row     entity.ClaimRow
	version int64
	nextAt  time.Time
	busy    bool
}

// New returns the claim system.
func New() *System { return &System{} }

// Pending returns how many outcomes and withdrawals are not yet in the table.
func (s *System) Pending() int { return s.records.Len() + s.dropped.Len() }

// Handle implements world.System.
func (s *System) Handle(w *world.World, event inbox.Event) {
	switch e := event.(type) {
	case inbox.TransactDone:
		if c, ok := s.calls.Get(e.ID); ok {
			s.calls.Delete(e.ID)
			s.transactDone(w, c, e)
		}
	case inbox.ReadDone:
		if c, ok := s.calls.Get(e.ID); ok {
			s.calls.Delete(e.ID)
			s.readDone(w, c, e)
		}
	}
}

// Tick implements world.System.
func (s *System) Tick(w *world.World) {
	for _, r := range w.Take(entity.PhaseClaiming) {
		s.claim(w, r)
	}
	for _, r := range w.Take(entity.PhaseWatching) {
		r.WatchUntil = w.Now.Add(w.Policy.WatchFor)
		s.watching.Put(r.ID, r)
		s.watch(w, r)
	}
	for _, r := range w.Ended {
		if r.ClaimHeld {
			s.drop(r)
		}
	}
	s.expire(w)
	s.tickRecords(w)
	s.tickWithdrawals(w)
}

func keyOf(r *entity.Request) string { return entity.ClaimKey(r.Account, r.RequestKey) }

// claim inserts the claim row unless this request already holds it.
func (s *System) claim(w *world.World, r *entity.Request) {
	if r.ClaimHeld {
		w.Enter(r, entity.PhaseRunning)
		return
	}
	if r.ClaimToken == "" {
		r.ClaimToken = fmt.Sprintf("%s-%d", w.Self.Incarnation, r.ID)
		r.WatchUntil = w.Now.Add(w.Policy.WatchFor)
	}
	s.insert(w, r)
}

func (s *System) insert(w *world.World, r *entity.Request) {
	row := entity.ClaimRow{Holder: w.Self.Incarnation, Token: r.ClaimToken, Fingerprint: r.Fingerprint}
	id := w.NextID()
	s.calls.Put(id, &call{kind: callInsert, key: keyOf(r), request: r})
	w.Emit(outbox.Transact{
		ID:     id,
		Checks: []entity.Check{{Key: keyOf(r)}},
		Puts:   []entity.Put{{Key: keyOf(r), Document: row}},
	})
	w.Emit(outbox.Count{Counter: world.CounterTable, Reason: "claim"})
}

func (s *System) transactDone(w *world.World, c *call, e inbox.TransactDone) {
	switch c.kind {
	case callInsert:
		s.inserted(w, c.request, e)
	case callRecord:
		s.recorded(w, c.key, e)
	case callWithdraw:
		if e.Outcome != inbox.Unknown {
			s.dropped.Delete(c.key)
			s.withdraws.Delete(c.key)
		}
	}
}

// inserted takes the outcome of the insert. After a lost answer the same
// insert is sent again: its token tells this request's claim from another's.
func (s *System) inserted(w *world.World, r *entity.Request, e inbox.TransactDone) {
	if r.Phase != entity.PhaseClaiming {
		s.drop(r)
		return
	}
	switch e.Outcome {
	case inbox.Committed:
		s.hold(w, r, e.Version)
	case inbox.Conflicted:
		s.taken(w, r, e.Current)
	case inbox.Unknown:
		s.retry(w, r)
	}
}

func (s *System) hold(w *world.World, r *entity.Request, version int64) {
	r.ClaimHeld, r.ClaimVersion = true, version
	w.Enter(r, entity.PhaseRunning)
}

// retry sends the insert again while its request may still wait.
func (s *System) retry(w *world.World, r *entity.Request) {
	if w.Now.Before(r.WatchUntil) && w.Now.Sub(r.Arrived) < w.Policy.FundingWait {
		s.insert(w, r)
		w.Emit(outbox.Count{Counter: world.CounterRetries, Reason: "claimAnswerLost"})
		return
	}
	s.drop(r)
	w.Refuse(r, entity.ReasonClaimUnreachable, time.Second)
}

// drop has a claim withdrawn whose request was never sent.
func (s *System) drop(r *entity.Request) {
	if r.ClaimToken == "" || r.Exposed() {
		return
	}
	s.dropped.Put(keyOf(r), entity.ClaimRow{Token: r.ClaimToken})
}

// taken handles a claim row that already exists.
func (s *System) taken(w *world.World, r *entity.Request, current []entity.Row) {
	if len(current) != 1 {
		s.retry(w, r)
		return
	}
	row, _ := current[0].Document.(entity.ClaimRow)
	if row.Token == r.ClaimToken {
		s.hold(w, r, current[0].Version)
		return
	}
	r.ClaimToken = ""
	r.Expose()
	s.observe(w, r, row)
}

// observe decides on another VM's claim: replay, refuse or wait for it.
func (s *System) observe(w *world.World, r *entity.Request, row entity.ClaimRow) {
	switch {
	case row.Fingerprint != r.Fingerprint:
		r.Withdraw(entity.NeverRan{Attempt: r.Attempt})
		w.Refuse(r, entity.ReasonKeyReused, 0)
	case row.Done && row.Status == 0:
		w.Refuse(r, entity.ReasonOutcomeUnknown, 0)
	case row.Done:
		w.Emit(outbox.Replay{Request: r.ID, Answer: entity.Answer{Status: row.Status, ContentType: row.ContentType, Body: row.Body}})
		w.Close(r)
	case r.Phase != entity.PhaseWatching:
		w.Enter(r, entity.PhaseWatching)
	}
}

func (s *System) watch(w *world.World, r *entity.Request) {
	id := w.NextID()
	s.calls.Put(id, &call{kind: callWatch, key: keyOf(r), request: r})
	w.Emit(outbox.Read{ID: id, Keys: []string{keyOf(r)}})
}

func (s *System) readDone(w *world.World, c *call, e inbox.ReadDone) {
	switch c.kind {
	case callWatch:
		s.watched(w, c.request, e)
	case callWithdrawRead:
		s.withdrawRead(w, c.key, e)
	}
}

// watched looks at the claim that another VM holds. A row that is gone was
// withdrawn by its holder, which proves that the holder never sent it.
func (s *System) watched(w *world.World, r *entity.Request, e inbox.ReadDone) {
	if r.Phase != entity.PhaseWatching {
		return
	}
	r.WatchAt = w.Now.Add(w.Policy.WatchEvery)
	if !e.OK || len(e.Rows) != 1 {
		return
	}
	if e.Rows[0].Version == 0 {
		s.watching.Delete(r.ID)
		r.Withdraw(entity.NeverRan{Attempt: r.Attempt})
		w.Enter(r, entity.PhaseQueued)
		return
	}
	row, _ := e.Rows[0].Document.(entity.ClaimRow)
	s.observe(w, r, row)
}

// expire ends the wait for claims of other VMs, and asks again until then.
func (s *System) expire(w *world.World) {
	for _, r := range s.watching.Rows() {
		switch {
		case r.Phase != entity.PhaseWatching:
			s.watching.Delete(r.ID)
		case !w.Now.Before(r.WatchUntil):
			s.watching.Delete(r.ID)
			w.Refuse(r, entity.ReasonOutcomeUnknown, w.Policy.WatchFor)
		case !r.WatchAt.IsZero() && !w.Now.Before(r.WatchAt):
			r.WatchAt = time.Time{}
			s.watch(w, r)
		}
	}
}
