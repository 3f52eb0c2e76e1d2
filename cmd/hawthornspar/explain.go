package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"hawthornspar/io/logline/story"
)

// UnknownRequestError says that no line names a request.
type UnknownRequestError struct{ ID string }

// Error implements error.
func (e *UnknownRequestError) Error() string { return "no log line names the request " + e.ID }

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "tell a request's story from the VMs' log lines on standard input", ArgsUsage: "ID",
		Action: func(_ context.Context, c *cli.Command) error {
			id := c.Args().First()
			s, err := story.Tell(os.Stdin, id)
			if err != nil {
				return err
			}
			if len(s.Lines) == 0 {
				return &UnknownRequestError{ID: id}
			}
			fmt.Println("what its VM believed:")
			printStory(s.State)
			fmt.Println("what happened to the request:")
			printStory(s.Lines)
			return nil
		},
	}
}

func printStory(lines []story.Line) {
	for _, l := range lines {
		fmt.Println("  " + l.Raw)
	}
}
