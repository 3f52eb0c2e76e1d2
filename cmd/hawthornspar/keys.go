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

// Permissions of the files of a certificate.Pair.
const (
	keyFileMode         = 0o600
	certificateFileMode = 0o644
)

// keysCommand returns the commands that create certificates and secrets. They do
// not contact the fleet.
func keysCommand() *cli.Command {
	directory := &cli.StringFlag{Name: "directory", Value: ".", Usage: "directory of the files"}
	validFor := &cli.DurationFlag{Name: "valid-for", Value: 365 * 24 * time.Hour, Usage: "validity period of the certificate"}
	return &cli.Command{
		Name: "keys", Usage: "create the fleet's certificate authority, VMs' certificates and secrets",
		Commands: []*cli.Command{
			{Name: "authority", Usage: "create the certificate authority", Flags: []cli.Flag{directory, validFor}, Action: createAuthority},
			{Name: "vm", Usage: "NAME: create a VM's certificate, signed by the authority in the directory", Flags: []cli.Flag{directory, validFor}, Action: createVM},
			{Name: "secret", Usage: "create a secret and print it with its hash", Action: printSecret},
		},
	}
}

func createAuthority(_ context.Context, c *cli.Command) error {
	pair, err := certificate.NewAuthority(time.Now(), c.Duration("valid-for"))
	if err != nil {
		return err
	}
	return writePair(c.String("directory"), "authority", pair)
}

func createVM(_ context.Context, c *cli.Command) error {
	args, err := arguments(c, "NAME")
	if err != nil {
		return err
	}
	directory := c.String("directory")
	authority, err := readPair(directory, "authority")
	if err != nil {
		return err
	}
	pair, err := certificate.IssueVM(authority, args[0], time.Now(), c.Duration("valid-for"))
	if err != nil {
		return err
	}
	return writePair(directory, args[0], pair)
}

// writePair writes a pair to the files name.key and name.pem.
func writePair(directory, name string, pair certificate.Pair) error {
	base := filepath.Join(directory, name)
	if err := os.WriteFile(base+".key", pair.Key, keyFileMode); err != nil {
		return errors.Wrap(err, "key")
	}
	return errors.Wrap(os.WriteFile(base+".pem", pair.Certificate, certificateFileMode), "certificate")
}

// readPair reads a pair that writePair wrote.
func readPair(directory, name string) (certificate.Pair, error) {
	base := filepath.Join(directory, name)
	cert, err := os.ReadFile(base + ".pem")
	if err != nil {
		return certificate.Pair{}, errors.Wrap(err, "certificate")
	}
	key, err := os.ReadFile(base + ".key")
	return certificate.Pair{Certificate: cert, Key: key}, errors.Wrap(err, "key")
}

func printSecret(context.Context, *cli.Command) error {
	secret, hash := entry.NewSecret()
	fmt.Printf("secret=%s\nhash=%s\n", secret, hash)
	return nil
}

func operatorCommand() *cli.Command {
	return &cli.Command{
		Name: "operator", Usage: "manage operators' keys",
		Commands: []*cli.Command{{
			Name: "create", Usage: "NAME: create an operator's key; the secret is shown once",
			Action: func(_ context.Context, c *cli.Command) error {
				args, err := arguments(c, "NAME")
				if err != nil {
					return err
				}
				secret, hash := entry.NewSecret()
				if err := submitChange(c, entry.PutAPIKey(&wire.ApiKey{Hash: hash, Operator: args[0]})); err != nil {
					return err
				}
				fmt.Printf("secret=%s\n", secret)
				return nil
			},
		}},
	}
}
