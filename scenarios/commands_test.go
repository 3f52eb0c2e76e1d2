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

// limit bounds every wait for an event; nothing is expected to take so long.
const limit = 40 * time.Second

func hashOf(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// commands is the test language. Every wait is for an event, never for a time.
var commands = map[string]func(*testscript.TestScript, bool, []string){
	"fleet":    command(cmdFleet),    // fleet routers=N engines=N runners=N [engine:FLAG=V] [env:NAME=V]
	"account":  command(cmdAccount),  // account NAME RANK TOKENS
	"send":     command(cmdSend),     // send NAME ROUTER ACCOUNT order|chat|stream [key=K] [ref=R] [answer=N] [limit=N] [extra=T]
	"flood":    command(cmdFlood),    // flood PREFIX N ACCOUNT order|chat|stream ROUTER... [answer=N]: PREFIX1 to PREFIXN
	"hangup":   command(cmdHangUp),   // hangup NAME: the caller goes away
	"fenced":   command(cmdFenced),   // fenced ROUTER: it has ended by itself with code 3
	"answered": command(cmdAnswered), // answered PREFIX MIN MAX: so many of a flood were answered whole
	"await":    command(cmdAwait),    // await NAME...: the request has ended
	"tokens":   command(cmdTokens),   // tokens NAME: the caller has part of the answer
	"expect":   command(cmdExpect),   // expect NAME FIELD=VALUE...
	"runs":     command(cmdRuns),     // runs REF N: endpoints ran it so often
	"judge":    command(cmdJudge),    // judge exact|budgets|truthful
	"left":     command(cmdLeft),     // left BUDGET N: the table has so many tokens undrawn
	"crash":    command(cmdCrash),    // crash PROCESS: end it at once
	"start":    command(cmdStart),    // start PROCESS
	"freeze":   command(cmdFreeze),   // freeze PROCESS
	"thaw":     command(cmdThaw),     // thaw PROCESS
	"shutdown": command(cmdShutdown), // shutdown PROCESS: gracefully, and wait for its end
	"leave":    command(cmdLeave),    // leave PROCESS: shut down gracefully, without waiting
	"ended":    command(cmdEnded),    // ended PROCESS: it has ended by itself with code 0
	"cut":      command(cmdCut),      // cut ROUTER peers|platform, cut ENDPOINT
	"heal":     command(cmdHeal),     // heal ROUTER peers|platform, heal ENDPOINT
	"fault":    command(cmdFault),    // fault NAME VALUE
	"runner":   command(cmdRunner),   // runner NAME JSON: change its behaviour
	"listed":   command(cmdListed),   // listed ROUTER...: the platform's list
	"operate":  command(cmdOperate),  // operate ARGS...: the operators' client
	"compete":  command(cmdCompete),  // compete ROUTER ARGS... -- ROUTER ARGS...: two operators at once, one of whom wins
	"prepaid":  command(cmdPrepaid),  // prepaid BUDGET N
	"runsat":   command(cmdRunsAt),   // runsat ENDPOINT REF N
	"lost":     command(cmdLost),     // lost MAX: so many engines ended at most
	"settled":  command(cmdSettled),  // settled: the configuration is the same on all routers
	"row":      command(cmdRow),      // row PREFIX N: so many rows
	"counter":  command(cmdCounter),  // counter ROUTER TEXT: a line of /metrics contains it
	"raw":      command(cmdRaw),      // raw ROUTER ACCOUNT|nobody PATH STATUS CODE BODY: "@large" is 2 MB, "@half" breaks off
	"retrying": command(cmdRetrying), // retrying NAME ROUTER...: send again until answered
}

// command runs f until it succeeds or the time is up when it is a question,
// and reports its failure with the ends of the logs.
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

// options splits NAME=VALUE arguments from the rest.
func options(args []string) ([]string, map[string]string) {
	var rest []string
	named := map[string]string{}
	for _, a := range args {
		if name, value, ok := strings.Cut(a, "="); ok {
			named[name] = value
			continue
		}
		rest = append(rest, a)
	}
	return rest, named
}

func number(text string, otherwise int) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return otherwise
	}
	return n
}

func cmdFleet(f *fleet, args []string) error {
	_, named := options(args)
	var engineArgs, env []string
	for name, value := range named {
		if flag, ok := strings.CutPrefix(name, "engine:"); ok {
			engineArgs = append(engineArgs, "--"+flag, value)
		}
		if variable, ok := strings.CutPrefix(name, "env:"); ok {
			env = append(env, variable+"="+value)
		}
	}
	return f.up(number(named["routers"], 1), number(named["engines"], 0), number(named["runners"], 0), engineArgs, env)
}

func cmdAccount(f *fleet, args []string) error { return f.account(args[0], args[1], args[2]) }

func cmdSend(f *fleet, args []string) error {
	rest, named := options(args)
	r := f.router(rest[1])
	s := &send{
		name: rest[0], account: rest[2], key: named["key"], ref: named["ref"],
		order: rest[3] == "order", stream: rest[3] == "stream",
		done: make(chan struct{}), tokens: make(chan struct{}, 1),
	}
	if s.ref == "" {
		s.ref = s.name
	}
	if s.order {
		s.url = "http://" + r.caller + "/v1/services/orders/orders"
		s.body = `{"ref":` + strconv.Quote(s.ref) + `,"item":"strainer"}`
	} else {
		s.url = "http://" + r.caller + "/v1/chat/completions"
		answer := number(named["answer"], 20)
		s.body = chatBody(s.ref, answer, number(named["limit"], answer), named["extra"], s.stream)
	}
	f.sends[s.name] = s
	go s.run(f.keys[s.account])
	return nil
}

func cmdFlood(f *fleet, args []string) error {
	rest, _ := options(args)
	routers := rest[4:]
	for i := range number(rest[1], 0) {
		one := []string{rest[0] + itoa(i+1), routers[i%len(routers)], rest[2], rest[3]}
		for _, a := range args {
			if strings.Contains(a, "=") {
				one = append(one, a)
			}
		}
		if err := cmdSend(f, one); err != nil {
			return err
		}
	}
	return nil
}

// flooded returns the sends of a flood.
func (f *fleet) flooded(prefix string) []*send {
	var all []*send
	for i := 1; f.sends[prefix+itoa(i)] != nil; i++ {
		all = append(all, f.sends[prefix+itoa(i)])
	}
	return all
}

func cmdAnswered(f *fleet, args []string) error {
	whole := 0
	codes := map[string]int{}
	for _, s := range f.flooded(args[0]) {
		if err := cmdAwait(f, []string{s.name}); err != nil {
			return err
		}
		if s.whole {
			whole++
		} else {
			codes[s.code+s.failure]++
		}
	}
	if whole < number(args[1], 0) || whole > number(args[2], 0) {
		return errors.Errorf("%d of %s answered, not %s to %s; others: %v", whole, args[0], args[1], args[2], codes)
	}
	return nil
}

func cmdHangUp(f *fleet, args []string) error {
	s := f.sends[args[0]]
	s.mu.Lock()
	hangUp := s.hangUp
	s.mu.Unlock()
	hangUp()
	return cmdAwait(f, args)
}

func cmdFenced(f *fleet, args []string) error {
	err := f.processNamed(args[0]).wait(limit)
	var ended *exec.ExitError
	if !errors.As(err, &ended) || ended.ExitCode() != 3 {
		return errors.Errorf("%s is not fenced: %v", args[0], err)
	}
	return nil
}

func cmdAwait(f *fleet, args []string) error {
	for _, name := range args {
		select {
		case <-f.sends[name].done:
		case <-time.After(limit):
			return errors.Errorf("%s has not ended: %s", name, f.sends[name].seen())
		}
	}
	return nil
}

func cmdTokens(f *fleet, args []string) error {
	select {
	case <-f.sends[args[0]].tokens:
		return nil
	case <-f.sends[args[0]].done:
		return errors.Errorf("%s ended: %s", args[0], f.sends[args[0]].seen())
	case <-time.After(limit):
		return errors.Errorf("%s got nothing", args[0])
	}
}

func cmdExpect(f *fleet, args []string) error {
	seen := f.sends[args[0]].seen()
	for _, want := range args[1:] {
		if !strings.Contains(" "+seen, " "+want) {
			return errors.Errorf("%s: want %s, got %s", args[0], want, seen)
		}
	}
	return nil
}

func cmdRuns(f *fleet, args []string) error {
	return until(limit/4, func() error {
		n, err := f.runsOf(args[0])
		if err == nil && n != number(args[1], -1) {
			return errors.Errorf("%s ran %d times, not %s", args[0], n, args[1])
		}
		return err
	})
}

func cmdJudge(f *fleet, args []string) error {
	judges := map[string]func() error{"exact": f.exact, "budgets": f.withinBudgets, "truthful": f.truthful}
	for _, a := range args {
		if err := until(limit/2, judges[a]); err != nil {
			return errors.Wrap(err, a)
		}
	}
	return nil
}

func cmdLeft(f *fleet, args []string) error {
	return until(limit, func() error {
		row, _, err := f.budget(args[0])
		if err != nil {
			return err
		}
		if left := row.Prepaid - row.Drawn + row.Returned; left != int64(number(args[1], -1)) {
			return errors.Errorf("%s: %d left, not %s: %v", args[0], left, args[1], row)
		}
		return nil
	})
}

func cmdRow(f *fleet, args []string) error {
	return until(limit, func() error {
		rows, err := f.rows(args[0])
		if err == nil && len(rows) != number(args[1], -1) {
			return errors.Errorf("%s: %d rows, not %s", args[0], len(rows), args[1])
		}
		return err
	})
}

func cmdCounter(f *fleet, args []string) error {
	return until(limit, func() error {
		out, err := get("http://" + f.router(args[0]).operator + "/metrics")
		if err == nil && !strings.Contains(out, args[1]) {
			return errors.Errorf("%s has no %s:\n%s", args[0], args[1], out)
		}
		return err
	})
}

// cmdRaw sends a body as it is and checks the status and the error's code.
func cmdRaw(f *fleet, args []string) error {
	r := f.router(args[0])
	body := args[5]
	switch body {
	case "@large":
		body = `{"model":"` + strings.Repeat("x", 2<<20) + `"}`
	case "@half":
		return f.halfBody(r, args[2])
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+r.caller+args[2], strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+f.keys[args[1]])
	response, err := plain.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	raw, _ := io.ReadAll(response.Body)
	var a answerBody
	json.Unmarshal(raw, &a)
	if itoa(response.StatusCode) != args[3] || a.Error.Code != args[4] || !a.Error.NotRun {
		return errors.Errorf("status %d: %s", response.StatusCode, raw)
	}
	return nil
}

// halfBody sends less than was announced and goes away.
func (f *fleet) halfBody(r *router, path string) error {
	conn, err := net.Dial("tcp", r.caller)
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n{")
	return err
}

// cmdRetrying repeats a request at the routers in turn, as a caller would,
// until it is answered or told that the outcome is unknown.
func cmdRetrying(f *fleet, args []string) error {
	first := f.sends[args[0]]
	for i := range 10 * len(args[1:]) {
		name := args[0] + "." + itoa(i+1)
		s := &send{
			name: name, account: first.account, key: first.key, ref: first.ref, order: first.order,
			stream: first.stream, body: first.body, done: make(chan struct{}), tokens: make(chan struct{}, 1),
		}
		r := f.router(args[1+i%len(args[1:])])
		_, path, _ := strings.Cut(first.url[len("http://"):], "/")
		s.url = "http://" + r.caller + "/" + path
		f.sends[name] = s
		s.run(f.keys[s.account])
		if s.whole || s.code == "outcomeUnknown" {
			f.sends[args[0]+".last"] = s
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.Errorf("%s was never answered", args[0])
}
