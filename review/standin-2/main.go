// Command drive plays the cases of this review. Each case starts the project's program as separate processes,
// with stand-ins for the platform's store, runners and clients, and judges what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name. A case returns whether its rule held.
var cases = map[string]func(r *record, trouble bool) bool{
	"long-prompts": longPrompts,
	"trials":       trials,
	"early-heads":  earlyHeads,
}

// limit is the longest time that a case may take.
const limit = 115 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drive CASE RECORD")
		os.Exit(exitNotRun)
	}
	var err error
	folder, err = os.MkdirTemp("", "review")
	must(err)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		cleanUp()
		os.Exit(exitNotRun)
	}()
	time.AfterFunc(limit, func() {
		cleanUp()
		fmt.Fprintln(os.Stderr, "the case took too long")
		os.Exit(exitNotRun)
	})
	r := newRecord(os.Args[2])
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("trouble: %v", trouble)
	held := cases[os.Args[1]](r, trouble)
	cleanUp()
	if held {
		r.say("the rule held")
		os.Exit(exitHeld)
	}
	r.say("the rule was broken")
	os.Exit(exitBroken)
}
