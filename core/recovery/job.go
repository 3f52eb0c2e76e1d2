package recovery

import (
	"time"

	"hawthornspar/core/entity"
)

// job is the recovery of one incarnation.
type job struct {
	incarnation string
	stage       stage
	nextAt      time.Time                                     // when the stage's request is due, for the first time or again
	pending     []string                                      // names of VMs that have not replied
	registered  entity.Table[string, string]                  // incarnations in the VMs' rows, by VM name
	charges     entity.Table[entity.ChargeKey, entity.Charge] // copies collected from all VMs
	grants      []entity.GrantRow                             // not yet returned
	budgets     entity.Table[string, entity.Row]              // rows of the next grants' budgets, by key
}

// stage is the part of a job that is in progress.
type stage int

// Stages of a job in order. A conflict leads back from writing to reading the
// budgets, and a change in the VMs' rows from collecting to reading these rows.
const (
	stageReadingVMs     stage = iota // reading the rows of all VMs
	stageCollecting                  // collecting copies of charges from the VMs
	stageReadingGrants               // reading the incarnation's grants
	stageReadingBudgets              // reading the rows of the next grants' budgets
	stageWriting                     // committing transactions
)

func (j *job) setGrants(rows []entity.Row) {
	j.grants = nil
	for _, row := range rows {
		if grant, ok := row.Document.(entity.GrantRow); ok {
			j.grants = append(j.grants, grant)
		}
	}
	j.stage = stageReadingBudgets
	j.nextAt = time.Time{}
	if len(j.grants) == 0 {
		j.stage = stageWriting
	}
}

// nextGrants returns the grants that the next transaction returns.
func (j *job) nextGrants() []entity.GrantRow {
	return j.grants[:min(len(j.grants), maxGrantsPerTransaction)]
}

func (j *job) budgetKeys() []string {
	var keys []string
	for _, g := range j.nextGrants() {
		keys = append(keys, entity.BudgetKey(g.Budget))
	}
	return keys
}

func (j *job) addBudgets(rows []entity.Row) {
	for _, row := range rows {
		j.budgets.Put(row.Key, row)
	}
	j.stage = stageWriting
}

// unflushed returns the collected charges to a grant that its row does not
// include, with their sum in tokens first. The sum is at most what is unspent,
// since the failed incarnation had reserved tokens for each of them.
func (j *job) unflushed(g entity.GrantRow) (int64, []entity.Charge) {
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
