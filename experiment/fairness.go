package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"hawthornspar/core/world"
)

// RunFairness sends the requests of five small client accounts and those of
// largeAccounts large ones, whose total load is given as a multiple of
// saturationRate. It summarizes the requests of the small and the large accounts.
func RunFairness(seed uint64, largeAccounts int, load float64) (small, large Summary) {
	f := New(seed, vmCount, world.DefaultPolicy())
	f.configureSingleRank()
	f.addEngines(Engine{Slots: engineSlots, QueueSize: 2, TimePerToken: engineTimePerToken})
	const smallAccounts = 5
	until := floodEnd
	addAccount := func(label, account string, rate float64, entryVMs int) {
		f.Table.AddAccount(account, "normal", 1_000_000_000)
		f.AddSource(Source{
			Label: label, Account: account, RequestRate: rate, From: 3 * time.Second, Until: until, EntryVMs: entryVMs,
			PromptTokens: promptTokens, MeanOutputTokens: meanOutputTokens, MaxTokens: maxTokens, FirstTokenTarget: 30 * time.Second, Worth: 1,
		})
	}
	for i := range smallAccounts {
		addAccount("small", fmt.Sprintf("small%d", i), saturationRate*0.03, 0)
	}
	for i := range largeAccounts {
		// Each large account sends to a different number of VMs, so that the
		// VMs get unequal loads.
		addAccount("large", fmt.Sprintf("large%d", i), saturationRate*load/float64(largeAccounts), 3+i)
	}
	f.Run(until + 60*time.Second)
	from := 20 * time.Second
	return f.Summarize("small", from, until), f.Summarize("large", from, until)
}

// PrintFairness prints a table that compares how small client accounts are
// served alone and beside large ones.
func PrintFairness(out io.Writer, seed uint64) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "large accounts\ttheir load\tsmall answered\tfirst token median\tp95\twhole answer p95\tbeside alone\tlarge answered\tlarge first token p95")
	alone, _ := RunFairness(seed, 0, 0)
	rows := []struct {
		largeAccounts int
		load          float64
	}{{0, 0}, {1, 1}, {2, 2}, {3, 5}, {3, 10}}
	for _, row := range rows {
		small, large := RunFairness(seed, row.largeAccounts, row.load)
		fmt.Fprintf(t, "%d\t%.0fx\t%.1f%%\t%s\t%s\t%s\t%.2f\t%.1f%%\t%s\n", row.largeAccounts, row.load,
			percent(small.Completed, small.Sent), small.FirstTokenMedian.Round(time.Millisecond), small.FirstTokenP95.Round(time.Millisecond),
			small.ResponseP95.Round(time.Millisecond), float64(small.ResponseP95)/float64(alone.ResponseP95), percent(large.Completed, large.Sent), large.FirstTokenP95.Round(time.Millisecond))
	}
	t.Flush()
}
