package config

import (
	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// maxTries bounds how often one command meets other operators' changes.
const maxTries = 20

// change is an operator's command on its way into the table.
type change struct {
	inbox.ChangeAsked
	call   int64
	tries  int
	change entity.Change
	by     string     // operator
	budget entity.Row // of a top-up
}

// Failures of operators' commands.
const (
	FailureConflict     = "conflict"
	FailureUnreachable  = "tableUnreachable"
	FailureUnauthorized = "unauthorized"
)

// begin reads what the command builds on. Reading the operation's row first
// makes a repeated command take effect once.
func (s *System) begin(w *world.World, e inbox.ChangeAsked) {
	name, ok := Operator(w, e.KeyHash)
	if !ok {
		w.Emit(outbox.ChangeDone{ID: e.ID, Failure: FailureUnauthorized})
		return
	}
	s.read(w, &change{ChangeAsked: e, by: name})
}

// Operator returns the name of the operator whose secret has the hash. The
// bootstrap key counts until the first operator's key is in force.
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

func (s *System) read(w *world.World, c *change) {
	keys := []string{entity.OperationKey(c.Operation), entity.HeadKey}
	if t, ok := c.Item.(entity.TopUp); ok {
		keys = append(keys, entity.BudgetKey(t.Budget))
	}
	c.call = w.NextID()
	s.asked.Put(c.call, c)
	w.Emit(outbox.Read{ID: c.call, Keys: keys})
}

// operationRead composes the change on what was read.
func (s *System) operationRead(w *world.World, e inbox.ReadDone) {
	c, ok := s.asked.Get(e.ID)
	if !ok {
		return
	}
	s.asked.Delete(e.ID)
	if !e.OK || len(e.Rows) < 2 {
		s.again(w, c)
		return
	}
	if done, ok := e.Rows[0].Document.(entity.Change); ok {
		s.finish(w, c, done.Version)
		return
	}
	head, _ := e.Rows[1].Document.(entity.ConfigHead)
	if head.Version > w.Config.Version {
		s.known = max(s.known, head.Version)
	}
	if len(e.Rows) > 2 {
		c.budget = e.Rows[2]
	}
	if s.superseded(w, c, head.Version) {
		return
	}
	s.commit(w, c, e.Rows[1].Version, head.Version+1)
}

// superseded tells whether the operator built on an older version of the
// item. The operator is shown the change that won.
func (s *System) superseded(w *world.World, c *change, head int64) bool {
	if c.Expected < 0 {
		return false
	}
	if head > w.Config.Version {
		s.again(w, c)
		return true
	}
	last, _ := w.Config.Modified.Get(c.Item.ItemName())
	if last == c.Expected {
		return false
	}
	w.Emit(outbox.ChangeDone{ID: c.ID, Failure: FailureConflict, Conflict: s.find(last)})
	return true
}

func (s *System) find(version int64) *entity.Change {
	for i := range s.log {
		if s.log[i].Version == version {
			found := s.log[i]
			return &found
		}
	}
	return &entity.Change{Version: version}
}

func (s *System) commit(w *world.World, c *change, headRow, version int64) {
	c.change = entity.Change{
		Version: version, Operation: c.Operation, Operator: c.by,
		UnixMillis: w.Now.UnixMilli(), Remove: c.Remove, Item: c.Item,
	}
	operation := entity.OperationKey(c.Operation)
	checks := []entity.Check{{Key: operation}, {Key: entity.HeadKey, Version: headRow}}
	puts := []entity.Put{
		{Key: operation, Document: c.change},
		{Key: entity.HeadKey, Document: entity.ConfigHead{Version: version}},
		{Key: entity.ChangeKey(version), Document: c.change},
	}
	if t, ok := c.Item.(entity.TopUp); ok {
		row, _ := c.budget.Document.(entity.BudgetRow)
		row.Prepaid += t.Tokens
		checks = append(checks, entity.Check{Key: c.budget.Key, Version: c.budget.Version})
		puts = append(puts, entity.Put{Key: c.budget.Key, Document: row})
	}
	c.call = w.NextID()
	s.asked.Put(c.call, c)
	w.Emit(outbox.Transact{ID: c.call, Checks: checks, Puts: puts})
}

// transactDone reads again after a conflict or a lost answer: the operation's
// row tells whether the change took effect.
func (s *System) transactDone(w *world.World, e inbox.TransactDone) {
	c, ok := s.asked.Get(e.ID)
	if !ok {
		return
	}
	s.asked.Delete(e.ID)
	if e.Outcome != inbox.Committed {
		s.again(w, c)
		return
	}
	s.known = max(s.known, c.change.Version)
	s.apply(w, []entity.Change{c.change})
	s.finish(w, c, c.change.Version)
}

func (s *System) again(w *world.World, c *change) {
	c.tries++
	if c.tries >= maxTries && c.ID == 0 {
		s.waiting = append(s.waiting, c)
		return
	}
	if c.tries >= maxTries {
		w.Emit(outbox.ChangeDone{ID: c.ID, Failure: FailureUnreachable})
		return
	}
	s.read(w, c)
}

func (s *System) finish(w *world.World, c *change, version int64) {
	if c.ID == 0 {
		return
	}
	w.Emit(outbox.ChangeDone{ID: c.ID, Version: version})
}

// Quarantine puts a quarantine into the configuration on this VM's own
// account. It is repeated by itself until the table takes it.
func (s *System) Quarantine(w *world.World, fingerprint string) {
	s.read(w, &change{
		ChangeAsked: inbox.ChangeAsked{
			Operation: "quarantine-" + fingerprint + "-" + w.Self.Incarnation + "-" + entity.Decimal(w.Config.Version),
			Expected:  -1,
			Item:      entity.Quarantine{Fingerprint: fingerprint},
		},
		by: w.Self.Name,
	})
}
