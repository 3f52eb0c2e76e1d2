package experiment

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"hawthornspar/core"
	"hawthornspar/core/budget"
	"hawthornspar/core/entity"
	"hawthornspar/core/world"
)

// GrantPolicy is one way to size and move grants.
type GrantPolicy struct {
	Name    string
	Horizon time.Duration
	Options []budget.Option
}

// GrantPolicies returns the policies that are compared.
func GrantPolicies() []GrantPolicy {
	equal := budget.WithSizer(budget.EqualSizer{Parts: 16})
	all := []GrantPolicy{
		{"equal sixteenths, no recall", time.Minute, []budget.Option{equal, budget.WithoutRecall()}},
		{"equal sixteenths", time.Minute, []budget.Option{equal}},
		{"60 s of rate, no recall", time.Minute, []budget.Option{budget.WithoutRecall()}},
	}
	for _, horizon := range []time.Duration{5, 15, 30, 60, 120, 300} {
		all = append(all, GrantPolicy{fmt.Sprintf("%d s of rate", horizon), horizon * time.Second, nil})
	}
	return all
}

// GrantRun is the outcome of one policy.
type GrantRun struct {
	Policy       string
	Refused      int           // for lack of tokens
	False        int           // of these, though tokens were left
	FalseOutage  int           // refused as unreachable during the outage
	RideOut      time.Duration // from the outage's start to the first such refusal
	Stranded     int64         // tokens free on VMs when the budgets were used up
	Returned     time.Duration // until a dead VM's grants were back
	Transactions float64       // a second for each VM
	Rounds       int64         // of recall
}

// Shape of the fleet in this experiment.
const (
	grantRouters  = 8
	grantAccounts = 6
	outageFrom    = 60 * time.Second
	outageLasts   = 60 * time.Second
	grantUntil    = 200 * time.Second
)

func grantFleet(seed uint64, p GrantPolicy, prepaid int64) *Fleet {
	policy := world.DefaultPolicy()
	policy.GrantHorizon = p.Horizon
	policy.MaxListLag = 5 * time.Second
	f := New(seed, grantRouters, policy, core.WithBudget(p.Options...))
	f.oneRank()
	f.addEngines(Engine{Slots: 32, QueueSize: 4, TokenTime: rankTokenTime})
	for i := range grantAccounts {
		name := fmt.Sprintf("a%d", i)
		f.Table.Account(name, "normal", prepaid)
		f.Send(Source{
			Label: "all", Account: name, Rate: 4 * float64(i+1), From: 3 * time.Second, Until: grantUntil,
			Prompt: rankPrompt, Output: rankOutput, Limit: rankLimit, Target: 30 * time.Second,
		})
	}
	return f
}

// RunGrants plays budgets that run out, then an outage, then a death.
func RunGrants(seed uint64, p GrantPolicy) GrantRun {
	run := GrantRun{Policy: p.Name}
	run.runOut(seed, p)
	run.outage(seed, p)
	run.death(seed, p)
	return run
}

// runOut spends budgets to their ends.
func (run *GrantRun) runOut(seed uint64, p GrantPolicy) {
	f := grantFleet(seed, p, 60_000)
	f.OnRefusal = func(n *Node, r *Result) {
		if r.Reason == entity.ReasonBudgetExhausted || r.Reason == entity.ReasonBudgetUnreachable {
			run.Refused++
			if f.trulyLeft(r.Account+"/main") >= rankPrompt+rankLimit {
				run.False++
			}
		}
	}
	f.Run(grantUntil)
	for i := range grantAccounts {
		run.Stranded += f.idle(fmt.Sprintf("a%d/main", i))
	}
	run.Transactions = float64(f.Table.Transactions) / grantRouters / f.Elapsed().Seconds()
	run.Rounds, _ = f.Counts.Get("recalls.round")
}

// outage takes the table away while budgets last.
func (run *GrantRun) outage(seed uint64, p GrantPolicy) {
	f := grantFleet(seed, p, 2_000_000)
	f.OnRefusal = func(_ *Node, r *Result) {
		if r.Reason != entity.ReasonBudgetUnreachable && r.Reason != entity.ReasonForwardUnreachable {
			return
		}
		run.FalseOutage++
		if run.FalseOutage == 1 {
			run.RideOut = f.Elapsed() - outageFrom
		}
	}
	f.Run(outageFrom)
	f.Table.Outage = true
	f.Run(outageLasts)
	f.Table.Outage = false
	f.Run(20 * time.Second)
	if run.FalseOutage == 0 {
		run.RideOut = outageLasts
	}
}

// death crashes a router, which starts anew after five seconds, and waits
// until the dead incarnation's grants are back.
func (run *GrantRun) death(seed uint64, p GrantPolicy) {
	f := grantFleet(seed, p, 2_000_000)
	f.Run(20 * time.Second)
	n := f.Nodes[2]
	dead := n.incarnation
	n.Crash()
	at := f.Elapsed()
	f.Run(5 * time.Second)
	n.Start()
	for len(f.Table.Scan(entity.GrantsPrefix(dead))) > 0 && f.Elapsed()-at < time.Minute {
		f.Run(20 * time.Millisecond)
	}
	run.Returned = f.Elapsed() - at
}

// trulyLeft returns what nobody spent or reserved of a budget.
func (f *Fleet) trulyLeft(name string) int64 {
	b, _ := f.Table.Get(entity.BudgetKey(name)).Document.(entity.BudgetRow)
	left := b.Prepaid
	for _, row := range f.Table.Scan(entity.LedgerPrefix) {
		batch, _ := row.Document.(entity.LedgerRow)
		for _, c := range batch.Charges {
			if c.Budget == name {
				left -= c.Tokens
			}
		}
	}
	for _, n := range f.Nodes {
		if g, ok := n.Router.World.Grants.Get(name); ok {
			left -= g.Spent - g.Flushed + g.Reserved
		}
	}
	return left
}

// idle returns the tokens of a budget that are free on VMs.
func (f *Fleet) idle(name string) int64 {
	var idle int64
	for _, n := range f.Nodes {
		if g, ok := n.Router.World.Grants.Get(name); ok {
			idle += g.Free()
		}
	}
	return idle
}

// PrintGrants compares the policies.
func PrintGrants(out io.Writer, seed uint64) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, strings.Join([]string{
		"policy", "refused", "falsely", "stranded tokens", "recall rounds", "transactions/s a VM",
		"outage ridden out", "refused in outage", "dead VM's grants back",
	}, "\t"))
	for _, p := range GrantPolicies() {
		r := RunGrants(seed, p)
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.2f\t%s\t%d\t%s\n", r.Policy, r.Refused, r.False, r.Stranded, r.Rounds,
			r.Transactions, r.RideOut.Round(100*time.Millisecond), r.FalseOutage, r.Returned.Round(10*time.Millisecond))
	}
	t.Flush()
}
