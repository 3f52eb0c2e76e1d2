package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"hawthornspar/io/entry"
	"hawthornspar/io/wire"
)

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name: "service", Usage: "manage models and app services",
		Commands: []*cli.Command{{
			Name: "put", Usage: "NAME: create or change a service",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "kind", Value: "model", Usage: "model or app"},
				&cli.BoolFlag{Name: "repeatable", Usage: "calls may be retried; always true for models"},
				&cli.Int64Flag{Name: "price", Usage: "tokens for one call of an app service"},
				&cli.Int64Flag{Name: "max-tokens", Usage: "longest answer of a model"},
			},
			Action: func(_ context.Context, c *cli.Command) error {
				args, err := arguments(c, "NAME")
				if err != nil {
					return err
				}
				return submitChange(c, entry.PutService(&wire.Service{
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
		Name: "rank", Usage: "manage ranks of requests",
		Commands: []*cli.Command{{
			Name: "put", Usage: "NAME: create or change a rank",
			Flags: []cli.Flag{
				&cli.Int32Flag{Name: "order", Usage: "0 is the most urgent"},
				&cli.DurationFlag{Name: "target", Usage: "target of the time to the first token", Required: true},
				&cli.Int64Flag{Name: "worth", Value: 1, Usage: "value of a request that is served within the target"},
				&cli.Int32Flag{Name: "floor", Usage: "percentage of capacity kept for the rank when other ranks overload the fleet"},
			},
			Action: func(_ context.Context, c *cli.Command) error {
				args, err := arguments(c, "NAME")
				if err != nil {
					return err
				}
				return submitChange(c, entry.PutRank(&wire.Rank{
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
					&cli.StringSliceFlag{Name: "service", Usage: "service that the endpoint runs; may be repeated", Required: true},
					&cli.Int32Flag{Name: "slots", Value: 16, Usage: "requests that the endpoint runs concurrently"},
					&cli.StringFlag{Name: "failure-domain", Usage: "failure domain of the endpoint"},
				},
				Action: func(_ context.Context, c *cli.Command) error {
					args, err := arguments(c, "NAME", "IP:PORT")
					if err != nil {
						return err
					}
					return submitChange(c, entry.PutEndpoint(&wire.Endpoint{
						Name: args[0], Address: args[1], Domain: c.String("failure-domain"),
						Services: c.StringSlice("service"), Slots: c.Int32("slots"),
					}))
				},
			},
			{Name: "drain", Usage: "NAME: send no new requests to the endpoint", Action: drainEndpoint},
			{
				Name: "remove", Usage: "NAME: remove the endpoint",
				Action: func(_ context.Context, c *cli.Command) error {
					args, err := arguments(c, "NAME")
					if err != nil {
						return err
					}
					item := entry.PutEndpoint(&wire.Endpoint{Name: args[0]})
					item.Remove = true
					return submitChange(c, item)
				},
			},
		},
	}
}

// drainEndpoint drains the endpoint that the arguments name.
func drainEndpoint(_ context.Context, c *cli.Command) error {
	args, err := arguments(c, "NAME")
	if err != nil {
		return err
	}
	return drain(c, args[0])
}

// drain sets an endpoint to draining and prints the version of the change. With
// --if-version it fails unless that version last changed the endpoint.
func drain(c *cli.Command, name string) error {
	version, err := submitDrain(client(c), c, name)
	if err != nil {
		return err
	}
	printAccepted(version)
	return nil
}

func submitDrain(fleet *entry.Client, c *cli.Command, name string) (int64, error) {
	if expected := c.Int64("if-version"); expected >= 0 {
		return fleet.DrainIf(expected, name, c.String("operation"))
	}
	return fleet.Drain(name, c.String("operation"))
}

func quarantineCommand() *cli.Command {
	return &cli.Command{
		Name: "quarantine", Usage: "manage quarantined requests, which crashed endpoints",
		Commands: []*cli.Command{{
			Name: "release", Usage: "FINGERPRINT: allow the request again",
			Action: func(_ context.Context, c *cli.Command) error {
				args, err := arguments(c, "FINGERPRINT")
				if err != nil {
					return err
				}
				return submitChange(c, entry.Release(args[0]))
			},
		}},
	}
}
