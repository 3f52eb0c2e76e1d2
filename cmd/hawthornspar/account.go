package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	"hawthornspar/io/entry"
	"hawthornspar/io/wire"
)

func accountCommand() *cli.Command {
	return &cli.Command{
		Name: "account", Usage: "manage client accounts, their keys and budgets",
		Commands: []*cli.Command{
			{
				Name: "create", Usage: "NAME: create an account with a budget and a key; the secret is shown once",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "budget", Value: "main", Usage: "name of the budget within the account"},
					&cli.Int64Flag{Name: "tokens", Usage: "prepaid tokens"},
					&cli.StringFlag{Name: "rank", Usage: "most urgent rank that the key may use", Required: true},
					&cli.Int64Flag{Name: "share", Value: 1, Usage: "weight relative to other accounts"},
				},
				Action: createAccount,
			},
			{
				Name: "key", Usage: "NAME BUDGET RANK: create a further key for the account; the secret is shown once",
				Action: func(_ context.Context, c *cli.Command) error {
					args, err := arguments(c, "NAME", "BUDGET", "RANK")
					if err != nil {
						return err
					}
					return createKey(c, "", args[0], args[1], args[2])
				},
			},
			{Name: "topUp", Usage: "ACCOUNT/BUDGET TOKENS: add prepaid tokens", Action: topUpBudget},
		},
	}
}

// createAccount creates an account, tops up its budget if --tokens is given, and
// creates its first key.
func createAccount(_ context.Context, c *cli.Command) error {
	args, err := arguments(c, "NAME")
	if err != nil {
		return err
	}
	if err := submitPart(c, "account", entry.PutAccount(&wire.Account{Name: args[0], Share: c.Int64("share")})); err != nil {
		return err
	}
	if tokens := c.Int64("tokens"); tokens > 0 {
		if err := submitPart(c, "topUp", entry.TopUp(args[0]+"/"+c.String("budget"), tokens)); err != nil {
			return err
		}
	}
	return createKey(c, "key", args[0], c.String("budget"), c.String("rank"))
}

// createKey creates a key for a budget of the account and prints its secret. Only
// the secret's hash is sent to the fleet. part names the change within its command.
func createKey(c *cli.Command, part, account, budget, rank string) error {
	secret, hash := entry.NewSecret()
	key := &wire.ApiKey{Hash: hash, Account: account, Budget: account + "/" + budget, Rank: rank}
	if err := submitPart(c, part, entry.PutAPIKey(key)); err != nil {
		return err
	}
	fmt.Printf("secret=%s\n", secret)
	return nil
}

func topUpBudget(_ context.Context, c *cli.Command) error {
	args, err := arguments(c, "ACCOUNT/BUDGET", "TOKENS")
	if err != nil {
		return err
	}
	tokens, err := strconv.ParseInt(args[1], 10, 64)
	if err != nil {
		return &UsageError{Problem: "TOKENS is not an integer"}
	}
	return submitChange(c, entry.TopUp(args[0], tokens))
}
