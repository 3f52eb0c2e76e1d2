package claim

import (
	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// Keep writes the answer of a claimed request to its claim row, so that a
// retry gets it replayed. An answer with status 0 says that it was lost.
func (s *System) Keep(w *world.World, r *entity.Request, answer entity.Answer) {
	row := entity.ClaimRow{
		Holder: w.Self.Incarnation, Token: r.ClaimToken, Fingerprint: r.Fingerprint,
		Done: true, Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body,
	}
	r.RecordDue = answer.Status != 0
	r.RecordBy = w.Now.Add(w.Policy.RecordWait)
	s.records.Put(keyOf(r), &record{request: r, row: row, version: r.ClaimVersion})
}

func (s *System) tickRecords(w *world.World) {
	for _, key := range s.records.Keys() {
		rec, _ := s.records.Get(key)
		if rec.request.RecordDue && !w.Now.Before(rec.request.RecordBy) {
			rec.request.RecordDue = false
		}
		if !rec.busy && !w.Now.Before(rec.nextAt) {
			s.write(w, key, rec)
		}
	}
}

// write puts the outcome. The row has one writer, so that repeating the put
// is harmless; the check only guards against a row that is not ours.
func (s *System) write(w *world.World, key string, rec *record) {
	rec.busy = true
	id := w.NextID()
	s.calls.Put(id, &call{kind: callRecord, key: key})
	w.Emit(outbox.Transact{
		ID:     id,
		Checks: []entity.Check{{Key: key, Version: rec.version}},
		Puts:   []entity.Put{{Key: key, Document: rec.row}},
	})
	w.Emit(outbox.Count{Counter: world.CounterTable, Reason: "claimOutcome"})
}

func (s *System) recorded(w *world.World, key string, e inbox.TransactDone) {
	rec, ok := s.records.Get(key)
	if !ok {
		return
	}
	rec.busy = false
	if e.Outcome == inbox.Unknown {
		rec.nextAt = w.Now.Add(w.Policy.ResendMin)
		return
	}
	if e.Outcome == inbox.Conflicted && len(e.Current) == 1 {
		row, _ := e.Current[0].Document.(entity.ClaimRow)
		if row.Token == rec.row.Token && !row.Done {
			rec.version = e.Current[0].Version
			return
		}
	}
	rec.request.RecordDue = false
	s.records.Delete(key)
}

// tickWithdrawals deletes claims whose requests were never sent.
func (s *System) tickWithdrawals(w *world.World) {
	if !w.TableUp {
		return
	}
	for _, key := range s.dropped.Keys() {
		at, _ := s.withdraws.Get(key)
		if w.Now.Before(at) {
			continue
		}
		s.withdraws.Put(key, w.Now.Add(w.Policy.ResendMax))
		id := w.NextID()
		s.calls.Put(id, &call{kind: callWithdrawRead, key: key})
		w.Emit(outbox.Read{ID: id, Keys: []string{key}})
	}
}

func (s *System) withdrawRead(w *world.World, key string, e inbox.ReadDone) {
	mine, ok := s.dropped.Get(key)
	if !ok || !e.OK || len(e.Rows) != 1 {
		return
	}
	row, _ := e.Rows[0].Document.(entity.ClaimRow)
	if row.Token != mine.Token || row.Done {
		s.dropped.Delete(key)
		s.withdraws.Delete(key)
		return
	}
	id := w.NextID()
	s.calls.Put(id, &call{kind: callWithdraw, key: key})
	w.Emit(outbox.Transact{
		ID:     id,
		Checks: []entity.Check{{Key: key, Version: e.Rows[0].Version}},
		Puts:   []entity.Put{{Key: key, Document: entity.Absent{}}},
	})
}
