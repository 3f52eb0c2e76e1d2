// Command standin plays one case of the review: it starts stand-ins of the platform's
// store, runners and clients and the project's own daemons, and judges one rule. It exits
// with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// stableWindow is StableWindowMs.
const stableWindow = 3 * time.Second

// loopback returns a loopback address that is this process's own, as the processes of
// one deployment need different addresses with equal ports.
func loopback(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+(pid>>8)%64, pid&0xff, n)
}

// caseRun is what a case needs.
type caseRun struct {
	trouble bool // TROUBLE is not 0
	dir     string
	record  *record
	store   *store
	vms     []*vm
}

var cases = map[string]func(*caseRun) (int, error){
	"paused": playPaused,
	"begun":  playBegun,
	"lost":   playLost,
	"order":  playOrder,
	"many":   playMany,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		os.Exit(cannotRun)
	}
	code, err := play(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		code = cannotRun
	}
	os.Exit(code)
}

func play(name, recordPath string) (int, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return cannotRun, err
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	c := &caseRun{trouble: os.Getenv("TROUBLE") != "0", dir: dir}
	if c.record, err = newRecord(recordPath); err != nil {
		return cannotRun, err
	}
	defer c.record.file.Close()
	if c.store, err = newStore(loopback(1)); err != nil {
		return cannotRun, err
	}
	defer c.killVMs()
	go c.endOnSignal()
	return cases[name](c)
}

func (c *caseRun) killVMs() {
	for _, v := range c.vms {
		v.kill()
	}
}

// endOnSignal ends the processes that were started when this one is told to end.
func (c *caseRun) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	c.killVMs()
	os.RemoveAll(c.dir)
	os.Exit(cannotRun)
}

// startVMs starts machines and waits until they are ready and in touch.
func (c *caseRun) startVMs(count int) error {
	vms, err := newVMs(count, c.dir, c.store.address)
	if err != nil {
		return err
	}
	c.vms = vms
	if err := c.startAll(vms); err != nil {
		return err
	}
	time.Sleep(stableWindow)
	return nil
}
