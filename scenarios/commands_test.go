package scenarios

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

// waitTimeout bounds each wait for an event. Every expected event comes much
// earlier: only a failing scenario reaches the timeout.
const waitTimeout = 40 * time.Second

// sha256Hex returns the hexadecimal SHA-256 hash of an API key's secret.
func sha256Hex(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// commands are the commands of the scenario scripts. They wait for events and
// never for a fixed time. The function of a command has the command's name
// after "cmd". A command that is described by a statement checks it.
var commands = map[string]func(*testscript.TestScript, bool, []string){
	"fleet":    command(cmdFleet),    // fleet routers=N engines=N runners=N [engine:FLAG=V] [env:NAME=V]: start that many VMs and endpoints
	"account":  command(cmdAccount),  // account NAME RANK TOKENS: create a client account
	"send":     command(cmdSend),     // send NAME VM ACCOUNT order|chat|stream [key=K] [ref=R] [answer=N] [limit=N] [extra=T]: start a request
	"flood":    command(cmdFlood),    // flood PREFIX N ACCOUNT order|chat|stream VM... [answer=N]: start the requests PREFIX1 to PREFIXN
	"hangup":   command(cmdHangUp),   // hangup NAME: disconnect the client
	"fenced":   command(cmdFenced),   // fenced VM: wait until it has exited by itself with code 3
	"answered": command(cmdAnswered), // answered PREFIX MIN MAX: MIN to MAX requests of a flood got a complete response
	"await":    command(cmdAwait),    // await NAME...: wait until the requests have ended
	"tokens":   command(cmdTokens),   // tokens NAME: wait until the client has received part of the stream
	"expect":   command(cmdExpect),   // expect NAME FIELD=VALUE...: check the outcome of a request
	"runs":     command(cmdRuns),     // runs REF N: the endpoints ran REF N times in total
	"judge":    command(cmdJudge),    // judge exact|budgets|truthful...: check billing, budgets, or responses that say "not run"
	"left":     command(cmdLeft),     // left BUDGET N: N tokens of the budget are not drawn
	"crash":    command(cmdCrash),    // crash PROCESS: kill it
	"start":    command(cmdStart),    // start PROCESS: start it again, and wait until a VM is ready
	"freeze":   command(cmdFreeze),   // freeze PROCESS: suspend it
	"thaw":     command(cmdThaw),     // thaw PROCESS: resume it
	"shutdown": command(cmdShutdown), // shutdown PROCESS: shut it down gracefully and wait until it has exited with code 0
	"leave":    command(cmdLeave),    // leave PROCESS: shut it down gracefully without waiting
	"ended":    command(cmdEnded),    // ended PROCESS: wait until it has exited by itself with code 0
	"cut":      command(cmdCut),      // cut VM peers|platform, cut ENDPOINT: interrupt the connections
	"heal":     command(cmdHeal),     // heal VM peers|platform, heal ENDPOINT: undo cut
	"fault":    command(cmdFault),    // fault NAME VALUE: set a fault of the platform stand-in
	"runner":   command(cmdRunner),   // runner NAME JSON: set the behaviour of a runner
	"listed":   command(cmdListed),   // listed VM...: set the platform's list of VMs
	"operate":  command(cmdOperate),  // operate ARGS...: run the operators' client
	"compete":  command(cmdCompete),  // compete VM ARGS... -- VM ARGS...: run two operators' commands at once, of which exactly one succeeds
	"prepaid":  command(cmdPrepaid),  // prepaid BUDGET N: the budget has N prepaid tokens
	"runsat":   command(cmdRunsAt),   // runsat ENDPOINT REF N: the endpoint ran REF N times
	"lost":     command(cmdLost),     // lost MAX: at most MAX engines have exited
	"settled":  command(cmdSettled),  // settled: wait until all VMs have the same configuration version
	"row":      command(cmdRow),      // row PREFIX N: the table has N rows whose keys start with PREFIX
	"counter":  command(cmdCounter),  // counter VM TEXT: the response of /metrics contains TEXT
	"raw":      command(cmdRaw),      // raw VM ACCOUNT|nobody PATH STATUS CODE BODY: send a body; "@large" is 2 MiB long, "@half" is truncated and has no response
	"retrying": command(cmdRetrying), // retrying NAME VM...: repeat a request until it has a complete response or an unknown outcome
}

// command makes a function on the fleet usable as a testscript command. If its
// outcome is not the expected one, the script fails and the ends of all logs
// are printed.
func command(f func(*fleet, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		fl := ts.Value(fleetKey{}).(*fleet)
		err := f(fl, args)
		if (err != nil) == neg {
			return
		}
		for _, p := range fl.processes {
			if p.cmd != nil {
				ts.Logf("--- %s\n%s", p.name, logTail(p))
			}
		}
		ts.Fatalf("%v", err)
	}
}

// splitOptions splits arguments into positional ones and NAME=VALUE options.
func splitOptions(args []string) ([]string, map[string]string) {
	var positional []string
	options := map[string]string{}
	for _, a := range args {
		if name, value, ok := strings.Cut(a, "="); ok {
			options[name] = value
			continue
		}
		positional = append(positional, a)
	}
	return positional, options
}

// atoiOr returns the number in text, or fallback if there is none.
func atoiOr(text string, fallback int) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return fallback
	}
	return n
}

func cmdFleet(f *fleet, args []string) error {
	_, options := splitOptions(args)
	var engineArgs, env []string
	for name, value := range options {
		if flag, ok := strings.CutPrefix(name, "engine:"); ok {
			engineArgs = append(engineArgs, "--"+flag, value)
		}
		if variable, ok := strings.CutPrefix(name, "env:"); ok {
			env = append(env, variable+"="+value)
		}
	}
	return f.startAll(atoiOr(options["routers"], 1), atoiOr(options["engines"], 0), atoiOr(options["runners"], 0), engineArgs, env)
}

func cmdAccount(f *fleet, args []string) error { return f.createAccount(args[0], args[1], args[2]) }

func cmdSend(f *fleet, args []string) error {
	positional, options := splitOptions(args)
	v := f.vm(positional[1])
	r := &clientRequest{
		name: positional[0], account: positional[2], idempotencyKey: options["key"], ref: options["ref"],
		order: positional[3] == "order", stream: positional[3] == "stream",
		done: make(chan struct{}), received: make(chan struct{}, 1),
	}
	if r.ref == "" {
		r.ref = r.name
	}
	if r.order {
		r.url = "http://" + v.clientAddress + "/v1/services/orders/orders"
		r.body = `{"ref":` + strconv.Quote(r.ref) + `,"item":"strainer"}`
	} else {
		r.url = "http://" + v.clientAddress + "/v1/chat/completions"
		tokens := atoiOr(options["answer"], 20)
		r.body = chatBody(r.ref, tokens, atoiOr(options["limit"], tokens), options["extra"], r.stream)
	}
	f.requests[r.name] = r
	go r.run(f.apiKeys[r.account])
	return nil
}

func cmdFlood(f *fleet, args []string) error {
	positional, _ := splitOptions(args)
	vms := positional[4:]
	for i := range atoiOr(positional[1], 0) {
		sendArgs := []string{positional[0] + itoa(i+1), vms[i%len(vms)], positional[2], positional[3]}
		for _, a := range args {
			if strings.Contains(a, "=") {
				sendArgs = append(sendArgs, a)
			}
		}
		if err := cmdSend(f, sendArgs); err != nil {
			return err
		}
	}
	return nil
}

// floodRequests returns the requests of a flood.
func (f *fleet) floodRequests(prefix string) []*clientRequest {
	var all []*clientRequest
	for i := 1; f.requests[prefix+itoa(i)] != nil; i++ {
		all = append(all, f.requests[prefix+itoa(i)])
	}
	return all
}

func cmdAnswered(f *fleet, args []string) error {
	complete := 0
	failures := map[string]int{}
	for _, r := range f.floodRequests(args[0]) {
		if err := cmdAwait(f, []string{r.name}); err != nil {
			return err
		}
		if r.complete {
			complete++
		} else {
			failures[r.code+r.transportError]++
		}
	}
	if complete < atoiOr(args[1], 0) || complete > atoiOr(args[2], 0) {
		return errors.Errorf("%d complete responses to %s, not %s to %s; failures: %v", complete, args[0], args[1], args[2], failures)
	}
	return nil
}

func cmdHangUp(f *fleet, args []string) error {
	r := f.requests[args[0]]
	r.mu.Lock()
	disconnect := r.disconnect
	r.mu.Unlock()
	disconnect()
	return cmdAwait(f, args)
}

func cmdFenced(f *fleet, args []string) error {
	err := f.processNamed(args[0]).wait(waitTimeout)
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 3 {
		return errors.Errorf("%s did not exit with code 3: %v", args[0], err)
	}
	return nil
}

func cmdAwait(f *fleet, args []string) error {
	for _, name := range args {
		select {
		case <-f.requests[name].done:
		case <-time.After(waitTimeout):
			return errors.Errorf("%s has not ended: %s", name, f.requests[name].outcome())
		}
	}
	return nil
}

func cmdTokens(f *fleet, args []string) error {
	select {
	case <-f.requests[args[0]].received:
		return nil
	case <-f.requests[args[0]].done:
		return errors.Errorf("%s ended: %s", args[0], f.requests[args[0]].outcome())
	case <-time.After(waitTimeout):
		return errors.Errorf("%s received nothing", args[0])
	}
}

func cmdExpect(f *fleet, args []string) error {
	outcome := f.requests[args[0]].outcome()
	for _, want := range args[1:] {
		if !strings.Contains(" "+outcome, " "+want) {
			return errors.Errorf("%s: want %s, got %s", args[0], want, outcome)
		}
	}
	return nil
}

func cmdRuns(f *fleet, args []string) error {
	return eventually(waitTimeout/4, func() error {
		n, err := f.runsOf(args[0])
		if err == nil && n != atoiOr(args[1], -1) {
			return errors.Errorf("%s ran %d times, not %s", args[0], n, args[1])
		}
		return err
	})
}

func cmdJudge(f *fleet, args []string) error {
	checks := map[string]func() error{"exact": f.checkBilling, "budgets": f.checkBudgets, "truthful": f.checkNotRun}
	for _, a := range args {
		if err := eventually(waitTimeout/2, checks[a]); err != nil {
			return errors.Wrap(err, a)
		}
	}
	return nil
}

func cmdLeft(f *fleet, args []string) error {
	return eventually(waitTimeout, func() error {
		row, _, err := f.budget(args[0])
		if err != nil {
			return err
		}
		if undrawn := row.Prepaid - row.Drawn + row.Returned; undrawn != int64(atoiOr(args[1], -1)) {
			return errors.Errorf("%s: %d tokens not drawn, want %s: %v", args[0], undrawn, args[1], row)
		}
		return nil
	})
}

func cmdRow(f *fleet, args []string) error {
	return eventually(waitTimeout, func() error {
		rows, err := f.rows(args[0])
		if err == nil && len(rows) != atoiOr(args[1], -1) {
			return errors.Errorf("%s: %d rows, not %s", args[0], len(rows), args[1])
		}
		return err
	})
}

func cmdCounter(f *fleet, args []string) error {
	return eventually(waitTimeout, func() error {
		out, err := get("http://" + f.vm(args[0]).operatorAddress + "/metrics")
		if err == nil && !strings.Contains(out, args[1]) {
			return errors.Errorf("the metrics of %s do not contain %s:\n%s", args[0], args[1], out)
		}
		return err
	})
}

// cmdRaw sends a body unchanged. It checks that the response has the given
// status and error code and says that the request was not run.
func cmdRaw(f *fleet, args []string) error {
	v := f.vm(args[0])
	body := args[5]
	switch body {
	case "@large":
		body = `{"model":"` + strings.Repeat("x", 2<<20) + `"}`
	case "@half":
		return f.sendTruncatedBody(v, args[2])
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+v.clientAddress+args[2], strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+f.apiKeys[args[1]])
	response, err := httpClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	raw, _ := io.ReadAll(response.Body)
	var parsed responseBody
	json.Unmarshal(raw, &parsed)
	if itoa(response.StatusCode) != args[3] || parsed.Error.Code != args[4] || !parsed.Error.NotRun {
		return errors.Errorf("status %d: %s", response.StatusCode, raw)
	}
	return nil
}

// sendTruncatedBody sends less than Content-Length announces and closes the
// connection without reading a response.
func (f *fleet) sendTruncatedBody(v *vm, path string) error {
	conn, err := net.Dial("tcp", v.clientAddress)
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n{")
	return err
}

// cmdRetrying repeats a request at the VMs in turn, as a client would, until
// one response is complete or says that the outcome is unknown. It stores that
// last request as NAME.last.
func cmdRetrying(f *fleet, args []string) error {
	first := f.requests[args[0]]
	for i := range 10 * len(args[1:]) {
		name := args[0] + "." + itoa(i+1)
		r := &clientRequest{
			name: name, account: first.account, idempotencyKey: first.idempotencyKey, ref: first.ref, order: first.order,
			stream: first.stream, body: first.body, done: make(chan struct{}), received: make(chan struct{}, 1),
		}
		v := f.vm(args[1+i%len(args[1:])])
		_, path, _ := strings.Cut(first.url[len("http://"):], "/")
		r.url = "http://" + v.clientAddress + "/" + path
		f.requests[name] = r
		r.run(f.apiKeys[r.account])
		if r.complete || r.code == "outcomeUnknown" {
			f.requests[args[0]+".last"] = r
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.Errorf("%s: no retry got a complete response or an unknown outcome", args[0])
}
