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
		Name: "account", Usage: "client accounts, their keys and budgets",
		Commands: []*cli.Command{
			{
				Name: "create", Usage: "NAME: create an account with a budget and a key; the secret is shown once",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "budget", Value: "main", Usage: "the budget's name within the account"},
					&cli.Int64Flag{Name: "tokens", Usage: "prepaid tokens"},
					&cli.StringFlag{Name: "rank", Usage: "the most urgent rank of the key", Required: true},
					&cli.Int64Flag{Name: "share", Value: 1, Usage: "weight beside other accounts"},
				},
				Action: createAccount,
			},
			{
				Name: "key", Usage: "NAME BUDGET RANK: give the account a further key; the secret is shown once",
				Action: func(_ context.Context, c *cli.Command) error {
					args, err := arguments(c, "NAME", "BUDGET", "RANK")
					if err != nil {
						return err
					}
					return createKey(c, args[0], args[1], args[2])
				},
			},
			{Name: "topUp", Usage: "ACCOUNT/BUDGET TOKENS: add prepaid tokens", Action: topUp},
		},
	}
}

func createAccount(_ context.Context, c *cli.Command) error {
	args, err := arguments(c, "NAME")
	if err != nil {
		return err
	}
	if err := change(c, entry.PutAccount(&wire.Account{Name: args[0], Share: c.Int64("share")})); err != nil {
		return err
	}
	if tokens := c.Int64("tokens"); tokens > 0 {
		if err := change(c, entry.TopUp(args[0]+"/"+c.String("budget"), tokens)); err != nil {
			return err
		}
	}
	return createKey(c, args[0], c.String("budget"), c.String("rank"))
}

func createKey(c *cli.Command, account, budget, rank string) error {
	secret, hash := entry.NewSecret()
	key := &wire.ApiKey{Hash: hash, Account: account, Budget: account + "/" + budget, Rank: rank}
	if err := change(c, entry.PutKey(key)); err != nil {
		return err
	}
	fmt.Printf("secret=%s\n", secret)
	return nil
}

func topUp(_ context.Context, c *cli.Command) error {
	args, err := arguments(c, "ACCOUNT/BUDGET", "TOKENS")
	if err != nil {
		return err
	}
	tokens, err := strconv.ParseInt(args[1], 10, 64)
	if err != nil {
		return &UsageError{Problem: "TOKENS is not a whole number"}
	}
	return change(c, entry.TopUp(args[0], tokens))
}
