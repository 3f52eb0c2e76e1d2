package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"hawthornspar/io/entry"
	"hawthornspar/io/wire"
)

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name: "service", Usage: "models and app services",
		Commands: []*cli.Command{{
			Name: "put", Usage: "NAME: create or change a service",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "kind", Value: "model", Usage: "model or app"},
				&cli.BoolFlag{Name: "repeatable", Usage: "calls may be repeated; always so for models"},
				&cli.Int64Flag{Name: "price", Usage: "tokens for one call of an app service"},
				&cli.Int64Flag{Name: "max-tokens", Usage: "longest answer of a model"},
			},
			Action: func(_ context.Context, c *cli.Command) error {
				args, err := arguments(c, "NAME")
				if err != nil {
					return err
				}
				return change(c, entry.PutService(&wire.Service{
					Name: args[0], Kind: c.String("kind"),
					Repeatable: c.Bool("repeatable") || c.String("kind") == "model",
					Price:      c.Int64("price"), MaxTokens: c.Int64("max-tokens"),
				}))
			},
		}},
	}
}

func rankCommand() *cli.Command {
	return &cli.Command{
		Name: "rank", Usage: "ranks of work",
		Commands: []*cli.Command{{
			Name: "put", Usage: "NAME: create or change a rank",
			Flags: []cli.Flag{
				&cli.Int32Flag{Name: "order", Usage: "0 is the most urgent"},
				&cli.DurationFlag{Name: "target", Usage: "time to the first token", Required: true},
				&cli.Int64Flag{Name: "worth", Value: 1, Usage: "worth of a request served in time"},
				&cli.Int32Flag{Name: "floor", Usage: "percent of capacity kept in a flood of other ranks"},
			},
			Action: func(_ context.Context, c *cli.Command) error {
				args, err := arguments(c, "NAME")
				if err != nil {
					return err
				}
				return change(c, entry.PutRank(&wire.Rank{
					Name: args[0], Order: c.Int32("order"), TargetMillis: c.Duration("target").Milliseconds(),
					Worth: c.Int64("worth"), FloorPercent: c.Int32("floor"),
				}))
			},
		}},
	}
}

func endpointCommand() *cli.Command {
	return &cli.Command{
		Name: "endpoint", Usage: "endpoints",
		Commands: []*cli.Command{
			{
				Name: "add", Usage: "NAME IP:PORT: add or change an endpoint",
				Flags: []cli.Flag{
					&cli.StringSliceFlag{Name: "service", Usage: "a service that it runs; may be repeated", Required: true},
					&cli.Int32Flag{Name: "slots", Value: 16, Usage: "requests that it runs at a time"},
					&cli.StringFlag{Name: "failure-domain", Usage: "its failure domain"},
				},
				Action: func(_ context.Context, c *cli.Command) error {
					args, err := arguments(c, "NAME", "IP:PORT")
					if err != nil {
						return err
					}
					return change(c, entry.PutEndpoint(&wire.Endpoint{
						Name: args[0], Address: args[1], Domain: c.String("failure-domain"),
						Services: c.StringSlice("service"), Slots: c.Int32("slots"),
					}))
				},
			},
			{Name: "drain", Usage: "NAME: give the endpoint no new work", Action: drain},
			{
				Name: "remove", Usage: "NAME: forget the endpoint",
				Action: func(_ context.Context, c *cli.Command) error {
					args, err := arguments(c, "NAME")
					if err != nil {
						return err
					}
					item := entry.PutEndpoint(&wire.Endpoint{Name: args[0]})
					item.Remove = true
					return change(c, item)
				},
			},
		},
	}
}

// drain marks an endpoint as leaving, unless it changed since it was read.
func drain(_ context.Context, c *cli.Command) error {
	args, err := arguments(c, "NAME")
	if err != nil {
		return err
	}
	item, err := client(c).Drain(args[0])
	if err != nil {
		return err
	}
	return change(c, item)
}

func quarantineCommand() *cli.Command {
	return &cli.Command{
		Name: "quarantine", Usage: "requests that crashed endpoints",
		Commands: []*cli.Command{{
			Name: "release", Usage: "FINGERPRINT: allow the request again",
			Action: func(_ context.Context, c *cli.Command) error {
				args, err := arguments(c, "FINGERPRINT")
				if err != nil {
					return err
				}
				return change(c, entry.Release(args[0]))
			},
		}},
	}
}
