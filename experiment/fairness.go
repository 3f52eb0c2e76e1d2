package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"hawthornspar/core/world"
)

// RunFairness sends the work of five small accounts beside that of so many
// large ones, and returns what the small ones got.
func RunFairness(seed uint64, large int, load float64) (small, big Summary) {
	f := New(seed, rankRouters, world.DefaultPolicy())
	f.oneRank()
	f.addEngines(Engine{Slots: rankSlots, QueueSize: 2, TokenTime: rankTokenTime})
	const smalls = 5
	until := floodUntil
	send := func(label, account string, rate float64, nodes int) {
		f.Table.Account(account, "normal", 1_000_000_000)
		f.Send(Source{
			Label: label, Account: account, Rate: rate, From: 3 * time.Second, Until: until, Nodes: nodes,
			Prompt: rankPrompt, Output: rankOutput, Limit: rankLimit, Target: 30 * time.Second, Worth: 1,
		})
	}
	for i := range smalls {
		send("small", fmt.Sprintf("small%d", i), fullRate*0.03, 0)
	}
	for i := range large {
		// The large accounts reach different routers unevenly.
		send("large", fmt.Sprintf("large%d", i), fullRate*load/float64(large), 3+i)
	}
	f.Run(until + 60*time.Second)
	from := 20 * time.Second
	return f.Summarize("small", from, until), f.Summarize("large", from, until)
}

// PrintFairness compares small accounts alone with small beside large ones.
func PrintFairness(out io.Writer, seed uint64) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "large accounts\ttheir load\tsmall answered\tfirst token median\tp95\twhole answer p95\tbeside alone\tlarge answered\tlarge first token p95")
	alone, _ := RunFairness(seed, 0, 0)
	rows := []struct {
		large int
		load  float64
	}{{0, 0}, {1, 1}, {2, 2}, {3, 5}, {3, 10}}
	for _, row := range rows {
		small, big := RunFairness(seed, row.large, row.load)
		fmt.Fprintf(t, "%d\t%.0fx\t%.1f%%\t%s\t%s\t%s\t%.2f\t%.1f%%\t%s\n", row.large, row.load,
			percent(small.Answered, small.Sent), small.Median.Round(time.Millisecond), small.P95.Round(time.Millisecond),
			small.Whole95.Round(time.Millisecond), float64(small.Whole95)/float64(alone.Whole95), percent(big.Answered, big.Sent), big.P95.Round(time.Millisecond))
	}
	t.Flush()
}
