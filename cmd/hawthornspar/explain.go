package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"hawthornspar/io/logline/trace"
)

// UnknownRequestError reports that no log line names the request ID.
type UnknownRequestError struct{ ID string }

// Error implements error.
func (e *UnknownRequestError) Error() string { return "no log line names the request " + e.ID }

// explainCommand returns the command that explains the outcome of a request from the
// log lines of any number of VMs.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "print a request's log lines and the state of its VMs, from the VMs' log lines on standard input", ArgsUsage: "ID",
		Action: func(_ context.Context, c *cli.Command) error {
			id := c.Args().First()
			t, err := trace.Read(os.Stdin, id)
			if err != nil {
				return err
			}
			if len(t.Lines) == 0 {
				return &UnknownRequestError{ID: id}
			}
			fmt.Println("state of the request's VMs:")
			printLogLines(t.State)
			fmt.Println("log lines of the request:")
			printLogLines(t.Lines)
			return nil
		},
	}
}

func printLogLines(lines []trace.Line) {
	for _, l := range lines {
		fmt.Println("  " + l.Raw)
	}
}
