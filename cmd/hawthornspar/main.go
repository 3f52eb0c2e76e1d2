// Command hawthornspar is the operators' command-line client of the router fleet.
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

// Exit codes of hawthornspar, listed for operators in description.
const (
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnreachable = 4
	exitPartial     = 5
)

const description = `Except for keys and explain, every command is sent to the operator address of one
entry VM and concerns the whole fleet. A command that got no response may be
repeated with the same --operation; it takes effect only once.

Exit codes: 0 success, 1 failed, 2 invalid usage, 3 conflict with another
operator's change, 4 no entry VM responded, 5 some VMs did not respond to a query.`

func main() {
	root := &cli.Command{
		Name: "hawthornspar", Usage: "operate the router fleet", Description: description,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name: "entry", Usage: "operator address of an entry VM, IP:port; may be repeated",
				Value: []string{"127.0.0.1:8081"}, Sources: cli.EnvVars("HAWTHORNSPAR_ENTRY"),
			},
			&cli.StringFlag{Name: "secret", Usage: "the operator's secret", Sources: cli.EnvVars("HAWTHORNSPAR_SECRET")},
			&cli.StringFlag{Name: "operation", Usage: "identifier of this command; repeated with the same identifier, it takes effect only once"},
			&cli.Int64Flag{Name: "if-version", Value: -1, Usage: "make the change only if the item was last changed in this version"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Commands: []*cli.Command{
			keysCommand(), operatorCommand(), accountCommand(), serviceCommand(), rankCommand(),
			endpointCommand(), quarantineCommand(), configCommand(), queryCommand(), doCommand(), explainCommand(),
		},
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "hawthornspar:", err)
		os.Exit(exitCode(err))
	}
}

// exitCode returns the exit code for a command that ended with err.
func exitCode(err error) int {
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

// UsageError reports an invalid command line.
type UsageError struct{ Problem string }

// Error implements error.
func (e *UsageError) Error() string { return e.Problem }

// PartialError reports that some VMs did not respond to a query, so that its result
// lacks their rows.
type PartialError struct{ Missing []string }

// Error implements error.
func (e *PartialError) Error() string { return fmt.Sprintf("no response from %v", e.Missing) }

// client returns a client of the entry VMs that the command's flags name.
func client(c *cli.Command) *entry.Client {
	return entry.New(c.StringSlice("entry"), c.String("secret"))
}

// submitChange submits a configuration change and prints the version that it made.
// With --if-version the change fails unless that version last changed the item.
func submitChange(c *cli.Command, change *wire.Change) error { return submitPart(c, "", change) }

// submitPart submits one of the changes of a command that makes several.
func submitPart(c *cli.Command, part string, change *wire.Change) error {
	request := &wire.ChangeRequest{Operation: operationOf(c.String("operation"), part), Change: change}
	if expected := c.Int64("if-version"); expected >= 0 {
		request.Checked, request.Expected = true, expected
	}
	version, err := client(c).Change(request)
	if err != nil {
		return err
	}
	printAccepted(version)
	return nil
}

// printAccepted prints the version of a change that was accepted.
func printAccepted(version int64) { fmt.Printf("accepted version=%d\n", version) }

// operationOf returns the operation of one part of a command. Each part needs its own, as
// an operation takes effect only once. Without an identifier the client chooses one.
func operationOf(command, part string) string {
	if command == "" || part == "" {
		return command
	}
	return command + "/" + part
}

// arguments returns the command's arguments, or a *UsageError if their number
// differs from that of names.
func arguments(c *cli.Command, names ...string) ([]string, error) {
	args := c.Args().Slice()
	if len(args) != len(names) {
		return nil, &UsageError{Problem: fmt.Sprintf("%s expects the arguments %v", c.FullName(), names)}
	}
	return args, nil
}
