// Command soak plays random faults against the daemons that soak/run.sh starts,
// and judges what came of it.
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

// folder is a folder on disk.
type folder string

// Write replaces a file at once, so that nobody reads half of it.
func (f folder) Write(name, text string) error {
	path := filepath.Join(string(f), name)
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Read implements soak.Folder.
func (f folder) Read(name string) (string, error) {
	raw, err := os.ReadFile(filepath.Join(string(f), name))
	return string(raw), err
}

// Remove implements soak.Folder.
func (f folder) Remove(name string) error { return os.Remove(filepath.Join(string(f), name)) }

func main() {
	command := &cli.Command{
		Name: "soak", Usage: "play random faults against daemons that a supervisor starts in a folder",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Usage: "the folder", Required: true},
			&cli.Uint64Flag{Name: "seed", Usage: "of the schedule", Value: 1},
			&cli.IntFlag{Name: "vms", Usage: "daemons", Value: 10},
			&cli.DurationFlag{Name: "faults", Usage: "time over which faults come", Value: 16 * time.Second},
			&cli.IntFlag{Name: "count", Usage: "faults", Value: 14},
		},
		Action: play,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

func play(_ context.Context, c *cli.Command) error {
	o := soak.Options{Seed: c.Uint64("seed"), VMs: c.Int("vms"), Faults: c.Duration("faults"), Count: c.Int("count"), Out: os.Stdout}
	run, err := soak.New(o, folder(c.String("dir")))
	if err != nil {
		return err
	}
	history := run.Play()
	found := soak.Judge(history)
	fmt.Println(soak.Summary(o.Seed, history, found))
	for _, v := range found {
		fmt.Println("  BROKEN", v)
	}
	if len(found) > 0 {
		os.Exit(1)
	}
	return nil
}
