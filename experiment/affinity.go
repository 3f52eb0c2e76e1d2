package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"hawthornspar/core"
	"hawthornspar/core/dispatch"
	"hawthornspar/core/entity"
	"hawthornspar/core/world"
)

// AffinityRun is the outcome of one way to choose endpoints.
type AffinityRun struct {
	Chooser string
	Hits    float64 // share of prompts whose prefix was cached
	Summary Summary
	Spread  float64 // the busiest endpoint's runs over the mean
}

// RunAffinity sends prompts with popular prefixes.
func RunAffinity(seed uint64, name string, chooser dispatch.Chooser, load float64) AffinityRun {
	f := New(seed, rankRouters, world.DefaultPolicy(), core.WithDispatch(dispatch.WithChooser(chooser)))
	f.Table.Change(entity.Rank{Name: "normal", Order: 1, TargetMillis: 30_000})
	f.Table.Change(entity.Service{Name: "small", Kind: entity.KindModel, Idempotent: true, MaxTokens: 4000})
	f.Table.Account("a", "normal", 1_000_000_000)
	f.addEngines(Engine{
		Slots: rankSlots, QueueSize: 2, TokenTime: rankTokenTime,
		Prefill: 400 * time.Millisecond, CacheSize: 12,
	})
	f.Send(Source{
		Label: "a", Account: "a", Rate: fullRate * load, From: 3 * time.Second, Until: 60 * time.Second, Prefix: 100,
		Prompt: 1_000, Output: rankOutput, Limit: rankLimit, Target: 30 * time.Second,
	})
	f.Run(90 * time.Second)
	run := AffinityRun{Chooser: name, Summary: f.Summarize("a", 10*time.Second, 60*time.Second)}
	var hits, runs, most int
	for _, e := range f.Engines {
		hits += e.Hits
		runs += e.Runs
		most = max(most, e.Runs)
	}
	run.Hits = float64(hits) / float64(max(runs, 1))
	run.Spread = float64(most) * rankEngines / float64(max(runs, 1))
	return run
}

// PrintAffinity compares the choices of endpoints.
func PrintAffinity(out io.Writer, seed uint64) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "load\tchoice\tcache hits\tmedian\tp95\tbusiest over mean\tanswered")
	choosers := []struct {
		name    string
		chooser dispatch.Chooser
	}{{"affinity", dispatch.Affinity{}}, {"least loaded", dispatch.LeastLoaded{}}, {"random", dispatch.Random{}}}
	for _, load := range []float64{0.3, 0.6} {
		for _, c := range choosers {
			r := RunAffinity(seed, c.name, c.chooser, load)
			fmt.Fprintf(t, "%.1f\t%s\t%.0f%%\t%s\t%s\t%.2f\t%.1f%%\n", load, r.Chooser, 100*r.Hits,
				r.Summary.Median.Round(time.Millisecond), r.Summary.P95.Round(time.Millisecond), r.Spread, percent(r.Summary.Answered, r.Summary.Sent))
		}
	}
	t.Flush()
}
