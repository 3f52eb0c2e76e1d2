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
	// A fixed seed makes the runs repeatable. `make explore` runs other seeds.
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

// trial is one random run in which the invariants are checked.
type trial struct {
	*Fleet
	t       *rapid.T
	lastKey int // number of the latest request key
}

// newTrial returns a fleet with an ample and a scarce budget, and short delays so
// that recovery falls into the run.
func newTrial(t *rapid.T, vms int) *trial {
	policy := world.DefaultPolicy()
	policy.MaxListLag = time.Second
	policy.GrantIdleTimeout = 4 * time.Second
	f := New(rapid.Uint64().Draw(t, "seed"), vms, policy)
	f.Table.Configure(entity.Rank{Name: "normal", Order: 1, TargetMillis: 20_000, FloorPercent: 10})
	f.Table.Configure(entity.Service{Name: "small", Kind: entity.KindModel, Idempotent: true, MaxTokens: 1000})
	f.Table.Configure(entity.Service{Name: "orders", Kind: entity.KindApp, Price: 20})
	f.Table.AddAccount("large", "normal", 30_000)
	f.Table.AddAccount("tight", "normal", 700)
	for i := range 2 {
		f.AddEngine(&Engine{
			Name: fmt.Sprintf("e%d", i), Slots: 8, QueueSize: 2,
			TimePerToken: 10 * time.Millisecond, PrefillTime: 20 * time.Millisecond, CacheSize: 4, RestartTime: time.Second,
		}, "small", "orders")
	}
	f.Run(3 * time.Second)
	return &trial{Fleet: f, t: t}
}

// drawVM returns a random VM.
func (r *trial) drawVM() *VM {
	return r.VMs[rapid.IntRange(0, len(r.VMs)-1).Draw(r.t, "node")]
}

// submit sends a request with a new request key or the latest one.
func (r *trial) submit(service, label string) {
	if rapid.Bool().Draw(r.t, "newKey") {
		r.lastKey++
	}
	s := entity.Submission{
		KeyHash: rapid.SampledFrom([]string{"large", "tight"}).Draw(r.t, "account"),
		Service: service, RequestKey: fmt.Sprintf("%s%d", label, r.lastKey),
		PromptTokens: 40, MaxTokens: 50, Fingerprint: fmt.Sprintf("%s%d", label, r.lastKey),
	}
	output := rapid.Int64Range(1, 80).Draw(r.t, "output") // may exceed MaxTokens, as some engines do
	r.Submit(r.drawVM(), s, Body{OutputTokens: output}, &Result{Label: label})
}

// alive counts the VMs that are up and not frozen.
func (r *trial) alive() int {
	n := 0
	for _, vm := range r.VMs {
		if vm.up && !vm.frozen {
			n++
		}
	}
	return n
}

// actions returns the requests and faults that rapid chooses from, by name, and
// the check that it runs after each. A VM crashes, or disappears from the list
// of VMs, only while mayFail allows that.
func (r *trial) actions(mayFail func() bool) map[string]func(*rapid.T) {
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
			if vm := r.drawVM(); vm.up && mayFail() && rapid.IntRange(0, 2).Draw(r.t, "die") == 0 {
				vm.Crash()
			}
		},
		"restart": func(*rapid.T) { r.restartCrashed() },
		"rested": func(*rapid.T) {
			r.restartCrashed()
			r.Run(4 * time.Second)
		},
		"freeze": func(*rapid.T) {
			if vm := r.drawVM(); vm.up && r.alive() > 1 {
				vm.Freeze()
			}
		},
		"thaw": func(*rapid.T) {
			for _, vm := range r.VMs {
				if vm.up && vm.frozen {
					vm.Thaw()
				}
			}
		},
		"unlist": func(*rapid.T) {
			for _, vm := range r.VMs {
				if vm.frozen && mayFail() {
					r.SetVMList(without(r.VMs, vm)...)
					return
				}
			}
		},
		"list":   func(*rapid.T) { r.SetVMList(r.VMs...) },
		"cut":    func(*rapid.T) { r.SetPartitioned(r.drawVM(), r.drawVM(), true) },
		"heal":   func(*rapid.T) { r.healLinks() },
		"outage": func(t *rapid.T) { r.Table.Outage = rapid.Bool().Draw(t, "on") },
		"lose":   func(t *rapid.T) { r.Table.ResponseLoss = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "share") },
		"local":  func(t *rapid.T) { r.drawVM().TableUnreachable = rapid.Bool().Draw(t, "on") },
		"engine": func(t *rapid.T) { r.Engines[0].SetDown(rapid.Bool().Draw(t, "down")) },
		"topUp": func(*rapid.T) {
			row, _ := r.Table.Get("budget/tight/main").Document.(entity.BudgetRow)
			row.Prepaid += 200
			r.Table.Put("budget/tight/main", row)
		},
		"": func(t *rapid.T) {
			r.check(t, r.CheckBudgets(), r.CheckAtMostOnce("order"), r.CheckNotRun())
		},
	}
}

// check fails the test on the first violation.
func (r *trial) check(t *rapid.T, violations ...error) {
	for _, v := range violations {
		if v != nil {
			t.Fatalf("at %v: %v", r.Elapsed(), v)
		}
	}
}

// restartCrashed starts all VMs that are down.
func (r *trial) restartCrashed() {
	for _, vm := range r.VMs {
		if !vm.up {
			vm.Start()
		}
	}
}

// healLinks heals all network partitions.
func (r *trial) healLinks() {
	for _, a := range r.VMs {
		for _, b := range r.VMs {
			r.SetPartitioned(a, b, false)
		}
	}
}

// settle ends all faults and runs the fleet until it has had time to recover.
func (r *trial) settle() {
	r.healLinks()
	r.SetVMList(r.VMs...)
	r.Table.Outage, r.Table.ResponseLoss = false, 0
	for _, e := range r.Engines {
		e.SetDown(false)
	}
	for _, vm := range r.VMs {
		vm.TableUnreachable = false
		if vm.frozen {
			vm.Thaw()
		}
	}
	r.Run(5 * time.Second)
	r.restartCrashed()
	r.Run(time.Minute)
}

// without returns the VMs except one.
func without(vms []*VM, excluded *VM) []*VM {
	var rest []*VM
	for _, vm := range vms {
		if vm != excluded {
			rest = append(rest, vm)
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
			r.check(t, r.CheckBudgets(), r.CheckAtMostOnce("order"), r.CheckNotRun())
			for _, vm := range r.VMs {
				vm.Stop()
			}
			r.Run(20 * time.Second)
			if remaining := r.Table.Scan(entity.GrantPrefix); len(remaining) > 0 {
				t.Fatalf("grants remain after all VMs shut down: %v", remaining)
			}
		})
	})

	ginkgo.It("bill every complete response while at most one of three VMs has failed at a time", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			r := newTrial(t, 3)
			mayFail := func() bool {
				// At most one VM fails at a time, and none while an earlier
				// incarnation is being recovered, or while a VM keeps copies of
				// others' charges and has charges of its own to flush.
				if r.Table.Outage || r.Table.ResponseLoss > 0 || r.alive() < 3 {
					return false
				}
				for _, vm := range r.VMs {
					if row, ok := r.Table.Get(entity.VMKey(vm.Name)).Document.(entity.VMRow); !ok || len(row.UnrecoveredIncarnations) > 0 {
						return false
					}
					if report := vm.Router.Report(); report.ChargeCopies > 0 && report.Unflushed > 0 {
						return false
					}
				}
				return true
			}
			actions := r.actions(mayFail)
			for _, name := range []string{"cut", "local"} {
				delete(actions, name)
			}
			actions["freeze"] = func(*rapid.T) {
				if vm := r.drawVM(); mayFail() {
					vm.Freeze()
				}
			}
			actions["unlist"] = func(*rapid.T) {
				for _, vm := range r.VMs {
					if vm.frozen && !r.Table.Outage {
						r.SetVMList(without(r.VMs, vm)...)
						r.Run(8 * time.Second)
					}
				}
			}
			t.Repeat(actions)
			r.settle()
			r.check(t, r.CheckBudgets(), r.CheckAtMostOnce("order"), r.CheckNotRun(), r.CheckBilled())
		})
	})

	ginkgo.It("the same seed gives the same run", func() {
		run := func() string {
			f := New(7, 3, world.DefaultPolicy())
			f.Table.Configure(entity.Rank{Name: "normal", Order: 1, TargetMillis: 20_000})
			f.Table.Configure(entity.Service{Name: "small", Kind: entity.KindModel, Idempotent: true, MaxTokens: 1000})
			f.Table.AddAccount("large", "normal", 5_000)
			f.AddEngine(&Engine{Name: "e", Slots: 3, QueueSize: 1, TimePerToken: 10 * time.Millisecond}, "small")
			f.Run(3 * time.Second)
			for i := range 60 {
				s := entity.Submission{KeyHash: "large", Service: "small", PromptTokens: 40, MaxTokens: 50, Fingerprint: fmt.Sprint(i)}
				f.Submit(f.VMs[i%3], s, Body{OutputTokens: 20}, &Result{})
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
