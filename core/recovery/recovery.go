// Package recovery returns the grants of failed incarnations to their budgets.
// An incarnation counts as failed only on evidence: a newer incarnation took
// its VM's row over, or the platform removed its VM. No timeout decides it.
package recovery

import (
	"slices"
	"time"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/core/outbox"
	"hawthornspar/core/world"
)

// maxGrantsPerTransaction is the most grants that one transaction returns.
const maxGrantsPerTransaction = 100

// CopyStore stores copies of other VMs' charges.
type CopyStore interface {
	// Freeze returns the charges stored for an origin and refuses further ones.
	Freeze(origin string) []entity.Charge
	// Drop deletes the charges stored for an origin.
	Drop(origin string)
}

// Registration is this VM's row in the table.
type Registration interface {
	// Registered reports whether this incarnation owns the row.
	Registered() bool
	// Row returns the row as last committed.
	Row() entity.VMRow
}

// System recovers the incarnations that this VM's row lists as unrecovered.
// It adds the incarnations of VMs that the platform removed to that list.
type System struct {
	copies        CopyStore
	registration  Registration
	job           *job      // recovery of the first unrecovered incarnation, nil for none
	findRemovedAt time.Time // next look for removed VMs
	reads         entity.Table[int64, readKind]
	removedRow    entity.Row // row of a removed VM, to adopt
	adopting      bool       // removedRow is not adopted yet
	composed      transaction
	batch         int64 // number of the next ledger row that this incarnation writes
}

// readKind is the purpose of a read in progress.
type readKind int

// Purposes of reads.
const (
	readVMs     readKind = iota // the rows of all VMs
	readGrants                  // the grants of the job's incarnation
	readBudgets                 // the rows of the next grants' budgets
	readRemoved                 // the row of a VM that the platform removed
)

// transaction describes the last composed transaction until its outcome is known.
type transaction struct {
	kind   transactionKind
	grants int // number of grants that the transaction returns
}

// transactionKind is the purpose of a transaction.
type transactionKind int

// Purposes of transactions.
const (
	noTransaction     transactionKind = iota
	adoptTransaction                  // adds the incarnations of a removed VM to this VM's row
	returnTransaction                 // returns grants to their budgets
	finishTransaction                 // deletes the recovered incarnation from this VM's row
)

// New returns the recovery system.
func New(copies CopyStore) *System { return &System{copies: copies} }

// Bind sets the registration. It is not a parameter of New because the
// registration itself depends on this system.
func (s *System) Bind(registration Registration) { s.registration = registration }

// Handle implements world.System.
func (s *System) Handle(w *world.World, event inbox.Event) {
	switch e := event.(type) {
	case inbox.PeerMessage:
		s.handleMessage(w, e)
	case inbox.ReadDone:
		if kind, ok := s.reads.Get(e.ID); ok {
			s.reads.Delete(e.ID)
			s.handleRead(w, kind, e)
		}
	}
}

func (s *System) handleMessage(w *world.World, e inbox.PeerMessage) {
	switch m := e.Message.(type) {
	case entity.RecoverRequest:
		w.Send(e.From, entity.RecoverReply{Incarnation: m.Incarnation, Charges: s.copies.Freeze(m.Incarnation)})
	case entity.RecoverReply:
		s.collectCharges(e.From, m)
	}
}

// collectCharges adds the charges that one peer has stored to the job. It ignores
// the reply of an incarnation that the row of that peer did not name.
func (s *System) collectCharges(from entity.VM, m entity.RecoverReply) {
	j := s.job
	if j == nil || j.stage != stageCollecting || j.incarnation != m.Incarnation {
		return
	}
	i := slices.Index(j.pending, from.Name)
	incarnation, _ := j.registered.Get(from.Name)
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
	if !s.registration.Registered() || !w.TableReachable {
		return
	}
	s.findRemoved(w)
	unrecovered := s.registration.Row().UnrecoveredIncarnations
	if len(unrecovered) == 0 {
		s.job = nil
		return
	}
	if s.job == nil || s.job.incarnation != unrecovered[0] {
		s.job = &job{incarnation: unrecovered[0]}
	}
	s.advance(w, s.job)
}

// advance makes the request of the job's stage when it is due.
func (s *System) advance(w *world.World, j *job) {
	if w.Now.Before(j.nextAt) {
		return
	}
	j.nextAt = w.Now.Add(resendInterval)
	switch j.stage {
	case stageReadingVMs:
		s.read(w, readVMs, nil, []string{entity.VMPrefix})
	case stageCollecting:
		s.requestCharges(w, j)
	case stageReadingGrants:
		s.read(w, readGrants, nil, []string{entity.GrantsPrefix(j.incarnation)})
	case stageReadingBudgets:
		s.read(w, readBudgets, j.budgetKeys(), nil)
	case stageWriting:
	}
}

// resendInterval is the time after which a request without a response is made
// again.
const resendInterval = 500 * time.Millisecond

func (s *System) read(w *world.World, kind readKind, keys, prefixes []string) {
	id := w.NextID()
	s.reads.Put(id, kind)
	w.Emit(outbox.Read{ID: id, Keys: keys, Prefixes: prefixes})
}

func (s *System) handleRead(w *world.World, kind readKind, e inbox.ReadDone) {
	if kind == readRemoved {
		s.handleRemovedRead(w, e)
		return
	}
	j := s.job
	if j == nil || !e.OK {
		return
	}
	switch {
	case kind == readVMs && j.stage == stageReadingVMs:
		s.handleVMsRead(w, j, e.Rows)
	case kind == readGrants && j.stage == stageReadingGrants:
		j.setGrants(e.Rows)
	case kind == readBudgets && j.stage == stageReadingBudgets:
		j.addBudgets(e.Rows)
	}
}

// handleVMsRead requests charges from every VM that is registered and not closed.
// Each of them must reply, since any may store a charge of the failed
// incarnation.
func (s *System) handleVMsRead(w *world.World, j *job, rows []entity.Row) {
	j.stage = stageCollecting
	j.pending = nil
	for _, row := range rows {
		vm, _ := row.Document.(entity.VMRow)
		if vm.Closed || vm.Name == w.Self.Name {
			continue
		}
		j.pending = append(j.pending, vm.Name)
		j.registered.Put(vm.Name, vm.Incarnation)
	}
	for _, c := range s.copies.Freeze(j.incarnation) {
		j.charges.Put(c.ID(), c)
	}
	s.requestCharges(w, j)
}

// requestCharges sends the request to the VMs that have not replied. If one of
// them is unknown or has a new incarnation, the rows of all VMs are read again.
func (s *System) requestCharges(w *world.World, j *job) {
	if len(j.pending) == 0 {
		j.stage = stageReadingGrants
		j.nextAt = w.Now
		return
	}
	for _, name := range j.pending {
		p, ok := w.Peers.Get(name)
		incarnation, _ := j.registered.Get(name)
		if ok && p.Incarnation == incarnation {
			w.Send(p.VM, entity.RecoverRequest{Incarnation: j.incarnation})
			continue
		}
		j.stage = stageReadingVMs
	}
}

// Compose implements ledger.TransactionSource.
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
	return s.composeReturn(w, j)
}

// composeReturn writes the charges that are not yet in the ledger, and returns
// the tokens that are then left unspent to their budgets.
func (s *System) composeReturn(w *world.World, j *job) ([]entity.Check, []entity.Put) {
	var checks []entity.Check
	var puts []entity.Put
	s.composed = transaction{kind: returnTransaction, grants: len(j.nextGrants())}
	var ledger entity.LedgerRow
	for _, g := range j.nextGrants() {
		key := entity.BudgetKey(g.Budget)
		row, _ := j.budgets.Get(key)
		unflushed, charges := j.unflushed(g)
		ledger.Charges = append(ledger.Charges, charges...)
		budget, _ := row.Document.(entity.BudgetRow)
		budget.Returned += g.Unspent() - unflushed
		budget.Holders = slices.DeleteFunc(slices.Clone(budget.Holders), func(h string) bool { return h == j.incarnation })
		checks = append(checks, entity.Check{Key: key, Version: row.Version})
		puts = append(puts,
			entity.Put{Key: key, Document: budget},
			entity.Put{Key: entity.GrantKey(j.incarnation, g.Budget), Document: entity.Tombstone{}})
	}
	if len(ledger.Charges) > 0 {
		// Another VM, or an earlier job of this one, may have recovered a part.
		key := entity.LedgerKey(j.incarnation+"/recovered/"+w.Self.Incarnation, s.batch)
		puts = append(puts, entity.Put{Key: key, Document: ledger})
	}
	return checks, puts
}

// composeFinish deletes the job's incarnation from this VM's row.
func (s *System) composeFinish(w *world.World, j *job) ([]entity.Check, []entity.Put) {
	s.composed = transaction{kind: finishTransaction}
	row := s.registration.Row()
	row.UnrecoveredIncarnations = slices.DeleteFunc(slices.Clone(row.UnrecoveredIncarnations), func(i string) bool { return i == j.incarnation })
	return nil, []entity.Put{{Key: entity.VMKey(w.Self.Name), Document: row}}
}

// Committed implements ledger.TransactionSource.
func (s *System) Committed(w *world.World, _ int64) {
	switch s.composed.kind {
	case adoptTransaction:
		s.adopting = false
	case returnTransaction:
		s.grantsReturned()
	case finishTransaction:
		w.Log("recovered", "incarnation", s.job.incarnation)
		s.copies.Drop(s.job.incarnation)
		s.announceRecovered(w, s.job.incarnation)
		s.job = nil
	}
	s.composed = transaction{}
}

// grantsReturned advances the job to the next grants.
func (s *System) grantsReturned() {
	j := s.job
	s.batch++
	j.grants = j.grants[s.composed.grants:]
	j.budgets = entity.Table[string, entity.Row]{}
	j.nextAt = time.Time{}
	j.stage = stageReadingBudgets
	if len(j.grants) == 0 {
		j.stage = stageWriting
	}
}

// announceRecovered informs peers that they may delete the charges of a recovered
// incarnation.
func (s *System) announceRecovered(w *world.World, incarnation string) {
	for _, p := range w.AlivePeers() {
		w.Send(p.VM, entity.Recovered{Incarnation: incarnation})
	}
}

// Conflicted implements ledger.TransactionSource. After a conflict the rows of
// the budgets, or of the removed VM, are read again.
func (s *System) Conflicted(_ *world.World, _ []entity.Row) {
	switch s.composed.kind {
	case adoptTransaction:
		s.adopting = false
	case returnTransaction:
		s.job.stage = stageReadingBudgets
		s.job.nextAt = time.Time{}
	}
	s.composed = transaction{}
}
