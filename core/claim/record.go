package claim

import (
	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// Record writes the response of a claimed request to its claim row, for replay
// to a client's retry. Status 0 means that the outcome is unknown.
func (s *System) Record(w *world.World, r *entity.Request, response entity.AppResponse) {
	row := entity.ClaimRow{
		Holder: w.Self.Incarnation, Token: r.ClaimToken, Fingerprint: r.Fingerprint,
		Done: true, Status: response.Status, ContentType: response.ContentType, Body: response.Body,
	}
	r.RecordPending = response.Status != 0
	r.RecordDeadline = w.Now.Add(w.Policy.RecordTimeout)
	s.outcomes.Put(claimKey(r), &pendingOutcome{request: r, row: row, version: r.ClaimVersion})
}

// writeDueOutcomes writes the outcomes that are due. A request whose outcome was
// not written within the policy's wait no longer waits for it; the write goes on.
func (s *System) writeDueOutcomes(w *world.World) {
	for _, key := range s.outcomes.Keys() {
		p, _ := s.outcomes.Get(key)
		if p.request.RecordPending && !w.Now.Before(p.request.RecordDeadline) {
			p.request.RecordPending = false
		}
		if !p.writing && !w.Now.Before(p.retryAt) {
			s.writeOutcome(w, key, p)
		}
	}
}

// writeOutcome writes an outcome to its claim row. The row has a single writer,
// so a repeated write is harmless. The check only guards against a row that
// belongs to another request.
func (s *System) writeOutcome(w *world.World, key string, p *pendingOutcome) {
	p.writing = true
	id := w.NextID()
	s.calls.Put(id, &tableCall{kind: callWriteOutcome, key: key})
	w.Emit(outbox.Transact{
		ID:     id,
		Checks: []entity.Check{{Key: key, Version: p.version}},
		Puts:   []entity.Put{{Key: key, Document: p.row}},
	})
	w.Emit(outbox.Count{Counter: world.CounterTable, Reason: "claimOutcome"})
}

// handleOutcomeWritten handles the result of a write. A conflict with this
// request's own open claim means that the known version was outdated.
func (s *System) handleOutcomeWritten(w *world.World, key string, e inbox.TransactDone) {
	p, ok := s.outcomes.Get(key)
	if !ok {
		return
	}
	p.writing = false
	if e.Outcome == inbox.TransactUnknown {
		p.retryAt = w.Now.Add(w.Policy.ResendBackoffMin)
		return
	}
	if e.Outcome == inbox.TransactConflicted && len(e.Current) == 1 {
		row, _ := e.Current[0].Document.(entity.ClaimRow)
		if row.Token == p.row.Token && !row.Done {
			p.version = e.Current[0].Version
			return
		}
	}
	p.request.RecordPending = false
	s.outcomes.Delete(key)
}

// withdrawClaims starts the deletion of claims whose requests were never sent to
// an endpoint. It reads each row first.
func (s *System) withdrawClaims(w *world.World) {
	if !w.TableReachable {
		return
	}
	for _, key := range s.withdrawals.Keys() {
		at, _ := s.withdrawAt.Get(key)
		if w.Now.Before(at) {
			continue
		}
		s.withdrawAt.Put(key, w.Now.Add(w.Policy.ResendBackoffMax))
		id := w.NextID()
		s.calls.Put(id, &tableCall{kind: callReadWithdrawal, key: key})
		w.Emit(outbox.Read{ID: id, Keys: []string{key}})
	}
}

// handleWithdrawalRead deletes the claim row that was read, provided it is this
// request's own claim without an outcome.
func (s *System) handleWithdrawalRead(w *world.World, key string, e inbox.ReadDone) {
	own, ok := s.withdrawals.Get(key)
	if !ok || !e.OK || len(e.Rows) != 1 {
		return
	}
	row, _ := e.Rows[0].Document.(entity.ClaimRow)
	if row.Token != own.Token || row.Done {
		s.withdrawals.Delete(key)
		s.withdrawAt.Delete(key)
		return
	}
	id := w.NextID()
	s.calls.Put(id, &tableCall{kind: callDelete, key: key})
	w.Emit(outbox.Transact{
		ID:     id,
		Checks: []entity.Check{{Key: key, Version: e.Rows[0].Version}},
		Puts:   []entity.Put{{Key: key, Document: entity.Tombstone{}}},
	})
}
