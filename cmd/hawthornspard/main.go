// Command hawthornspard is one VM of the router fleet.
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

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
	exitFenced   = 3
)

const description = `Every VM runs one hawthornspard; all are alike. Callers speak the
chat-completions protocol or plain HTTP to --listen. Operators use the
hawthornspar client against --operator-listen, which also has /healthz,
/readyz and /metrics. Each flag has an environment variable HAWTHORNSPAR_NAME.

SIGTERM stops gracefully: callers are sent elsewhere, every request in flight
is finished, every charge is written and every grant is returned.

Exit codes: 0 stopped gracefully, 1 failed, 2 wrong settings, 3 replaced by
another incarnation of this VM.`

func main() {
	command := &cli.Command{
		Name: "hawthornspard", Usage: "router for prepaid token budgets",
		Description: description, Flags: settings.Flags(), Action: run,
		Commands: []*cli.Command{gatewayCommand(), checkCommand()},
	}
	err := command.Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "hawthornspard:", err)
	os.Exit(code(err))
}

func code(err error) int {
	var wrong *settings.Error
	var fenced *daemon.FencedError
	switch {
	case errors.As(err, &wrong):
		return exitSettings
	case errors.As(err, &fenced):
		return exitFenced
	}
	return exitFailed
}

func run(ctx context.Context, c *cli.Command) error {
	s, err := settings.Read(c)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := daemon.New(s, timer.Real{}, daemon.NewLog(os.Stderr, s.Verbosity))
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
