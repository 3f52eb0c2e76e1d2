package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"hawthornspar/core/entity"
	"hawthornspar/core/world"
)

// CrashRun is the outcome of requests that crash endpoints.
type CrashRun struct {
	Lethal      int // different requests that crash endpoints
	Lost        int // endpoint crashes
	Bystanders  int // other requests sent
	Unanswered  int // of these
	Reasons     entity.Table[entity.Reason, int]
	Quarantined int     // fingerprints barred
	Innocent    int     // of these, not lethal
	Retries     float64 // attempts that ran beyond the first, for each request
}

// RunCrash sends lethal requests, each many times with new keys to any
// router, amid other work.
func RunCrash(seed uint64, lethal int) CrashRun {
	f := New(seed, rankRouters, world.DefaultPolicy())
	f.oneRank()
	f.addEngines(Engine{Slots: rankSlots, QueueSize: 2, TokenTime: rankTokenTime, Restart: 15 * time.Second})
	for _, e := range f.Engines {
		for k := range lethal {
			e.Lethal.Put(fmt.Sprintf("lethal%d", k), true)
		}
	}
	f.Table.Account("a", "normal", 1_000_000_000)
	until := 50 * time.Second
	f.Send(Source{
		Label: "bystander", Account: "a", Rate: fullRate * 0.5, From: 3 * time.Second, Until: until,
		Prompt: rankPrompt, Output: rankOutput, Limit: rankLimit, Target: 30 * time.Second, Worth: 1,
	})
	for k := range lethal {
		for i := range 30 {
			at := 10*time.Second + time.Duration(i*400+k*5)*time.Millisecond
			f.After(at, func() {
				s := entity.Submission{KeyHash: "a", Service: "small", PromptTokens: 80, MaxTokens: 50, Fingerprint: fmt.Sprintf("lethal%d", k)}
				f.Submit(f.Nodes[f.Random.IntN(len(f.Nodes))], s, Body{Output: 30}, &Result{Label: "lethal"})
			})
		}
	}
	f.Run(until + 60*time.Second)
	by := f.Summarize("bystander", 0, until)
	run := CrashRun{Lethal: lethal, Bystanders: by.Sent, Unanswered: by.Refused, Reasons: by.Reasons}
	for _, e := range f.Engines {
		run.Lost += e.Crashes
	}
	run.Quarantined, run.Innocent = f.quarantined()
	for _, r := range f.Results {
		run.Retries += float64(max(r.Ran-1, 0)) / float64(len(f.Results))
	}
	return run
}

// quarantined counts the fingerprints in the configuration's quarantine.
func (f *Fleet) quarantined() (all, innocent int) {
	var seen entity.Table[string, bool]
	for _, n := range f.Nodes {
		for _, fingerprint := range n.Router.World.Config.Quarantined.Keys() {
			seen.Put(fingerprint, true)
		}
	}
	for _, fingerprint := range seen.Keys() {
		all++
		if len(fingerprint) < 6 || fingerprint[:6] != "lethal" {
			innocent++
		}
	}
	return all, innocent
}

// PrintCrash plays one and two lethal requests over several seeds.
func PrintCrash(out io.Writer, seed uint64) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "lethal requests\tseed\tendpoints lost\tbystanders\tunanswered\tquarantined\tinnocents among them\tretries\treasons")
	for _, lethal := range []int{1, 2} {
		for i := range uint64(5) {
			r := RunCrash(seed+i, lethal)
			fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%v\n", lethal, seed+i, r.Lost, r.Bystanders, r.Unanswered, r.Quarantined, r.Innocent, 100*r.Retries, r.Reasons.Keys())
		}
	}
	t.Flush()
}
