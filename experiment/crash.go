package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"hawthornspar/core/entity"
	"hawthornspar/core/world"
)

// CrashResult is the outcome of a run with requests that crash engines.
type CrashResult struct {
	CrashingRequests   int // distinct requests that crash an engine
	EngineCrashes      int
	OtherRequests      int                              // requests that crash nothing
	OtherRefused       int                              // of OtherRequests, without a complete response
	RefusalReasons     entity.Table[entity.Reason, int] // of OtherRefused
	Quarantined        int                              // fingerprints
	FalselyQuarantined int                              // fingerprints of requests that crash nothing
	RetryRatio         float64                          // attempts beyond the first, per request
}

// RunCrash sends requests that crash engines among other requests. Each crashing
// request is sent many times to random VMs, every time with another request key.
func RunCrash(seed uint64, crashingRequests int) CrashResult {
	f := New(seed, vmCount, world.DefaultPolicy())
	f.configureSingleRank()
	f.addEngines(Engine{Slots: engineSlots, QueueSize: 2, TimePerToken: engineTimePerToken, RestartTime: 15 * time.Second})
	for _, e := range f.Engines {
		for k := range crashingRequests {
			e.CrashesOn.Put(fmt.Sprintf("lethal%d", k), true)
		}
	}
	f.Table.AddAccount("a", "normal", 1_000_000_000)
	until := 50 * time.Second
	f.AddSource(Source{
		Label: "bystander", Account: "a", RequestRate: saturationRate * 0.5, From: 3 * time.Second, Until: until,
		PromptTokens: promptTokens, MeanOutputTokens: meanOutputTokens, MaxTokens: maxTokens, FirstTokenTarget: 30 * time.Second, Worth: 1,
	})
	for k := range crashingRequests {
		for i := range 30 {
			at := 10*time.Second + time.Duration(i*400+k*5)*time.Millisecond
			f.After(at, func() {
				s := entity.Submission{KeyHash: "a", Service: "small", PromptTokens: 80, MaxTokens: 50, Fingerprint: fmt.Sprintf("lethal%d", k)}
				f.Submit(f.VMs[f.Random.IntN(len(f.VMs))], s, Body{OutputTokens: 30}, &Result{Label: "lethal"})
			})
		}
	}
	f.Run(until + 60*time.Second)
	others := f.Summarize("bystander", 0, until)
	result := CrashResult{CrashingRequests: crashingRequests, OtherRequests: others.Sent, OtherRefused: others.Refused, RefusalReasons: others.RefusalReasons}
	for _, e := range f.Engines {
		result.EngineCrashes += e.Crashes
	}
	result.Quarantined, result.FalselyQuarantined = f.countQuarantined()
	for _, r := range f.Results {
		result.RetryRatio += float64(max(r.Attempts-1, 0)) / float64(len(f.Results))
	}
	return result
}

// countQuarantined counts the fingerprints that any VM has quarantined, and those
// of them whose requests crash nothing.
func (f *Fleet) countQuarantined() (total, falsely int) {
	var fingerprints entity.Table[string, bool]
	for _, vm := range f.VMs {
		for _, fingerprint := range vm.Router.World.Config.Quarantined.Keys() {
			fingerprints.Put(fingerprint, true)
		}
	}
	for _, fingerprint := range fingerprints.Keys() {
		total++
		if len(fingerprint) < 6 || fingerprint[:6] != "lethal" {
			falsely++
		}
	}
	return total, falsely
}

// PrintCrash prints a table of runs with one and with two requests that crash
// engines, over several seeds.
func PrintCrash(out io.Writer, seed uint64) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "lethal requests\tseed\tendpoints lost\tbystanders\tunanswered\tquarantined\tinnocents among them\tretries\treasons")
	for _, n := range []int{1, 2} {
		for i := range uint64(5) {
			r := RunCrash(seed+i, n)
			fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%v\n", n, seed+i, r.EngineCrashes, r.OtherRequests, r.OtherRefused, r.Quarantined, r.FalselyQuarantined, 100*r.RetryRatio, r.RefusalReasons.Keys())
		}
	}
	t.Flush()
}
