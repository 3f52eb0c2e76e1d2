package recovery

import (
	"time"

	"hawthornspar/core/entity"
)

// job is the recovery of one incarnation.
type job struct {
	incarnation string
	stage       stage
	nextAt      time.Time
	pending     []string // VM names that have not answered
	asked       entity.Table[string, string]
	charges     entity.Table[entity.ChargeKey, entity.Charge]
	grants      []entity.GrantRow
	budgets     entity.Table[string, entity.Row]
	batch       int64
}

type stage int

const (
	stageListing stage = iota
	stageAsking
	stageGrants
	stageBudgets
	stageWriting
)

func (j *job) grantsRead(rows []entity.Row) {
	j.grants = nil
	for _, row := range rows {
		if grant, ok := row.Document.(entity.GrantRow); ok {
			j.grants = append(j.grants, grant)
		}
	}
	j.stage = stageBudgets
	j.nextAt = time.Time{}
	if len(j.grants) == 0 {
		j.stage = stageWriting
	}
}

func (j *job) part() []entity.GrantRow { return j.grants[:min(len(j.grants), maxBudgetsPerStep)] }

func (j *job) budgetKeys() []string {
	var keys []string
	for _, g := range j.part() {
		keys = append(keys, entity.BudgetKey(g.Budget))
	}
	return keys
}

func (j *job) budgetsRead(rows []entity.Row) {
	for _, row := range rows {
		j.budgets.Put(row.Key, row)
	}
	j.stage = stageWriting
}

// owed returns the kept charges of a grant that its row does not include, and
// their sum. Each was reserved by the dead incarnation, so that they fit in
// what is unspent.
func (j *job) owed(g entity.GrantRow) (int64, []entity.Charge) {
	var total int64
	var charges []entity.Charge
	for _, c := range j.charges.Rows() {
		if c.Budget == g.Budget && c.Sequence > g.Sequence {
			total += c.Tokens
			charges = append(charges, c)
		}
	}
	return total, charges
}
