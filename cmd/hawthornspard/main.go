// Command hawthornspard runs one VM of the router fleet.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"hawthornspar/io/daemon"
	"hawthornspar/io/settings"
	"hawthornspar/timer"
)

// Exit codes of hawthornspard, listed for operators in description.
const (
	exitFailed          = 1
	exitInvalidSettings = 2
	exitFenced          = 3
)

const description = `Every VM runs one hawthornspard, and all VMs have the same role. Callers speak
the chat-completions protocol or plain HTTP to --listen. Operators use the
hawthornspar client with --operator-listen, which also serves /healthz,
/readyz and /metrics. Each flag can also be set by an environment variable, such
as HAWTHORNSPAR_NAME for --name.

SIGTERM shuts down gracefully: callers are directed to other VMs, every request
in flight is completed, every charge is written and every grant is returned.

Exit codes: 0 shut down gracefully, 1 failed, 2 invalid settings, 3 replaced by
another incarnation of this VM.`

func main() {
	command := &cli.Command{
		Name: "hawthornspard", Usage: "router for prepaid token budgets",
		Description: description, Flags: settings.Flags(), Action: runDaemon,
		Commands: []*cli.Command{gatewayCommand(), checkCommand(), quarantineCommand()},
	}
	err := command.Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "hawthornspard:", err)
	os.Exit(exitCode(err))
}

// exitCode returns the exit code for a command that ended with err.
func exitCode(err error) int {
	var invalid *settings.Error
	var fenced *daemon.FencedError
	switch {
	case errors.As(err, &invalid):
		return exitInvalidSettings
	case errors.As(err, &fenced):
		return exitFenced
	}
	return exitFailed
}

// runDaemon runs the daemon until SIGTERM or SIGINT shuts it down, or it fails.
func runDaemon(ctx context.Context, c *cli.Command) error {
	s, err := settings.Read(c)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := daemon.New(s, timer.SystemClock{}, daemon.NewLogger(os.Stderr, s.Verbosity))
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
