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

// AffinityResult is the outcome of one strategy to choose endpoints.
type AffinityResult struct {
	ChooserName  string  // name of the strategy
	CacheHitRate float64 // share of started attempts whose prefix was cached
	Summary      Summary
	PeakToMean   float64 // attempts on the busiest engine, divided by the mean
}

// RunAffinity sends prompts that share popular prefixes, more of them than an
// engine caches, at a load given as a share of saturationRate.
func RunAffinity(seed uint64, name string, chooser dispatch.Chooser, load float64) AffinityResult {
	f := New(seed, vmCount, world.DefaultPolicy(), core.WithDispatch(dispatch.WithChooser(chooser)))
	f.Table.Configure(entity.Rank{Name: "normal", Order: 1, TargetMillis: 30_000})
	f.Table.Configure(entity.Service{Name: "small", Kind: entity.KindModel, Idempotent: true, MaxTokens: 4000})
	f.Table.AddAccount("a", "normal", 1_000_000_000)
	f.addEngines(Engine{
		Slots: engineSlots, QueueSize: 2, TimePerToken: engineTimePerToken,
		PrefillTime: 400 * time.Millisecond, CacheSize: 12,
	})
	f.AddSource(Source{
		Label: "a", Account: "a", RequestRate: saturationRate * load, From: 3 * time.Second, Until: 60 * time.Second, Prefixes: 100,
		PromptTokens: 1_000, MeanOutputTokens: meanOutputTokens, MaxTokens: maxTokens, FirstTokenTarget: 30 * time.Second,
	})
	f.Run(90 * time.Second)
	result := AffinityResult{ChooserName: name, Summary: f.Summarize("a", 10*time.Second, 60*time.Second)}
	var hits, started, busiest int
	for _, e := range f.Engines {
		hits += e.CacheHits
		started += e.Started
		busiest = max(busiest, e.Started)
	}
	result.CacheHitRate = float64(hits) / float64(max(started, 1))
	result.PeakToMean = float64(busiest) * engineCount / float64(max(started, 1))
	return result
}

// PrintAffinity prints a table that compares strategies to choose endpoints.
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
			fmt.Fprintf(t, "%.1f\t%s\t%.0f%%\t%s\t%s\t%.2f\t%.1f%%\n", load, r.ChooserName, 100*r.CacheHitRate,
				r.Summary.FirstTokenMedian.Round(time.Millisecond), r.Summary.FirstTokenP95.Round(time.Millisecond), r.PeakToMean, percent(r.Summary.Completed, r.Summary.Sent))
		}
	}
	t.Flush()
}
