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
		Name: "config", Usage: "the configuration in force, and every accepted change",
		Commands: []*cli.Command{
			{Name: "show", Usage: "list the items in force", Action: func(_ context.Context, c *cli.Command) error {
				all, err := client(c).Config()
				if err != nil {
					return err
				}
				return printLines(all.Version, all.Items)
			}},
			{Name: "audit", Usage: "list every accepted change: who, when, what", Action: func(_ context.Context, c *cli.Command) error {
				all, err := client(c).Audit()
				if err != nil {
					return err
				}
				return printLines(all.Version, all.Items)
			}},
		},
	}
}

// printLines prints one JSON line for each item.
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
		Name: "query", Usage: "ask what is spent, running, refused, quarantined or leaving",
		Description: query.Help,
		Action: func(_ context.Context, c *cli.Command) error {
			q, err := query.Parse(strings.Join(c.Args().Slice(), " "))
			if err != nil {
				return err
			}
			found, missing, err := query.Run(client(c), q)
			if err != nil {
				return err
			}
			return show(c, found, missing)
		},
	}
}

// answer is a query's answer in JSON.
type answer struct {
	Columns []string        `json:"columns"`
	Rows    [][]query.Value `json:"rows"`
	Missing []string        `json:"missing"`
}

func show(c *cli.Command, found query.Relation, missing []string) error {
	if c.Bool("json") {
		if err := json.NewEncoder(os.Stdout).Encode(answer{found.Columns, found.Rows, missing}); err != nil {
			return err
		}
	} else {
		found.Print(os.Stdout)
	}
	if len(missing) > 0 {
		return &PartialError{Missing: missing}
	}
	return nil
}

func doCommand() *cli.Command {
	return &cli.Command{
		Name: "do", Usage: "run one command of the command language", Description: query.CommandHelp,
		Action: func(_ context.Context, c *cli.Command) error {
			item, err := query.ParseCommand(strings.Join(c.Args().Slice(), " "))
			if err != nil {
				return err
			}
			built, err := item.Change(client(c))
			if err != nil {
				return err
			}
			return change(c, built)
		},
	}
}
