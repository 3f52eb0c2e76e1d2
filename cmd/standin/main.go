// Command standin runs small replacements of the systems around the router fleet,
// for tests, benchmarks and demonstrations. Their faults can be switched on at run
// time. It also sends load and single requests.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"hawthornspar/standin/engine"
	"hawthornspar/standin/link"
	"hawthornspar/standin/platform"
	"hawthornspar/standin/runner"
	"hawthornspar/timer"
)

func main() {
	root := &cli.Command{
		Name:  "standin",
		Usage: "stand-ins for the platform, endpoints and links",
		Commands: []*cli.Command{
			platformCommand(), engineCommand(), runnerCommand(), linkCommand(), loadCommand(), callCommand(),
		},
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Usage: "IP:port to listen on", Required: true}
}

// serve serves HTTP at address until that fails, and returns the error.
func serve(address string, handler http.Handler) error {
	return errors.Wrap(http.ListenAndServe(address, handler), "serve")
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "table service, object store and list of VMs",
		Flags: []cli.Flag{listenFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			return serve(c.String("listen"), platform.NewServer(timer.SystemClock{}).Handler())
		},
	}
}

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "batching model engine",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.IntFlag{Name: "slots", Value: 16, Usage: "requests in one batch"},
			&cli.IntFlag{Name: "queue", Value: 4, Usage: "requests that may wait for a place in the batch"},
			&cli.DurationFlag{Name: "token-time", Value: 10 * time.Millisecond, Usage: "time between two tokens"},
			&cli.DurationFlag{Name: "prefill-time", Value: 5 * time.Millisecond, Usage: "time for 1,000 uncached prompt bytes"},
			&cli.IntFlag{Name: "cache", Value: 32, Usage: "prompt prefixes kept in the cache"},
			&cli.IntFlag{Name: "overrun", Usage: "tokens sent beyond the requested limit"},
			&cli.DurationFlag{Name: "load-lag", Value: time.Second, Usage: "age of the reported load"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			e := engine.New(engine.Options{
				Slots: c.Int("slots"), QueueSize: c.Int("queue"), TokenInterval: c.Duration("token-time"),
				PrefillTime: c.Duration("prefill-time"), CacheSize: c.Int("cache"),
				Overrun: c.Int("overrun"), MinLoadReportAge: c.Duration("load-lag"),
				OnCrash: func() { os.Exit(3) },
			}, timer.SystemClock{})
			return serve(c.String("listen"), e.Handler())
		},
	}
}

func runnerCommand() *cli.Command {
	return &cli.Command{
		Name:  "runner",
		Usage: "app runner that takes orders",
		Flags: []cli.Flag{listenFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			r := runner.New(timer.SystemClock{}, func() { os.Exit(3) })
			return serve(c.String("listen"), r.Handler())
		},
	}
}

func linkCommand() *cli.Command {
	return &cli.Command{
		Name:  "link",
		Usage: "TCP and UDP forwarder that can be interrupted and restored",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "target", Usage: "IP:port to forward to", Required: true},
			&cli.StringFlag{Name: "admin", Usage: "IP:port of the admin handler", Required: true},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return runLink(c.String("listen"), c.String("target"), c.String("admin"))
		},
	}
}

// linkServer accepts traffic for a link on one listener. It ends the process when
// the listener fails.
type linkServer struct{ serve func() error }

func (s linkServer) run() {
	if err := s.serve(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// runLink forwards TCP and UDP from listen to target, and serves the link's control
// requests at admin.
func runLink(listen, target, admin string) error {
	l := link.New(target)
	tcp, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "link")
	}
	address, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return errors.Wrap(err, "link")
	}
	udp, err := net.ListenUDP("udp", address)
	if err != nil {
		return errors.Wrap(err, "link")
	}
	tcpServer := linkServer{func() error { return l.ServeTCP(tcp) }}
	udpServer := linkServer{func() error { return l.ServeUDP(udp) }}
	go tcpServer.run()
	go udpServer.run()
	return serve(admin, l.Handler())
}
