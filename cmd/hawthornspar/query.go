package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"

	"hawthornspar/io/entry/query"
	"hawthornspar/io/wire"
)

func configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "show the configuration in force and the accepted changes",
		Commands: []*cli.Command{
			{Name: "show", Usage: "list the items of the configuration in force", Action: func(_ context.Context, c *cli.Command) error {
				configuration, err := client(c).Config()
				if err != nil {
					return err
				}
				return printLines(configuration.Version, configuration.Items)
			}},
			{Name: "audit", Usage: "list every accepted change with its operator and time", Action: func(_ context.Context, c *cli.Command) error {
				configuration, err := client(c).Audit()
				if err != nil {
					return err
				}
				return printLines(configuration.Version, configuration.Items)
			}},
		},
	}
}

// printLines prints the version, then one line of JSON for each item.
func printLines(version int64, items []*wire.Change) error {
	fmt.Printf("version=%d\n", version)
	for _, item := range items {
		raw, err := protojson.Marshal(item)
		if err != nil {
			return err
		}
		fmt.Println(string(raw))
	}
	return nil
}

func queryCommand() *cli.Command {
	return &cli.Command{
		Name: "query", Usage: "query budgets, requests, endpoints, refusals, VMs and quarantined requests",
		Description: query.Help,
		Action: func(_ context.Context, c *cli.Command) error {
			q, err := query.Parse(strings.Join(c.Args().Slice(), " "))
			if err != nil {
				return err
			}
			relation, missing, err := query.Run(client(c), q)
			if err != nil {
				return err
			}
			return printResult(c, relation, missing)
		},
	}
}

// queryResult is the result of a query as printed with --json.
type queryResult struct {
	Columns []string        `json:"columns"`
	Rows    [][]query.Value `json:"rows"`
	Missing []string        `json:"missing"`
}

// printResult prints the result of a query as a table or as JSON. It returns a
// *PartialError if the VMs in missing did not respond.
func printResult(c *cli.Command, relation query.Relation, missing []string) error {
	if c.Bool("json") {
		if err := json.NewEncoder(os.Stdout).Encode(queryResult{relation.Columns, relation.Rows, missing}); err != nil {
			return err
		}
	} else {
		relation.Print(os.Stdout)
	}
	if len(missing) > 0 {
		return &PartialError{Missing: missing}
	}
	return nil
}

func doCommand() *cli.Command {
	return &cli.Command{
		Name: "do", Usage: "run a command written in the command language", Description: query.CommandHelp,
		Action: func(_ context.Context, c *cli.Command) error {
			command, err := query.ParseCommand(strings.Join(c.Args().Slice(), " "))
			if err != nil {
				return err
			}
			if command.Drain != nil {
				return drain(c, command.Drain.Endpoint)
			}
			return submitChange(c, command.Change())
		},
	}
}
