package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"hawthornspar/core/retrybudget"
	"hawthornspar/io/daemon"
	"hawthornspar/io/gateway"
	"hawthornspar/io/http1"
	"hawthornspar/io/logline"
	"hawthornspar/io/metrics"
	"hawthornspar/io/settings"
	"hawthornspar/platform"
)

// Share of the VM's memory that the collector may use, and its target.
const (
	memoryShare    = 0.7
	collectPercent = 50
)

// bytesPerMbit are the bytes of a megabit.
const bytesPerMbit = 1_000_000 / 8

// flushMost bounds how long the end of the process waits for a slow reader of
// its log.
const flushMost = 200 * time.Millisecond

func gatewayCommand() *cli.Command {
	file := &cli.StringFlag{
		Name: "settings", Usage: "file of NAME=value lines",
		Sources: cli.EnvVars("HAWTHORNSPAR_BOOT"), Required: true,
	}
	return &cli.Command{Name: "gateway", Usage: "serve clients on the users' platform", Flags: []cli.Flag{file}, Action: runGateway}
}

// checkCommand reads a settings file and says what is wrong with it.
func checkCommand() *cli.Command {
	return &cli.Command{Name: "check", Usage: "check a gateway's settings file", ArgsUsage: "FILE", Action: func(_ context.Context, c *cli.Command) error {
		w := &settings.Watcher{Path: c.Args().First()}
		_, err := w.Load()
		return err
	}}
}

func runGateway(ctx context.Context, c *cli.Command) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	watcher := &settings.Watcher{Path: c.String("settings"), Hangup: hangup}
	s, err := watcher.Load()
	if err != nil {
		return err
	}
	debug.SetGCPercent(collectPercent)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB<<20)))
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	counts, err := metrics.New()
	if err != nil {
		return err
	}
	dialer := http1.NewDialer()
	store := platform.NewClient(s.Store, s.Name, dialer)
	lines := logline.NewWriter(os.Stdout)
	defer lines.Flush(flushMost)
	log := daemon.NewLog(lines, s.Verbosity).WithValues("vm", s.Name)
	g := gateway.New(gatewaySettings(s), store, platform.Headers{}, http1.NewPool(dialer), counts, gateway.WithLog(log))
	watcher.Log = log
	watcher.Apply = func(next settings.Gateway) { g.Reload(gatewaySettings(next)) }
	watcher.Watch(ctx)
	return g.Run(ctx)
}

func gatewaySettings(s settings.Gateway) gateway.Settings {
	return gateway.Settings{
		Name: s.Name, Incarnation: uuid.NewString(), Domain: s.Domain,
		Listen: s.Listen, Ready: s.Ready, Peer: s.Peer, Control: s.Control, Seeds: s.Seeds, Metrics: s.Metrics,
		Retries:      retrybudget.Bound{Ratio: s.RetryRatio, Extra: s.RetryExtra, Window: s.RetryWindow},
		BudgetReport: s.Report, BudgetGroups: s.BudgetGroups, StoreWrites: s.StoreWrites,
		Grace: s.Grace, LinkBytes: s.LinkMbps * bytesPerMbit,
	}
}
