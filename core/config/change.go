package config

import (
	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// maxAttempts bounds how often a change is tried while the table is unreachable
// or other changes are committed first.
const maxAttempts = 20

// proposal is a requested configuration change that is not yet committed. Its ID
// is 0 when this VM proposes the change itself.
type proposal struct {
	inbox.ChangeRequested
	requestID int64 // of the table request in progress
	attempts  int
	change    entity.Change // set when the change gets its version
	operator  string
	budgetRow entity.Row // of a top-up's budget
}

// Failures of operators' changes, as reported to the operator.
const (
	FailureConflict     = "conflict"
	FailureUnreachable  = "tableUnreachable"
	FailureUnauthorized = "unauthorized"
)

// propose authorizes an operator's change and reads the rows that it depends on.
// One of them is the row of the operation, so that a repeated operation takes
// effect only once.
func (s *System) propose(w *world.World, e inbox.ChangeRequested) {
	name, ok := Operator(w, e.KeyHash)
	if !ok {
		w.Emit(outbox.ChangeDone{ID: e.ID, Failure: FailureUnauthorized})
		return
	}
	s.readRows(w, &proposal{ChangeRequested: e, operator: name})
}

// Operator returns the name of the operator whose secret has the hash. The
// bootstrap secret is valid until the first operator's key is in force.
func Operator(w *world.World, hash string) (string, bool) {
	if key, ok := w.Config.Keys.Get(hash); ok && key.Operator != "" {
		return key.Operator, true
	}
	if hash == "" || hash != w.Policy.BootstrapHash {
		return "", false
	}
	for _, key := range w.Config.Keys.Rows() {
		if key.Operator != "" {
			return "", false
		}
	}
	return "bootstrap", true
}

// readRows reads the row of the operation, the head of the configuration and,
// for a top-up, the row of the budget.
func (s *System) readRows(w *world.World, p *proposal) {
	keys := []string{entity.OperationKey(p.Operation), entity.HeadKey}
	if t, ok := p.Item.(entity.TopUp); ok {
		keys = append(keys, entity.BudgetKey(t.Budget))
	}
	p.requestID = w.NextID()
	s.proposals.Put(p.requestID, p)
	w.Emit(outbox.Read{ID: p.requestID, Keys: keys})
}

// handleProposalRead commits the proposed change on top of the rows that were read,
// unless the operation is already committed or the change conflicts.
func (s *System) handleProposalRead(w *world.World, e inbox.ReadDone) {
	p, ok := s.proposals.Get(e.ID)
	if !ok {
		return
	}
	s.proposals.Delete(e.ID)
	if !e.OK || len(e.Rows) < 2 {
		s.retry(w, p)
		return
	}
	if done, ok := e.Rows[0].Document.(entity.Change); ok {
		s.finish(w, p, done.Version)
		return
	}
	head, _ := e.Rows[1].Document.(entity.ConfigHead)
	if head.Version > w.Config.Version {
		s.newestVersion = max(s.newestVersion, head.Version)
	}
	if len(e.Rows) > 2 {
		p.budgetRow = e.Rows[2]
	}
	if s.superseded(w, p, head.Version) {
		return
	}
	s.commit(w, p, e.Rows[1].Version, head.Version+1)
}

// superseded reports whether the change cannot be committed as read. If this VM
// lacks changes of the configuration, the proposal is tried again. If the item
// has changed since the version that the operator expects, the operator gets
// the conflicting change.
func (s *System) superseded(w *world.World, p *proposal, head int64) bool {
	if p.Expected < 0 {
		return false
	}
	if head > w.Config.Version {
		s.retry(w, p)
		return true
	}
	last, _ := w.Config.ModifiedVersions.Get(p.Item.ItemName())
	if last == p.Expected {
		return false
	}
	w.Emit(outbox.ChangeDone{ID: p.ID, Failure: FailureConflict, Conflict: s.findChange(last)})
	return true
}

// findChange returns the change with a version. Only the version is set when the
// change is no longer among the recent ones.
func (s *System) findChange(version int64) *entity.Change {
	for i := range s.recentChanges {
		if s.recentChanges[i].Version == version {
			found := s.recentChanges[i]
			return &found
		}
	}
	return &entity.Change{Version: version}
}

// commit writes the change with its version, on the condition that neither the
// operation, the head nor the budget has changed since they were read. headRow
// is the version of the head's row.
func (s *System) commit(w *world.World, p *proposal, headRow, version int64) {
	p.change = entity.Change{
		Version: version, Operation: p.Operation, Operator: p.operator,
		UnixMillis: w.Now.UnixMilli(), Remove: p.Remove, Item: p.Item,
	}
	operationKey := entity.OperationKey(p.Operation)
	checks := []entity.Check{{Key: operationKey}, {Key: entity.HeadKey, Version: headRow}}
	puts := []entity.Put{
		{Key: operationKey, Document: p.change},
		{Key: entity.HeadKey, Document: entity.ConfigHead{Version: version}},
		{Key: entity.ChangeKey(version), Document: p.change},
	}
	if t, ok := p.Item.(entity.TopUp); ok {
		row, _ := p.budgetRow.Document.(entity.BudgetRow)
		row.Prepaid += t.Tokens
		checks = append(checks, entity.Check{Key: p.budgetRow.Key, Version: p.budgetRow.Version})
		puts = append(puts, entity.Put{Key: p.budgetRow.Key, Document: row})
	}
	p.requestID = w.NextID()
	s.proposals.Put(p.requestID, p)
	w.Emit(outbox.Transact{ID: p.requestID, Checks: checks, Puts: puts})
}

// handleTransact applies a committed change. After a conflict or a lost response
// it tries again: the row of the operation then shows whether the change was
// committed.
func (s *System) handleTransact(w *world.World, e inbox.TransactDone) {
	p, ok := s.proposals.Get(e.ID)
	if !ok {
		return
	}
	s.proposals.Delete(e.ID)
	if e.Outcome != inbox.TransactCommitted {
		s.retry(w, p)
		return
	}
	s.newestVersion = max(s.newestVersion, p.change.Version)
	s.apply(w, []entity.Change{p.change})
	s.finish(w, p, p.change.Version)
}

// retry reads the rows again, up to maxAttempts times. After that it reports an
// operator's change as failed and defers a change of this VM.
func (s *System) retry(w *world.World, p *proposal) {
	p.attempts++
	if p.attempts >= maxAttempts && p.ID == 0 {
		s.deferred = append(s.deferred, p)
		return
	}
	if p.attempts >= maxAttempts {
		w.Emit(outbox.ChangeDone{ID: p.ID, Failure: FailureUnreachable})
		return
	}
	s.readRows(w, p)
}

// finish reports a committed change to the operator.
func (s *System) finish(w *world.World, p *proposal, version int64) {
	if p.ID == 0 {
		return
	}
	w.Emit(outbox.ChangeDone{ID: p.ID, Version: version})
}

// Quarantine adds a quarantine to the configuration in the name of this VM. The
// change is retried until it is committed.
func (s *System) Quarantine(w *world.World, fingerprint string) {
	s.readRows(w, &proposal{
		ChangeRequested: inbox.ChangeRequested{
			Operation: "quarantine-" + fingerprint + "-" + w.Self.Incarnation + "-" + entity.Decimal(w.Config.Version),
			Expected:  -1,
			Item:      entity.Quarantine{Fingerprint: fingerprint},
		},
		operator: w.Self.Name,
	})
}
