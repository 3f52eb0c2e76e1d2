package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"hawthornspar/standin/load"
	"hawthornspar/timer"
)

// loadCommand returns the command that measures paths to an engine or app runner.
func loadCommand() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "send streamed chat completions and measure their latency",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "path", Usage: "NAME=URL of a path to measure; requests go to each path in turn", Required: true},
			&cli.StringFlag{Name: "secret", Usage: "the caller's secret"},
			&cli.FloatFlag{Name: "rate", Value: 10, Usage: "requests a second to each path"},
			&cli.IntFlag{Name: "closed", Usage: "number of concurrent requests to the first path, instead of a rate"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "duration"},
			&cli.BoolFlag{Name: "orders", Usage: "send orders; the URLs are those of /orders"},
			&cli.IntFlag{Name: "answer", Value: 20, Usage: "tokens in each response"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			o := load.Options{Rate: c.Float("rate"), Duration: c.Duration("for"), OutputTokens: c.Int("answer"), Concurrency: c.Int("closed"), Orders: c.Bool("orders")}
			for _, p := range c.StringSlice("path") {
				name, url, _ := strings.Cut(p, "=")
				o.Paths = append(o.Paths, load.Path{Name: name, URL: url, Secret: c.String("secret")})
			}
			printResults(o, load.New(o, timer.SystemClock{}).Run(ctx))
			return nil
		},
	}
}

// printResults prints a row for each path: counts of requests, and percentiles
// of the times to the first token, between tokens and from the last token to the end.
func printResults(o load.Options, results []*load.Result) {
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "path\trate/s\tsent\tfailed\tdone/s\tfirst p50 ms\tfirst p95 ms\tgap p50 ms\tgap p95 ms\tend p50 ms\tend p95 ms")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%.0f\t%d\t%d\t%.1f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n", r.Path.Name, o.Rate, r.Sent, r.Failed,
			float64(r.Sent-r.Failed)/o.Duration.Seconds(),
			load.PercentileMillis(r.FirstToken, 50), load.PercentileMillis(r.FirstToken, 95), load.PercentileMillis(r.InterToken, 50), load.PercentileMillis(r.InterToken, 95),
			load.PercentileMillis(r.EndOfStream, 50), load.PercentileMillis(r.EndOfStream, 95))
	}
	t.Flush()
}

func callCommand() *cli.Command {
	return &cli.Command{
		Name: "call", Usage: "URL: send one HTTP request and print the response body as it arrives",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "header", Usage: "NAME: VALUE"},
			&cli.StringFlag{Name: "data", Usage: "body; makes the request a POST"},
			&cli.DurationFlag{Name: "wait", Usage: "repeat for up to this long until the status is 200"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			deadline := time.Now().Add(c.Duration("wait"))
			err := callOnce(ctx, c)
			for err != nil && time.Now().Before(deadline) {
				time.Sleep(50 * time.Millisecond)
				err = callOnce(ctx, c)
			}
			return err
		},
	}
}

// callOnce sends the request that the flags describe and copies the response's body
// to standard output. A status other than 200 is an error only with --wait, which
// makes the command repeat the request.
func callOnce(ctx context.Context, c *cli.Command) error {
	method, body := http.MethodGet, ""
	if c.IsSet("data") {
		method, body = http.MethodPost, c.String("data")
	}
	r, err := http.NewRequestWithContext(ctx, method, c.Args().First(), strings.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "request")
	}
	for _, h := range c.StringSlice("header") {
		name, value, _ := strings.Cut(h, ":")
		r.Header.Set(name, strings.TrimSpace(value))
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "call")
	}
	defer response.Body.Close()
	_, err = io.Copy(os.Stdout, response.Body)
	if response.StatusCode != http.StatusOK && c.Duration("wait") > 0 {
		return &load.StatusError{Status: response.StatusCode}
	}
	return errors.Wrap(err, "answer")
}
