package scenarios

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// cmdCompete runs two operators' commands at the same time, each through its
// own VM. One must succeed and the other must fail with a conflict, which is
// exit code 3.
func cmdCompete(f *fleet, args []string) error {
	i := slices.Index(args, "--")
	sides := [][]string{args[:i], args[i+1:]}
	exitCodes := make([]int, 2)
	var wg sync.WaitGroup
	for k, side := range sides {
		wg.Add(1)
		go func() {
			defer wg.Done()
			exitCodes[k] = f.cliExitCode(side[0], side[1:])
		}()
	}
	wg.Wait()
	slices.Sort(exitCodes)
	if exitCodes[0] != 0 || exitCodes[1] != 3 {
		return errors.Errorf("exit codes %v, not one 0 and one 3", exitCodes)
	}
	return nil
}

// cliExitCode runs the operators' client against one VM and returns its exit
// code.
func (f *fleet) cliExitCode(vmName string, args []string) int {
	cmd := exec.Command(filepath.Join(f.binDir, "hawthornspar"),
		append([]string{"--entry", f.vm(vmName).operatorAddress, "--secret", f.operatorSecret}, args...)...)
	cmd.Run()
	return cmd.ProcessState.ExitCode()
}

func cmdPrepaid(f *fleet, args []string) error {
	row, _, err := f.budget(args[0])
	if err == nil && row.Prepaid != int64(atoiOr(args[1], -1)) {
		return errors.Errorf("%s: %d prepaid, not %s", args[0], row.Prepaid, args[1])
	}
	return err
}

func cmdRunsAt(f *fleet, args []string) error {
	n, err := f.endpoint(args[0]).runsOf(args[1])
	if err == nil && n != atoiOr(args[2], -1) {
		return errors.Errorf("%s ran %s %d times, not %s", args[0], args[1], n, args[2])
	}
	return err
}

// cmdOperate prints the command's output if SHOW is set in the environment.
func cmdOperate(f *fleet, args []string) error {
	out, err := f.cli(args...)
	if err == nil && os.Getenv("SHOW") != "" {
		os.Stdout.WriteString(out)
	}
	return err
}

func cmdSettled(f *fleet, _ []string) error { return f.awaitSameConfiguration() }
