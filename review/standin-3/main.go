// Command standin-3 plays the cases of the third review: it starts the project's daemon
// against stand-ins of the platform's store, runners and clients, and judges what these see.
//
//	standin-3 CASE RECORD
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't
// run. With TROUBLE=0 it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

// Exit statuses.
const (
	held   = 0
	broken = 1
	failed = 2
)

const (
	host       = "ficu95.example"
	streamPath = "/lohu930/2f"
	orderPath  = "/puxa403/2f"
	lookPath   = "/cufi504/2f"
	models     = "huvo11a"
	apps       = "wuno96b"
	apiKey     = "n2ctnfzs989anu6wsjnb"
	tenant     = "hule930"
)

var current *deployment

func itoa(n int) string { return strconv.Itoa(n) }

// cannotRun ends a case that couldn't run.
func cannotRun(why string) {
	fmt.Fprintln(os.Stderr, "standin-3: the case couldn't run:", why)
	end(failed)
}

// end ends all processes, and the case.
func end(status int) {
	current.stopAll()
	if dir := tempDir; dir != "" && os.Getenv("KEEP") == "" {
		os.RemoveAll(dir)
	}
	os.Exit(status)
}

var tempDir string

// world holds what each case starts with.
type world struct {
	rec     *recorder
	store   *store
	fleet   *deployment
	runners []*runner
	apps    []*runner
	trouble bool
}

func newWorld(path string) *world {
	rec := newRecorder(path)
	network := freeNetwork()
	dir, err := os.MkdirTemp("", "standin-3-")
	if err != nil {
		cannotRun(err.Error())
	}
	tempDir = dir
	w := &world{rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	w.store = newStore(network+".200:8223", rec)
	w.fleet = newDeployment(network, dir, w.store)
	current = w.fleet
	for i := range 9 {
		w.runners = append(w.runners, newRunner(w.store, fmt.Sprintf("i-7f3a91c%d", i), models, fmt.Sprintf("%s.%d:8080", network, 100+i)))
	}
	for i := range 3 {
		w.apps = append(w.apps, newRunner(w.store, fmt.Sprintf("i-02d9e6b%d", i), apps, fmt.Sprintf("%s.%d:8080", network, 110+i)))
	}
	rec.note("trouble: %v", w.trouble)
	return w
}

// configuration is what the operator writes.
type configuration struct {
	version int64
	prepaid int64
	service string // of the orders and lookups; apps if empty
}

// document returns the configuration as op/config holds it.
func (c configuration) document() map[string]any {
	if c.service == "" {
		c.service = apps
	}
	route := func(name, prefix, kind, service string, timeout, attempts int) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "Prefix": prefix, "RouteType": kind, "TimeoutMs": timeout, "TargetLatencyMs": 500, "Priority": 1, "Service": service,
			"MaxAttempts": attempts, "Anonymous": false, "SessionAffinity": kind == "streaming", "StreamResume": false, "ItlTargetMs": 400,
		}
	}
	return map[string]any{
		"Version": c.version,
		"Routes": []any{
			route("r-2yhvz3p", "/lohu930/", "streaming", models, 12000, 1),
			route("r-fi6y7z5", "/puxa403/", "non_idempotent", c.service, 1000, 1),
			route("r-9k2m4q1", "/cufi504/", "idempotent", c.service, 1000, 2),
		},
		"Services": []any{
			map[string]any{"Name": models, "MaxConnections": 300, "HealthCheckPath": "/healthz", "Engine": map[string]any{"Slots": 32, "KvCapacityTokens": 700000, "Stride": tokensPerEvent}},
			map[string]any{"Name": apps, "MaxConnections": 110, "HealthCheckPath": "/healthz"},
		},
		"Tenants": []any{map[string]any{"Name": tenant, "ApiKeys": []string{apiKey}, "Prepaid": c.prepaid}},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// configure writes a configuration, as the operator does, who repeats it until the store
// has accepted it. It returns when that was.
func (w *world) configure(c configuration) time.Time {
	for !w.store.write("op", "config", c.document()) {
		time.Sleep(50 * time.Millisecond)
	}
	w.rec.note("configuration %d acknowledged", c.version)
	return time.Now()
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(failed)
	}
	cases := map[string]func(*world) int{"budget": playBudget, "stale": playStale, "lethal": playLethal, "drain": playDrain}
	play, ok := cases[os.Args[1]]
	if !ok {
		cannotRun("no such case")
	}
	go func() {
		time.Sleep(115 * time.Second)
		cannotRun("it took too long")
	}()
	end(play(newWorld(os.Args[2])))
}
