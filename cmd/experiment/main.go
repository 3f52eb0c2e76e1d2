// Command experiment compares policies on virtual time and prints tables.
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"hawthornspar/experiment"
)

// table is one experiment.
type table struct {
	name, usage string
	print       func(out io.Writer, seed uint64)
}

var tables = []table{
	{"grants", "sizes of grants: false refusals, outages, deaths", experiment.PrintGrants},
	{"ranks", "floods against ranks with floors, strict ranks and first-in-first-out", experiment.PrintRanks},
	{"fairness", "small accounts beside large ones", experiment.PrintFairness},
	{"crash", "requests that crash endpoints", experiment.PrintCrash},
	{"slopes", "how one router's cost grows with each quantity", experiment.PrintSlopes},
	{"affinity", "choice of endpoint on prefix caches", experiment.PrintAffinity},
}

func main() {
	root := &cli.Command{
		Name: "experiment", Usage: "compare policies on virtual time",
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
