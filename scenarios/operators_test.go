package scenarios

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// cmdCompete runs two operators' commands at one moment, each at its router.
// One must be accepted and the other be told of a conflict.
func cmdCompete(f *fleet, args []string) error {
	i := slices.Index(args, "--")
	sides := [][]string{args[:i], args[i+1:]}
	codes := make([]int, 2)
	var both sync.WaitGroup
	for k, side := range sides {
		both.Add(1)
		go func() {
			defer both.Done()
			codes[k] = f.cliAt(side[0], side[1:])
		}()
	}
	both.Wait()
	slices.Sort(codes)
	if codes[0] != 0 || codes[1] != 3 {
		return errors.Errorf("exit codes %v, not one 0 and one 3", codes)
	}
	return nil
}

func (f *fleet) cliAt(router string, args []string) int {
	cmd := exec.Command(filepath.Join(f.bin, "hawthornspar"),
		append([]string{"--entry", f.router(router).operator, "--secret", f.secret}, args...)...)
	cmd.Run()
	return cmd.ProcessState.ExitCode()
}

func cmdPrepaid(f *fleet, args []string) error {
	row, _, err := f.budget(args[0])
	if err == nil && row.Prepaid != int64(number(args[1], -1)) {
		return errors.Errorf("%s: %d prepaid, not %s", args[0], row.Prepaid, args[1])
	}
	return err
}

func cmdRunsAt(f *fleet, args []string) error {
	n, err := f.place(args[0]).runsOf(args[1])
	if err == nil && n != number(args[2], -1) {
		return errors.Errorf("%s ran %s %d times, not %s", args[0], args[1], n, args[2])
	}
	return err
}

func cmdOperate(f *fleet, args []string) error {
	out, err := f.cli(args...)
	if err == nil && os.Getenv("SHOW") != "" {
		os.Stdout.WriteString(out)
	}
	return err
}

func cmdSettled(f *fleet, _ []string) error { return f.settled() }
