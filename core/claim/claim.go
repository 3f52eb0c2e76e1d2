// Package claim makes non-idempotent requests run at most once. A claim row,
// inserted only if absent, is committed before the first byte is sent to an
// endpoint. Claims have no lease and never expire.
package claim

import (
	"fmt"
	"time"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/notrun"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// System claims requests, stores their responses and replays them.
type System struct {
	calls       entity.Table[int64, *tableCall]       // calls in progress, by ID
	outcomes    entity.Table[string, *pendingOutcome] // outcomes to write, by claim key
	watching    entity.Table[int64, *entity.Request]  // requests whose claim another request holds, by ID
	withdrawals entity.Table[string, entity.ClaimRow] // claims to delete, by claim key
	withdrawAt  entity.Table[string, time.Time]       // when each withdrawal is due next, by claim key
}

// callKind is the purpose of a call to the table service.
type callKind int

// Purposes of calls to the table service.
const (
	callInsert         callKind = iota // inserts a request's claim
	callRead                           // reads the claim that another request holds
	callWriteOutcome                   // writes the outcome of a claimed request
	callReadWithdrawal                 // reads a claim before its withdrawal
	callDelete                         // withdraws a claim
)

// tableCall is a call to the table service in progress.
type tableCall struct {
	kind    callKind
	key     string
	request *entity.Request // set for callInsert and callRead
}

// pendingOutcome is the outcome of a claimed request that is not yet written to
// its claim row.
type pendingOutcome struct {
	request *entity.Request
	row     entity.ClaimRow
	version int64 // of the claim row
	retryAt time.Time
	writing bool
}

// New returns the claim system.
func New() *System { return &System{} }

// Pending returns the number of outcomes and withdrawals that are not yet in the
// table.
func (s *System) Pending() int { return s.outcomes.Len() + s.withdrawals.Len() }

// Handle implements world.System.
func (s *System) Handle(w *world.World, event inbox.Event) {
	switch e := event.(type) {
	case inbox.TransactDone:
		if c, ok := s.calls.Get(e.ID); ok {
			s.calls.Delete(e.ID)
			s.handleTransact(w, c, e)
		}
	case inbox.ReadDone:
		if c, ok := s.calls.Get(e.ID); ok {
			s.calls.Delete(e.ID)
			s.handleRead(w, c, e)
		}
	}
}

// Tick implements world.System.
func (s *System) Tick(w *world.World) {
	for _, r := range w.TakeEntered(entity.PhaseClaiming) {
		s.claim(w, r)
	}
	for _, r := range w.TakeEntered(entity.PhaseWatching) {
		r.WatchDeadline = w.Now.Add(w.Policy.WatchTimeout)
		s.watching.Put(r.ID, r)
		s.readClaim(w, r)
	}
	for _, r := range w.ClosedLastPass {
		if r.ClaimHeld {
			s.scheduleWithdrawal(r)
		}
	}
	s.pollWatches(w)
	s.writeDueOutcomes(w)
	s.withdrawClaims(w)
}

// claimKey returns the key of the request's claim row.
func claimKey(r *entity.Request) string { return entity.ClaimKey(r.Account, r.RequestKey) }

// claim inserts the claim row unless the request already holds its claim, as it
// does on a retry.
func (s *System) claim(w *world.World, r *entity.Request) {
	if r.ClaimHeld {
		w.SetPhase(r, entity.PhaseRunning)
		return
	}
	if r.ClaimToken == "" {
		r.ClaimToken = fmt.Sprintf("%s-%d", w.Self.Incarnation, r.ID)
		r.WatchDeadline = w.Now.Add(w.Policy.WatchTimeout)
	}
	s.insert(w, r)
}

// insert writes the claim row on the condition that no row exists.
func (s *System) insert(w *world.World, r *entity.Request) {
	row := entity.ClaimRow{Holder: w.Self.Incarnation, Token: r.ClaimToken, Fingerprint: r.Fingerprint}
	id := w.NextID()
	s.calls.Put(id, &tableCall{kind: callInsert, key: claimKey(r), request: r})
	w.Emit(outbox.Transact{
		ID:     id,
		Checks: []entity.Check{{Key: claimKey(r)}},
		Puts:   []entity.Put{{Key: claimKey(r), Document: row}},
	})
	w.Emit(outbox.Count{Counter: world.CounterTable, Reason: "claim"})
}

func (s *System) handleTransact(w *world.World, c *tableCall, e inbox.TransactDone) {
	switch c.kind {
	case callInsert:
		s.handleInsert(w, c.request, e)
	case callWriteOutcome:
		s.handleOutcomeWritten(w, c.key, e)
	case callDelete:
		if e.Outcome != inbox.TransactUnknown {
			s.withdrawals.Delete(c.key)
			s.withdrawAt.Delete(c.key)
		}
	}
}

// handleInsert handles the result of an insert. If the result is unknown, the
// same insert is repeated: the token distinguishes this request's claim from
// that of another request.
func (s *System) handleInsert(w *world.World, r *entity.Request, e inbox.TransactDone) {
	if r.Phase != entity.PhaseClaiming {
		s.scheduleWithdrawal(r)
		return
	}
	switch e.Outcome {
	case inbox.TransactCommitted:
		s.acquire(w, r, e.Version)
	case inbox.TransactConflicted:
		s.handleConflict(w, r, e.Current)
	case inbox.TransactUnknown:
		s.retryInsert(w, r)
	}
}

// acquire records that the request holds its claim and lets it run.
func (s *System) acquire(w *world.World, r *entity.Request, version int64) {
	r.ClaimHeld, r.ClaimVersion = true, version
	w.SetPhase(r, entity.PhaseRunning)
}

// retryInsert repeats the insert while the request may still wait, and then
// refuses the request.
func (s *System) retryInsert(w *world.World, r *entity.Request) {
	if w.Now.Before(r.WatchDeadline) && w.Now.Sub(r.Arrived) < w.Policy.FundingTimeout {
		s.insert(w, r)
		w.Emit(outbox.Count{Counter: world.CounterRetries, Reason: "claimAnswerLost"})
		return
	}
	s.scheduleWithdrawal(r)
	w.Refuse(r, entity.ReasonClaimUnreachable, time.Second)
}

// scheduleWithdrawal schedules the deletion of the request's claim if no endpoint
// may have run the request.
func (s *System) scheduleWithdrawal(r *entity.Request) {
	if r.ClaimToken == "" || r.PossiblyRun() {
		return
	}
	s.withdrawals.Put(claimKey(r), entity.ClaimRow{Token: r.ClaimToken})
}

// handleConflict handles a claim row that already exists. A row with the
// request's own token was inserted by an earlier call whose result was lost. With
// any other row the request counts as possibly run, since the request that
// holds the claim may have run.
func (s *System) handleConflict(w *world.World, r *entity.Request, current []entity.Row) {
	if len(current) != 1 {
		s.retryInsert(w, r)
		return
	}
	row, _ := current[0].Document.(entity.ClaimRow)
	if row.Token == r.ClaimToken {
		s.acquire(w, r, current[0].Version)
		return
	}
	r.ClaimToken = ""
	r.MarkPossiblyRun()
	s.resolve(w, r, row)
}

// resolve decides what follows from a claim that another request holds. It
// replays the stored response, refuses the request if the key was used for a
// different body or the outcome is unknown, or waits for the outcome.
func (s *System) resolve(w *world.World, r *entity.Request, row entity.ClaimRow) {
	switch {
	case row.Fingerprint != r.Fingerprint:
		r.ConfirmNotRun(r.Attempt, notrun.FromFingerprints(r.Fingerprint, row.Fingerprint))
		w.Refuse(r, entity.ReasonKeyReused, 0)
	case row.Done && row.Status == 0:
		w.Refuse(r, entity.ReasonOutcomeUnknown, 0)
	case row.Done:
		w.Emit(outbox.Replay{Request: r.ID, Response: entity.AppResponse{Status: row.Status, ContentType: row.ContentType, Body: row.Body}})
		w.Close(r)
	case r.Phase != entity.PhaseWatching:
		w.SetPhase(r, entity.PhaseWatching)
	}
}

// readClaim reads the claim row that another request holds.
func (s *System) readClaim(w *world.World, r *entity.Request) {
	id := w.NextID()
	s.calls.Put(id, &tableCall{kind: callRead, key: claimKey(r), request: r})
	w.Emit(outbox.Read{ID: id, Keys: []string{claimKey(r)}})
}

func (s *System) handleRead(w *world.World, c *tableCall, e inbox.ReadDone) {
	switch c.kind {
	case callRead:
		s.handleClaimRead(w, c.request, e)
	case callReadWithdrawal:
		s.handleWithdrawalRead(w, c.key, e)
	}
}

// handleClaimRead handles the row of a claim that another request holds. If the
// row no longer exists, its holder withdrew it, which proves that the holder
// never sent its request to an endpoint.
func (s *System) handleClaimRead(w *world.World, r *entity.Request, e inbox.ReadDone) {
	if r.Phase != entity.PhaseWatching {
		return
	}
	r.NextWatchAt = w.Now.Add(w.Policy.WatchInterval)
	if !e.OK || len(e.Rows) != 1 {
		return
	}
	if e.Rows[0].Version == 0 {
		s.watching.Delete(r.ID)
		r.ConfirmNotRun(r.Attempt, notrun.FromClaim(e.Rows[0].Version))
		w.SetPhase(r, entity.PhaseQueued)
		return
	}
	row, _ := e.Rows[0].Document.(entity.ClaimRow)
	s.resolve(w, r, row)
}

// pollWatches reads the claims of other requests at intervals, and refuses the
// requests that waited for them too long.
func (s *System) pollWatches(w *world.World) {
	for _, r := range s.watching.Rows() {
		switch {
		case r.Phase != entity.PhaseWatching:
			s.watching.Delete(r.ID)
		case !w.Now.Before(r.WatchDeadline):
			s.watching.Delete(r.ID)
			w.Refuse(r, entity.ReasonOutcomeUnknown, w.Policy.WatchTimeout)
		case !r.NextWatchAt.IsZero() && !w.Now.Before(r.NextWatchAt):
			r.NextWatchAt = time.Time{}
			s.readClaim(w, r)
		}
	}
}
