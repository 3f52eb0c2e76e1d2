package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"hawthornspar/core/quarantine"
	"hawthornspar/io/http1"
	"hawthornspar/io/settings"
	"hawthornspar/platform"
)

// storeTimeout bounds a command's work with the store.
const storeTimeout = 10 * time.Second

// quarantineCommand returns the commands for what is quarantined on the users'
// platform. They work with the store only, so they need no VM.
func quarantineCommand() *cli.Command {
	flags := []cli.Flag{settingsFlag()}
	return &cli.Command{
		Name: "quarantine", Usage: "see and lift quarantines of requests, and of parts of prompts, that crashed endpoints",
		Commands: []*cli.Command{
			{Name: "list", Usage: "print what is quarantined", Flags: flags, Action: listQuarantines},
			{Name: "lift", Usage: "lift a quarantine; it begins again with further crashes", ArgsUsage: "FEATURE", Flags: flags, Action: liftQuarantine},
		},
	}
}

// listQuarantines prints what is quarantined, as the VMs decide it.
func listQuarantines(ctx context.Context, c *cli.Command) error {
	table, _, err := readQuarantines(ctx, c)
	if err != nil {
		return err
	}
	for _, q := range table.List(time.Now()) {
		fmt.Println(describe(q))
	}
	return nil
}

// describe returns the line that describes a quarantine.
func describe(q quarantine.Quarantine) string {
	var crashes []string
	for _, in := range q.Crashes {
		crashes = append(crashes, fmt.Sprintf("%s(born %d)", in.Endpoint, in.Born))
	}
	next := "none"
	if q.NextTrial >= 0 {
		next = "in " + q.NextTrial.Round(time.Second).String()
	}
	line := fmt.Sprintf("%s crashes=%s bytes=%d afterMs=%d refuted=%d soundRuns=%d reportedBy=%s trials=%d nextTrial=%q", q.Feature, strings.Join(crashes, ","),
		q.Caught.Bytes, q.Caught.Ms, q.Refuted, q.SoundRuns, strings.Join(q.Reporters, ","), q.Trials, next)
	if q.LastTrial != "" {
		line += " lastTrialAt=" + q.LastTrial
	}
	return line
}

// NotQuarantinedError reports a feature that is not quarantined.
type NotQuarantinedError struct{ Feature quarantine.Feature }

// Error implements error.
func (e *NotQuarantinedError) Error() string { return string(e.Feature) + " is not quarantined" }

// liftQuarantine lifts the quarantine of the feature in the first argument.
func liftQuarantine(ctx context.Context, c *cli.Command) error {
	feature := quarantine.Feature(c.Args().First())
	table, nowMs, err := readQuarantines(ctx, c)
	if err != nil {
		return err
	}
	if table.Check([]quarantine.Feature{feature}, time.Now()).Allowed {
		return &NotQuarantinedError{Feature: feature}
	}
	store, err := openStore(c)
	if err != nil {
		return err
	}
	lift := quarantine.Lift(feature, nowMs)
	return store.WriteCrashes(ctx, []quarantine.Write{{Sound: &lift}})
}

// readQuarantines reads what VMs share, and the time on the store's clock.
func readQuarantines(ctx context.Context, c *cli.Command) (*quarantine.Table, int64, error) {
	store, err := openStore(c)
	if err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	change, at, err := store.Crashes(ctx)
	if err != nil {
		return nil, 0, err
	}
	table := quarantine.NewTable(quarantine.OperatorName)
	table.SetStoreClock(at.Ms, time.Now())
	table.Replace(change, time.Now())
	return table, at.Ms, nil
}

// openStore returns a client of the store that the settings file names.
func openStore(c *cli.Command) (*platform.Client, error) {
	w := &settings.Watcher{Path: c.String("settings")}
	s, err := w.Load()
	if err != nil {
		return nil, err
	}
	return platform.NewClient(s.Store, quarantine.OperatorName, platform.NewTransport(http1.NewDialer())), nil
}
