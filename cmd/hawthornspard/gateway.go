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

	"hawthornspar/core/coldstart"
	"hawthornspar/core/retrybudget"
	"hawthornspar/io/daemon"
	"hawthornspar/io/gateway"
	"hawthornspar/io/http1"
	"hawthornspar/io/logline"
	"hawthornspar/io/metrics"
	"hawthornspar/io/settings"
	"hawthornspar/io/storepath"
	"hawthornspar/platform"
)

// Settings of the garbage collector: the Go memory limit as a share of the VM's
// memory, and the percentage of heap growth between two collections.
const (
	memoryLimitRatio = 0.7
	gcPercent        = 50
)

// bytesPerMbit is the number of bytes in a megabit.
const bytesPerMbit = 1_000_000 / 8

// logFlushTimeout bounds how long the process waits at its end for a slow reader of
// its log.
const logFlushTimeout = 200 * time.Millisecond

// gatewayCommand returns the command that serves clients with the settings in a
// file.
func gatewayCommand() *cli.Command {
	return &cli.Command{Name: "gateway", Usage: "serve clients on the users' platform", Flags: []cli.Flag{settingsFlag()}, Action: runGateway}
}

// settingsFlag returns the flag that names a gateway's settings file.
func settingsFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "settings", Usage: "file of NAME=value lines",
		Sources: cli.EnvVars("HAWTHORNSPAR_BOOT"), Required: true,
	}
}

// checkCommand returns the command that validates a settings file. It fails with
// a *settings.Error that lists all problems of an invalid file.
func checkCommand() *cli.Command {
	return &cli.Command{Name: "check", Usage: "check a gateway's settings file", ArgsUsage: "FILE", Action: func(_ context.Context, c *cli.Command) error {
		w := &settings.Watcher{Path: c.Args().First()}
		_, err := w.Load()
		return err
	}}
}

// runGateway runs the gateway until SIGTERM or SIGINT shuts it down, or it fails.
// It reloads the settings file when the file changes or SIGHUP arrives.
func runGateway(ctx context.Context, c *cli.Command) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	watcher := &settings.Watcher{Path: c.String("settings"), Hangup: hangup}
	s, err := watcher.Load()
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(s.MemoryMB<<20)))
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	registry, err := metrics.New()
	if err != nil {
		return err
	}
	dialer := http1.NewDialer()
	logWriter := logline.NewWriter(os.Stdout)
	defer logWriter.Flush(logFlushTimeout)
	log := daemon.NewLogger(logWriter, s.Verbosity).WithValues("vm", s.Name)
	path := storepath.New(platform.NewTransport(dialer), storepath.WithObserver(func(p storepath.Path) { log.Info("store path", "path", p.String()) }))
	store := platform.NewClient(s.Store, s.Name, path)
	relay := &storepath.Relay{Transport: path, Store: s.Store, Log: log}
	g := gateway.New(gatewaySettings(s), store, platform.Headers{}, http1.NewPool(dialer), registry, gateway.WithLog(log), gateway.WithStoreRelay(relay))
	store.SetEraObserver(g)
	path.SetPeers(g)
	watcher.Log = log
	watcher.Apply = func(next settings.Gateway) { g.Reload(gatewaySettings(next)) }
	watcher.Watch(ctx)
	return g.Run(ctx)
}

// gatewaySettings converts the settings of a file to those of package gateway, with
// a new incarnation.
func gatewaySettings(s settings.Gateway) gateway.Settings {
	return gateway.Settings{
		Name: s.Name, Incarnation: uuid.NewString(), FailureDomain: s.FailureDomain,
		Listen: s.Listen, ReadyListen: s.ReadyListen, PeerListen: s.PeerListen, ControlListen: s.ControlListen, Seeds: s.Seeds, MetricsListen: s.MetricsListen,
		Retries:              retrybudget.Limit{Ratio: s.RetryRatio, Extra: s.RetryExtra, Window: s.RetryWindow},
		BudgetReportInterval: s.BudgetReportInterval, BudgetGroups: s.BudgetGroups, StoreWritesPerSecond: s.StoreWritesPerSecond,
		GracePeriod: s.GracePeriod, DrainNotice: s.DrainNotice, LinkBytesPerSecond: s.LinkMbps * bytesPerMbit,
		MemoryBytes: int64(s.MemoryMB) << 20, Cold: coldstart.Margin{Overrun: s.ColdOverrun, Slack: s.ColdSlack},
	}
}
