package gateway

import (
	"strconv"
	"time"

	"hawthornspar/core/escrow"
)

// unsettledLogPeriod is the time between logs of the VMs that a group waits for.
const unsettledLogPeriod = 5 * time.Second

// logUnsettled logs now and then which VMs the group waits for after a step back of the store:
// until they have declared what they hold, requests may be refused with tokens left.
func (b *budgetSyncer) logUnsettled(now time.Time) {
	s := b.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	state := b.group.budgets.Settlement()
	switch {
	case state.Settled:
		b.unsettledLogAt = time.Time{}
	case b.unsettledLogAt.IsZero():
		b.unsettledLogAt = now.Add(unsettledLogPeriod)
	case now.After(b.unsettledLogAt):
		b.unsettledLogAt = now.Add(unsettledLogPeriod)
		b.gateway.log.Info("budgets not settled", "group", b.group.number, "era", state.Era.String(), "declared", state.Declared, "waitingFor", state.Waiting, "lost", state.Lost)
	}
}

// logTransaction logs what a transaction has changed, and how far the group has come since the
// store's last step back. The caller holds the state's lock.
func (b *budgetSyncer) logTransaction(t *escrow.Transaction, applied bool) {
	log, sequence := b.gateway.log, t.VMAllocations.Sequence
	for _, c := range t.Totals {
		log.Info("budget drawn", "account", c.Account, "applied", applied, "tokens", c.Grant, "reclaimed", c.Reclaimed, "declared", c.Declared, "writtenOff", c.WrittenOff,
			"unaccounted", c.Total.Unaccounted, "left", c.Undrawn, "spent", t.VMAllocations.Accounts[c.Account].Spent, "sequence", sequence)
	}
	for _, m := range t.Moves {
		log.Info("budget moved", "from", m.VM, "applied", applied, "tokens", m.Tokens, "sequence", sequence)
	}
	if t.Declaration != nil && applied {
		b.gateway.recordDeclaration(b.group, *t.Declaration)
	}
	if t.Mark != nil && applied && t.Mark.Mark.Settled {
		b.gateway.metrics.Increment("budget_groups_settled", strconv.FormatBool(!t.Mark.Mark.Uncertain))
		log.Info("budgets settled", "group", b.group.number, "era", t.Era.String(), "afterMs", t.VMAllocations.StoreMs-t.Mark.Mark.BeganMs, "writtenOff", t.WrittenOff(), "uncertain", t.Mark.Mark.Uncertain)
	}
}
