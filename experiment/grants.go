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

// GrantPolicy is a way to size grants and to move them between VMs.
type GrantPolicy struct {
	Name    string
	Horizon time.Duration // period whose spending a grant should cover
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

// GrantResult is the outcome of the runs of one policy.
type GrantResult struct {
	Policy              string
	Refused             int           // requests refused for a budget that was exhausted or unreachable
	FalseRefusals       int           // of Refused, while the budget had tokens for any request
	OutageRefusals      int           // requests refused because the table service or a peer was unreachable
	TimeToOutageRefusal time.Duration // from the outage's start to the first of OutageRefusals, or the outage's duration
	StrandedTokens      int64         // tokens free in VMs' grants at the end of the run
	RecoveryTime        time.Duration // from a VM's crash until its grants were back in their budgets
	TransactionRate     float64       // transactions per second and VM
	RecallRounds        int64         // rounds of requests to other VMs for idle tokens
}

// Fleet, load and outage of the experiment on grants, in virtual time.
const (
	grantVMs       = 8
	grantAccounts  = 6
	outageStart    = 60 * time.Second
	outageDuration = 60 * time.Second
	grantLoadEnd   = 200 * time.Second
)

// newGrantFleet returns a fleet whose accounts spend at different rates.
func newGrantFleet(seed uint64, p GrantPolicy, prepaid int64) *Fleet {
	policy := world.DefaultPolicy()
	policy.GrantHorizon = p.Horizon
	policy.MaxListLag = 5 * time.Second
	f := New(seed, grantVMs, policy, core.WithBudget(p.Options...))
	f.configureSingleRank()
	f.addEngines(Engine{Slots: 32, QueueSize: 4, TimePerToken: engineTimePerToken})
	for i := range grantAccounts {
		name := fmt.Sprintf("a%d", i)
		f.Table.AddAccount(name, "normal", prepaid)
		f.AddSource(Source{
			Label: "all", Account: name, RequestRate: 4 * float64(i+1), From: 3 * time.Second, Until: grantLoadEnd,
			PromptTokens: promptTokens, MeanOutputTokens: meanOutputTokens, MaxTokens: maxTokens, FirstTokenTarget: 30 * time.Second,
		})
	}
	return f
}

// RunGrants measures a policy in three runs: budgets that run out, an outage of
// the table service, and the crash of a VM.
func RunGrants(seed uint64, p GrantPolicy) GrantResult {
	result := GrantResult{Policy: p.Name}
	result.exhaustBudgets(seed, p)
	result.disableTable(seed, p)
	result.crashVM(seed, p)
	return result
}

// exhaustBudgets sends requests until the budgets have run out.
func (g *GrantResult) exhaustBudgets(seed uint64, p GrantPolicy) {
	f := newGrantFleet(seed, p, 60_000)
	f.OnRefusal = func(vm *VM, r *Result) {
		if r.RefusalReason == entity.ReasonBudgetExhausted || r.RefusalReason == entity.ReasonBudgetUnreachable {
			g.Refused++
			if f.availableTokens(r.Account+"/main") >= promptTokens+maxTokens {
				g.FalseRefusals++
			}
		}
	}
	f.Run(grantLoadEnd)
	for i := range grantAccounts {
		g.StrandedTokens += f.freeTokens(fmt.Sprintf("a%d/main", i))
	}
	g.TransactionRate = float64(f.Table.Transactions) / grantVMs / f.Elapsed().Seconds()
	g.RecallRounds, _ = f.Counters.Get("recalls.round")
}

// disableTable simulates an outage of the table service, with ample budgets.
func (g *GrantResult) disableTable(seed uint64, p GrantPolicy) {
	f := newGrantFleet(seed, p, 2_000_000)
	f.OnRefusal = func(_ *VM, r *Result) {
		if r.RefusalReason != entity.ReasonBudgetUnreachable && r.RefusalReason != entity.ReasonForwardUnreachable {
			return
		}
		g.OutageRefusals++
		if g.OutageRefusals == 1 {
			g.TimeToOutageRefusal = f.Elapsed() - outageStart
		}
	}
	f.Run(outageStart)
	f.Table.Outage = true
	f.Run(outageDuration)
	f.Table.Outage = false
	f.Run(20 * time.Second)
	if g.OutageRefusals == 0 {
		g.TimeToOutageRefusal = outageDuration
	}
}

// crashVM crashes a VM, which restarts after five seconds, and measures how long
// the grants of the crashed incarnation stay out of their budgets.
func (g *GrantResult) crashVM(seed uint64, p GrantPolicy) {
	f := newGrantFleet(seed, p, 2_000_000)
	f.Run(20 * time.Second)
	vm := f.VMs[2]
	crashed := vm.incarnation
	vm.Crash()
	crashedAt := f.Elapsed()
	f.Run(5 * time.Second)
	vm.Start()
	for len(f.Table.Scan(entity.GrantsPrefix(crashed))) > 0 && f.Elapsed()-crashedAt < time.Minute {
		f.Run(20 * time.Millisecond)
	}
	g.RecoveryTime = f.Elapsed() - crashedAt
}

// availableTokens returns the tokens of a budget that are neither spent nor
// reserved on any VM.
func (f *Fleet) availableTokens(name string) int64 {
	b, _ := f.Table.Get(entity.BudgetKey(name)).Document.(entity.BudgetRow)
	available := b.Prepaid
	for _, row := range f.Table.Scan(entity.LedgerPrefix) {
		batch, _ := row.Document.(entity.LedgerRow)
		for _, c := range batch.Charges {
			if c.Budget == name {
				available -= c.Tokens
			}
		}
	}
	for _, vm := range f.VMs {
		if g, ok := vm.Router.World.Grants.Get(name); ok {
			available -= g.Spent - g.Flushed + g.Reserved
		}
	}
	return available
}

// freeTokens returns the tokens of a budget that VMs hold in grants and that are
// free to reserve.
func (f *Fleet) freeTokens(name string) int64 {
	var free int64
	for _, vm := range f.VMs {
		if g, ok := vm.Router.World.Grants.Get(name); ok {
			free += g.Free()
		}
	}
	return free
}

// PrintGrants prints a table that compares the policies.
func PrintGrants(out io.Writer, seed uint64) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, strings.Join([]string{
		"policy", "refused", "falsely", "stranded tokens", "recall rounds", "transactions/s a VM",
		"outage ridden out", "refused in outage", "dead VM's grants back",
	}, "\t"))
	for _, p := range GrantPolicies() {
		r := RunGrants(seed, p)
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.2f\t%s\t%d\t%s\n", r.Policy, r.Refused, r.FalseRefusals, r.StrandedTokens, r.RecallRounds,
			r.TransactionRate, r.TimeToOutageRefusal.Round(100*time.Millisecond), r.OutageRefusals, r.RecoveryTime.Round(10*time.Millisecond))
	}
	t.Flush()
}
