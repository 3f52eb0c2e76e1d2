// Package recovery returns the grants of dead incarnations to their budgets,
// on evidence of death and never by timeout.
package recovery

import (
	"slices"
	"time"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// maxBudgetsPerStep bounds one recovery transaction.
const maxBudgetsPerStep = 100

// Holder keeps other VMs' charges.
type Holder interface {
	Freeze(origin string) []entity.Charge
	Drop(origin string)
}

// Registry knows this VM's row.
type Registry interface {
	Registered() bool
	Row() entity.VMRow
}

// System recovers the incarnations that this VM's row lists as unrecovered,
// and adopts those of VMs that the platform removed.
type System struct {
	holder   Holder
	registry Registry
	job      *job
	adoptAt  time.Time
	reads    entity.Table[int64, readKind]
	adopt    entity.Row // row of a removed VM
	adopting bool
	composed step
}

type readKind int

const (
	readVMs readKind = iota
	readGrants
	readBudgets
	readRemoved
)

// step is the composed transaction.
type step struct {
	kind   stepKind
	grants int
}

type stepKind int

const (
	stepNone stepKind = iota
	stepAdopt
	stepReturn
	stepFinish
)

// New returns the recovery system.
func New(holder Holder) *System { return &System{holder: holder} }

// Bind gives the system the registry, which is built after it.
func (s *System) Bind(registry Registry) { s.registry = registry }

// Busy tells whether incarnations are left to recover.
func (s *System) Busy() bool { return len(s.registry.Row().Unrecovered) > 0 }

// Handle implements world.System.
func (s *System) Handle(w *world.World, event inbox.Event) {
	switch e := event.(type) {
	case inbox.PeerSaid:
		s.peerSaid(w, e)
	case inbox.ReadDone:
		if kind, ok := s.reads.Get(e.ID); ok {
			s.reads.Delete(e.ID)
			s.readDone(w, kind, e)
		}
	}
}

func (s *System) peerSaid(w *world.World, e inbox.PeerSaid) {
	switch m := e.Message.(type) {
	case entity.RecoverRequest:
		w.Send(e.From, entity.RecoverReply{Incarnation: m.Incarnation, Charges: s.holder.Freeze(m.Incarnation)})
	case entity.RecoverReply:
		s.replied(e.From, m)
	}
}

// replied collects the charges that one peer kept.
func (s *System) replied(from entity.VM, m entity.RecoverReply) {
	j := s.job
	if j == nil || j.stage != stageAsking || j.incarnation != m.Incarnation {
		return
	}
	i := slices.Index(j.pending, from.Name)
	incarnation, _ := j.asked.Get(from.Name)
	if i < 0 || incarnation != from.Incarnation {
		return
	}
	j.pending = slices.Delete(j.pending, i, i+1)
	for _, c := range m.Charges {
		j.charges.Put(c.ID(), c)
	}
}

// Tick implements world.System.
func (s *System) Tick(w *world.World) {
	if !s.registry.Registered() || !w.TableUp {
		return
	}
	s.seekRemoved(w)
	left := s.registry.Row().Unrecovered
	if len(left) == 0 {
		s.job = nil
		return
	}
	if s.job == nil || s.job.incarnation != left[0] {
		s.job = &job{incarnation: left[0]}
	}
	s.advance(w, s.job)
}

func (s *System) advance(w *world.World, j *job) {
	if w.Now.Before(j.nextAt) {
		return
	}
	j.nextAt = w.Now.Add(askEvery)
	switch j.stage {
	case stageListing:
		s.read(w, readVMs, nil, []string{entity.VMPrefix})
	case stageAsking:
		s.ask(w, j)
	case stageGrants:
		s.read(w, readGrants, nil, []string{entity.GrantsPrefix(j.incarnation)})
	case stageBudgets:
		s.read(w, readBudgets, j.budgetKeys(), nil)
	case stageWriting:
	}
}

// askEvery is the time between questions that were not answered.
const askEvery = 500 * time.Millisecond

func (s *System) read(w *world.World, kind readKind, keys, prefixes []string) {
	id := w.NextID()
	s.reads.Put(id, kind)
	w.Emit(outbox.Read{ID: id, Keys: keys, Prefixes: prefixes})
}

func (s *System) readDone(w *world.World, kind readKind, e inbox.ReadDone) {
	if kind == readRemoved {
		s.removedRead(w, e)
		return
	}
	j := s.job
	if j == nil || !e.OK {
		return
	}
	switch {
	case kind == readVMs && j.stage == stageListing:
		s.listed(w, j, e.Rows)
	case kind == readGrants && j.stage == stageGrants:
		j.grantsRead(e.Rows)
	case kind == readBudgets && j.stage == stageBudgets:
		j.budgetsRead(e.Rows)
	}
}

// listed asks every VM that is registered and not closed. Each of them must
// answer, since any may keep a charge of the dead incarnation.
func (s *System) listed(w *world.World, j *job, rows []entity.Row) {
	j.stage = stageAsking
	j.pending = nil
	for _, row := range rows {
		vm, _ := row.Document.(entity.VMRow)
		if vm.Closed || vm.Name == w.Self.Name {
			continue
		}
		j.pending = append(j.pending, vm.Name)
		j.asked.Put(vm.Name, vm.Incarnation)
	}
	for _, c := range s.holder.Freeze(j.incarnation) {
		j.charges.Put(c.ID(), c)
	}
	s.ask(w, j)
}

// ask repeats the question to those that have not answered. The list is read
// anew from time to time, as a VM in it may be replaced meanwhile.
func (s *System) ask(w *world.World, j *job) {
	if len(j.pending) == 0 {
		j.stage = stageGrants
		j.nextAt = w.Now
		return
	}
	for _, name := range j.pending {
		p, ok := w.Peers.Get(name)
		incarnation, _ := j.asked.Get(name)
		if ok && p.Incarnation == incarnation {
			w.Send(p.VM, entity.RecoverRequest{Incarnation: j.incarnation})
			continue
		}
		j.stage = stageListing
	}
}

// Compose implements ledger.Part.
func (s *System) Compose(w *world.World) ([]entity.Check, []entity.Put) {
	if s.adopting {
		return s.composeAdopt(w)
	}
	j := s.job
	if j == nil || j.stage != stageWriting {
		return nil, nil
	}
	if len(j.grants) == 0 {
		return s.composeFinish(w, j)
	}
	return s.composeReturn(j)
}

// composeReturn writes kept charges and gives back what is unspent.
func (s *System) composeReturn(j *job) ([]entity.Check, []entity.Put) {
	var checks []entity.Check
	var puts []entity.Put
	s.composed = step{kind: stepReturn, grants: len(j.part())}
	var ledger entity.LedgerRow
	for _, g := range j.part() {
		key := entity.BudgetKey(g.Budget)
		row, _ := j.budgets.Get(key)
		owed, charges := j.owed(g)
		ledger.Charges = append(ledger.Charges, charges...)
		budget, _ := row.Document.(entity.BudgetRow)
		budget.Returned += g.Unspent() - owed
		budget.Holders = slices.DeleteFunc(slices.Clone(budget.Holders), func(h string) bool { return h == j.incarnation })
		checks = append(checks, entity.Check{Key: key, Version: row.Version})
		puts = append(puts,
			entity.Put{Key: key, Document: budget},
			entity.Put{Key: entity.GrantKey(j.incarnation, g.Budget), Document: entity.Absent{}})
	}
	if len(ledger.Charges) > 0 {
		key := entity.LedgerKey(j.incarnation+"/recovered", j.batch)
		puts = append(puts, entity.Put{Key: key, Document: ledger})
	}
	return checks, puts
}

func (s *System) composeFinish(w *world.World, j *job) ([]entity.Check, []entity.Put) {
	s.composed = step{kind: stepFinish}
	row := s.registry.Row()
	row.Unrecovered = slices.DeleteFunc(slices.Clone(row.Unrecovered), func(i string) bool { return i == j.incarnation })
	return nil, []entity.Put{{Key: entity.VMKey(w.Self.Name), Document: row}}
}

// Committed implements ledger.Part.
func (s *System) Committed(w *world.World, _ int64) {
	switch s.composed.kind {
	case stepAdopt:
		s.adopting = false
	case stepReturn:
		s.returned()
	case stepFinish:
		w.Log("recovered", "incarnation", s.job.incarnation)
		s.holder.Drop(s.job.incarnation)
		s.tellDone(w, s.job.incarnation)
		s.job = nil
	}
	s.composed = step{}
}

func (s *System) returned() {
	j := s.job
	j.batch++
	j.grants = j.grants[s.composed.grants:]
	j.budgets = entity.Table[string, entity.Row]{}
	j.nextAt = time.Time{}
	j.stage = stageBudgets
	if len(j.grants) == 0 {
		j.stage = stageWriting
	}
}

// tellDone lets peers forget the charges of a recovered incarnation.
func (s *System) tellDone(w *world.World, incarnation string) {
	for _, p := range w.Heard() {
		w.Send(p.VM, entity.Recovered{Incarnation: incarnation})
	}
}

// Conflicted implements ledger.Part.
func (s *System) Conflicted(_ *world.World, _ []entity.Row) {
	switch s.composed.kind {
	case stepAdopt:
		s.adopting = false
	case stepReturn:
		s.job.stage = stageBudgets
		s.job.nextAt = time.Time{}
	}
	s.composed = step{}
}
