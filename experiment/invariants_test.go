package experiment

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hawthornspar/core/entity"
	"hawthornspar/core/world"
)

func TestExperiment(t *testing.T) {
	// The same runs each time; `make explore` tries others.
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		flag.Set("rapid.seed", "20261204")
	}
	if f := flag.Lookup("rapid.checks"); f.Value.String() == "100" {
		flag.Set("rapid.checks", "300")
		flag.Set("rapid.steps", "60")
	}
	flag.Set("rapid.nofailfile", "true")
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "experiment")
}

// trial is one random run against the invariants.
type trial struct {
	*Fleet
	t    *rapid.T
	keys int
}

func newTrial(t *rapid.T, routers int) *trial {
	policy := world.DefaultPolicy()
	policy.MaxListLag = time.Second
	policy.GrantIdleTimeout = 4 * time.Second
	f := New(rapid.Uint64().Draw(t, "seed"), routers, policy)
	f.Table.Change(entity.Rank{Name: "normal", Order: 1, TargetMillis: 20_000, FloorPercent: 10})
	f.Table.Change(entity.Service{Name: "small", Kind: entity.KindModel, Idempotent: true, MaxTokens: 1000})
	f.Table.Change(entity.Service{Name: "orders", Kind: entity.KindApp, Price: 20})
	f.Table.Account("large", "normal", 30_000)
	f.Table.Account("tight", "normal", 700)
	for i := range 2 {
		f.AddEngine(&Engine{
			Name: fmt.Sprintf("e%d", i), Slots: 8, QueueSize: 2,
			TokenTime: 10 * time.Millisecond, Prefill: 20 * time.Millisecond, CacheSize: 4, Restart: time.Second,
		}, "small", "orders")
	}
	f.Run(3 * time.Second)
	return &trial{Fleet: f, t: t}
}

func (r *trial) node() *Node {
	return r.Nodes[rapid.IntRange(0, len(r.Nodes)-1).Draw(r.t, "node")]
}

func (r *trial) submit(service, label string) {
	if rapid.Bool().Draw(r.t, "newKey") {
		r.keys++
	}
	s := entity.Submission{
		KeyHash: rapid.SampledFrom([]string{"large", "tight"}).Draw(r.t, "account"),
		Service: service, RequestKey: fmt.Sprintf("%s%d", label, r.keys),
		PromptTokens: 40, MaxTokens: 50, Fingerprint: fmt.Sprintf("%s%d", label, r.keys),
	}
	output := rapid.Int64Range(1, 80).Draw(r.t, "output") // some engines overrun the limit
	r.Submit(r.node(), s, Body{Output: output}, &Result{Label: label})
}

// alive counts the routers that run and are not frozen.
func (r *trial) alive() int {
	n := 0
	for _, node := range r.Nodes {
		if node.up && !node.frozen {
			n++
		}
	}
	return n
}

// actions are what may happen. Deaths are bounded by mayDie.
func (r *trial) actions(mayDie func() bool) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"chat": func(*rapid.T) { r.submit("small", "chat") },
		"chats": func(t *rapid.T) {
			for range rapid.IntRange(2, 8).Draw(t, "count") {
				r.submit("small", "chat")
			}
		},
		"order": func(*rapid.T) { r.submit("orders", "order") },
		"wait": func(t *rapid.T) {
			r.Run(time.Duration(rapid.IntRange(1, 1500).Draw(t, "millis")) * time.Millisecond)
		},
		"crash": func(*rapid.T) {
			if n := r.node(); n.up && mayDie() && rapid.IntRange(0, 2).Draw(r.t, "die") == 0 {
				n.Crash()
			}
		},
		"restart": func(*rapid.T) { r.restart() },
		"rested": func(*rapid.T) {
			r.restart()
			r.Run(4 * time.Second)
		},
		"freeze": func(*rapid.T) {
			if n := r.node(); n.up && r.alive() > 1 {
				n.Freeze()
			}
		},
		"thaw": func(*rapid.T) {
			for _, n := range r.Nodes {
				if n.up && n.frozen {
					n.Thaw()
				}
			}
		},
		"unlist": func(*rapid.T) {
			for _, n := range r.Nodes {
				if n.frozen && mayDie() {
					r.List(without(r.Nodes, n)...)
					return
				}
			}
		},
		"list":   func(*rapid.T) { r.List(r.Nodes...) },
		"cut":    func(*rapid.T) { r.Cut(r.node(), r.node(), true) },
		"heal":   func(*rapid.T) { r.heal() },
		"outage": func(t *rapid.T) { r.Table.Outage = rapid.Bool().Draw(t, "on") },
		"lose":   func(t *rapid.T) { r.Table.LoseAnswers = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "share") },
		"local":  func(t *rapid.T) { r.node().TableCut = rapid.Bool().Draw(t, "on") },
		"engine": func(t *rapid.T) { r.Engines[0].SetDown(rapid.Bool().Draw(t, "down")) },
		"topUp": func(*rapid.T) {
			row, _ := r.Table.Get("budget/tight/main").Document.(entity.BudgetRow)
			row.Prepaid += 200
			r.Table.Put("budget/tight/main", row)
		},
		"": func(t *rapid.T) {
			r.check(t, r.CheckBudgets(), r.CheckOnce("order"), r.CheckTruth())
		},
	}
}

func (r *trial) check(t *rapid.T, violations ...error) {
	for _, v := range violations {
		if v != nil {
			t.Fatalf("at %v: %v", r.Elapsed(), v)
		}
	}
}

func (r *trial) restart() {
	for _, n := range r.Nodes {
		if !n.up {
			n.Start()
		}
	}
}

func (r *trial) heal() {
	for _, a := range r.Nodes {
		for _, b := range r.Nodes {
			r.Cut(a, b, false)
		}
	}
}

// settle ends all faults and lets the fleet recover.
func (r *trial) settle() {
	r.heal()
	r.List(r.Nodes...)
	r.Table.Outage, r.Table.LoseAnswers = false, 0
	for _, e := range r.Engines {
		e.SetDown(false)
	}
	for _, n := range r.Nodes {
		n.TableCut = false
		if n.frozen {
			n.Thaw()
		}
	}
	r.Run(5 * time.Second)
	r.restart()
	r.Run(time.Minute)
}

func without(nodes []*Node, gone *Node) []*Node {
	var rest []*Node
	for _, n := range nodes {
		if n != gone {
			rest = append(rest, n)
		}
	}
	return rest
}

var _ = ginkgo.Describe("invariants", func() {
	ginkgo.It("hold under any mix of faults", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			r := newTrial(t, 3)
			t.Repeat(r.actions(func() bool { return true }))
			r.settle()
			r.check(t, r.CheckBudgets(), r.CheckOnce("order"), r.CheckTruth())
			for _, node := range r.Nodes {
				node.Stop()
			}
			r.Run(20 * time.Second)
			if left := r.Table.Scan(entity.GrantPrefix); len(left) > 0 {
				t.Fatalf("grants are left after all routers stopped: %v", left)
			}
		})
	})

	ginkgo.It("bill every answer while at most one of three routers is dead at a time", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			r := newTrial(t, 3)
			mayDie := func() bool {
				// One death, and none while an earlier one is being recovered.
				if r.Table.Outage || r.Table.LoseAnswers > 0 || r.alive() < 3 {
					return false
				}
				for _, n := range r.Nodes {
					if row, ok := r.Table.Get(entity.VMKey(n.Name)).Document.(entity.VMRow); !ok || len(row.UnrecoveredIncarnations) > 0 {
						return false
					}
					if row := n.Router.Report(); row.ChargeCopies > 0 && row.Unflushed > 0 {
						return false
					}
				}
				return true
			}
			actions := r.actions(mayDie)
			for _, name := range []string{"cut", "local"} {
				delete(actions, name)
			}
			actions["freeze"] = func(*rapid.T) {
				if n := r.node(); mayDie() {
					n.Freeze()
				}
			}
			actions["unlist"] = func(*rapid.T) {
				for _, n := range r.Nodes {
					if n.frozen && !r.Table.Outage {
						r.List(without(r.Nodes, n)...)
						r.Run(8 * time.Second)
					}
				}
			}
			t.Repeat(actions)
			r.settle()
			r.check(t, r.CheckBudgets(), r.CheckOnce("order"), r.CheckTruth(), r.CheckBilled())
		})
	})

	ginkgo.It("the same seed gives the same run", func() {
		run := func() string {
			f := New(7, 3, world.DefaultPolicy())
			f.Table.Change(entity.Rank{Name: "normal", Order: 1, TargetMillis: 20_000})
			f.Table.Change(entity.Service{Name: "small", Kind: entity.KindModel, Idempotent: true, MaxTokens: 1000})
			f.Table.Account("large", "normal", 5_000)
			f.AddEngine(&Engine{Name: "e", Slots: 3, QueueSize: 1, TokenTime: 10 * time.Millisecond}, "small")
			f.Run(3 * time.Second)
			for i := range 60 {
				s := entity.Submission{KeyHash: "large", Service: "small", PromptTokens: 40, MaxTokens: 50, Fingerprint: fmt.Sprint(i)}
				f.Submit(f.Nodes[i%3], s, Body{Output: 20}, &Result{})
				f.Run(7 * time.Millisecond)
			}
			f.Run(30 * time.Second)
			out := fmt.Sprint(f.Table.Scan(""))
			for _, r := range f.Results {
				out += fmt.Sprint(*r)
			}
			return out
		}
		gomega.Expect(run()).To(gomega.Equal(run()))
	})
})
