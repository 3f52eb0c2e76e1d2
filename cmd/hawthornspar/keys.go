package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"hawthornspar/io/certificate"
	"hawthornspar/io/entry"
	"hawthornspar/io/wire"
)

// Modes of the files that hold keys.
const (
	privateMode = 0o600
	publicMode  = 0o644
)

func keysCommand() *cli.Command {
	directory := &cli.StringFlag{Name: "directory", Value: ".", Usage: "where the files go"}
	valid := &cli.DurationFlag{Name: "valid-for", Value: 365 * 24 * time.Hour, Usage: "time until the certificate ends"}
	return &cli.Command{
		Name: "keys", Usage: "mint the fleet's authority, VMs' certificates and secrets",
		Commands: []*cli.Command{
			{Name: "authority", Usage: "mint the certificate authority", Flags: []cli.Flag{directory, valid}, Action: mintAuthority},
			{Name: "vm", Usage: "NAME: mint a VM's certificate", Flags: []cli.Flag{directory, valid}, Action: mintVM},
			{Name: "secret", Usage: "print a new secret and its hash", Action: mintSecret},
		},
	}
}

func mintAuthority(_ context.Context, c *cli.Command) error {
	pair, err := certificate.NewAuthority(time.Now(), c.Duration("valid-for"))
	if err != nil {
		return err
	}
	return store(c.String("directory"), "authority", pair)
}

func mintVM(_ context.Context, c *cli.Command) error {
	args, err := arguments(c, "NAME")
	if err != nil {
		return err
	}
	directory := c.String("directory")
	authority, err := load(directory, "authority")
	if err != nil {
		return err
	}
	pair, err := certificate.NewVM(authority, args[0], time.Now(), c.Duration("valid-for"))
	if err != nil {
		return err
	}
	return store(directory, args[0], pair)
}

func store(directory, name string, pair certificate.Pair) error {
	base := filepath.Join(directory, name)
	if err := os.WriteFile(base+".key", pair.Key, privateMode); err != nil {
		return errors.Wrap(err, "key")
	}
	return errors.Wrap(os.WriteFile(base+".pem", pair.Certificate, publicMode), "certificate")
}

func load(directory, name string) (certificate.Pair, error) {
	base := filepath.Join(directory, name)
	cert, err := os.ReadFile(base + ".pem")
	if err != nil {
		return certificate.Pair{}, errors.Wrap(err, "certificate")
	}
	key, err := os.ReadFile(base + ".key")
	return certificate.Pair{Certificate: cert, Key: key}, errors.Wrap(err, "key")
}

func mintSecret(context.Context, *cli.Command) error {
	secret, hash := entry.NewSecret()
	fmt.Printf("secret=%s\nhash=%s\n", secret, hash)
	return nil
}

func operatorCommand() *cli.Command {
	return &cli.Command{
		Name: "operator", Usage: "operators' keys",
		Commands: []*cli.Command{{
			Name: "create", Usage: "NAME: give an operator a key; the secret is shown once",
			Action: func(_ context.Context, c *cli.Command) error {
				args, err := arguments(c, "NAME")
				if err != nil {
					return err
				}
				secret, hash := entry.NewSecret()
				if err := change(c, entry.PutKey(&wire.ApiKey{Hash: hash, Operator: args[0]})); err != nil {
					return err
				}
				fmt.Printf("secret=%s\n", secret)
				return nil
			},
		}},
	}
}
