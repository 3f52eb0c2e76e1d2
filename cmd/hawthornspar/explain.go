package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"hawthornspar/io/logline/trace"
)

// UnknownRequestError says that no line names a request.
type UnknownRequestError struct{ ID string }

// Error implements error.
func (e *UnknownRequestError) Error() string { return "no log line names the request " + e.ID }

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "trace a request in the VMs' log lines on standard input", ArgsUsage: "ID",
		Action: func(_ context.Context, c *cli.Command) error {
			id := c.Args().First()
			s, err := trace.Read(os.Stdin, id)
			if err != nil {
				return err
			}
			if len(s.Lines) == 0 {
				return &UnknownRequestError{ID: id}
			}
			fmt.Println("what its VM believed:")
			printTrace(s.State)
			fmt.Println("what happened to the request:")
			printTrace(s.Lines)
			return nil
		},
	}
}

func printTrace(lines []trace.Line) {
	for _, l := range lines {
		fmt.Println("  " + l.Raw)
	}
}
