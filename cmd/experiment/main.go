// Command experiment compares policies in virtual time and prints the results as
// tables.
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"hawthornspar/experiment"
)

// table is an experiment that prints its result as a table.
type table struct {
	name, usage string
	print       func(out io.Writer, seed uint64)
}

var tables = []table{
	{"grants", "grant sizes: false refusals, outages, crashes", experiment.PrintGrants},
	{"ranks", "overload under ranks with floors, strict ranks and first-in-first-out", experiment.PrintRanks},
	{"fairness", "service of small accounts next to large ones", experiment.PrintFairness},
	{"crash", "requests that crash endpoints", experiment.PrintCrash},
	{"slopes", "growth of one router's cost with each quantity", experiment.PrintSlopes},
	{"affinity", "choice of endpoint with prefix caches", experiment.PrintAffinity},
}

func main() {
	root := &cli.Command{
		Name: "experiment", Usage: "compare policies in virtual time",
		Flags: []cli.Flag{&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of all random choices"}},
	}
	for _, t := range tables {
		root.Commands = append(root.Commands, &cli.Command{
			Name: t.name, Usage: t.usage,
			Action: func(_ context.Context, c *cli.Command) error {
				t.print(os.Stdout, c.Uint64("seed"))
				return nil
			},
		})
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}
