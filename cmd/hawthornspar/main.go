// Command hawthornspar is the operators' client of the router fleet.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"hawthornspar/io/entry"
	"hawthornspar/io/entry/query"
	"hawthornspar/io/wire"
)

// Exit codes.
const (
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnreachable = 4
	exitPartial     = 5
)

const description = `Every command goes to one of the entry VMs' operator addresses and takes hold
across the fleet. A command that got no answer may be repeated with the same
--operation: it takes effect once.

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 another operator's change came
first, 4 no entry VM answered, 5 some VMs did not answer a query.`

func main() {
	root := &cli.Command{
		Name: "hawthornspar", Usage: "operate the router fleet", Description: description,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name: "entry", Usage: "IP:port of an entry VM's operator address; may be repeated",
				Value: []string{"127.0.0.1:8081"}, Sources: cli.EnvVars("HAWTHORNSPAR_ENTRY"),
			},
			&cli.StringFlag{Name: "secret", Usage: "the operator's secret", Sources: cli.EnvVars("HAWTHORNSPAR_SECRET")},
			&cli.StringFlag{Name: "operation", Usage: "name of this command, by which a repeat takes effect once"},
			&cli.Int64Flag{Name: "if-version", Value: -1, Usage: "make the change only if this version last changed the item"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Commands: []*cli.Command{
			keysCommand(), operatorCommand(), accountCommand(), serviceCommand(), rankCommand(),
			endpointCommand(), quarantineCommand(), configCommand(), queryCommand(), doCommand(), explainCommand(),
		},
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "hawthornspar:", err)
		os.Exit(code(err))
	}
}

func code(err error) int {
	var conflict *entry.ConflictError
	var unreachable *entry.UnreachableError
	var usage *UsageError
	var syntax *query.SyntaxError
	var partial *PartialError
	switch {
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &unreachable):
		return exitUnreachable
	case errors.As(err, &usage), errors.As(err, &syntax):
		return exitUsage
	case errors.As(err, &partial):
		return exitPartial
	}
	return exitFailed
}

// UsageError says what is wrong with the command line.
type UsageError struct{ Problem string }

// Error implements error.
func (e *UsageError) Error() string { return e.Problem }

// PartialError says that some VMs did not answer a query.
type PartialError struct{ Missing []string }

// Error implements error.
func (e *PartialError) Error() string { return fmt.Sprintf("no answer from %v", e.Missing) }

func client(c *cli.Command) *entry.Client {
	return entry.New(c.StringSlice("entry"), c.String("secret"))
}

// change makes one change and prints its version.
func change(c *cli.Command, item *wire.Change) error {
	request := &wire.ChangeRequest{Operation: c.String("operation"), Change: item}
	if expected := c.Int64("if-version"); expected >= 0 {
		request.Checked, request.Expected = true, expected
	}
	version, err := client(c).Change(request)
	if err != nil {
		return err
	}
	fmt.Printf("accepted version=%d\n", version)
	return nil
}

// arguments returns the command's arguments, which must be as many as names.
func arguments(c *cli.Command, names ...string) ([]string, error) {
	given := c.Args().Slice()
	if len(given) != len(names) {
		return nil, &UsageError{Problem: fmt.Sprintf("%s wants %v", c.FullName(), names)}
	}
	return given, nil
}
