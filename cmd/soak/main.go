// Command soak injects random faults into the daemons that soak/run.sh starts, and
// checks that the system's invariants held. It exits with 1 if any was violated, and
// with 2 if it could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"hawthornspar/soak"
)

// directory is the path of a directory on disk and implements soak.SupervisorDir.
type directory string

// Write replaces a file atomically, so that no reader sees partial content.
func (d directory) Write(name, text string) error {
	path := filepath.Join(string(d), name)
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Read returns the content of a file.
func (d directory) Read(name string) (string, error) {
	raw, err := os.ReadFile(filepath.Join(string(d), name))
	return string(raw), err
}

// Remove deletes a file.
func (d directory) Remove(name string) error { return os.Remove(filepath.Join(string(d), name)) }

func main() {
	command := &cli.Command{
		Name: "soak", Usage: "inject random faults into daemons that a supervisor starts, and check the invariants",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Usage: "directory of the daemons' files, shared with the supervisor", Required: true},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the fault schedule", Value: 1},
			&cli.IntFlag{Name: "vms", Usage: "daemons", Value: 10},
			&cli.DurationFlag{Name: "faults", Usage: "period in which faults are injected", Value: 16 * time.Second},
			&cli.IntFlag{Name: "count", Usage: "faults", Value: 14},
		},
		Action: runSoak,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

// runSoak runs the soak that the flags describe and prints its summary and the
// violations found.
func runSoak(_ context.Context, c *cli.Command) error {
	o := soak.Options{Seed: c.Uint64("seed"), VMs: c.Int("vms"), FaultPeriod: c.Duration("faults"), Events: c.Int("count"), Out: os.Stdout}
	harness, err := soak.New(o, directory(c.String("dir")))
	if err != nil {
		return err
	}
	history := harness.Run()
	violations := soak.Check(history)
	fmt.Println(soak.Summary(o.Seed, history, violations))
	for _, v := range violations {
		fmt.Println("  BROKEN", v)
	}
	if len(violations) > 0 {
		os.Exit(1)
	}
	return nil
}
