package scenarios

import (
	"encoding/json"
	"fmt"
	"net"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	protocol "hawthornspar/io/platform"
	"hawthornspar/standin/link"
)

func itoa(n int) string { return strconv.Itoa(n) }

// fleet is what one scenario runs: routers, endpoints and the platform.
type fleet struct {
	bin, dir  string
	processes []*process
	platform  string
	routers   []*router
	engines   []*place
	runners   []*place
	secret    string
	keys      map[string]string // callers' secrets by "account.rank"
	sends     map[string]*send
	faults    map[string]any
}

// router is one VM of the fleet with its links.
type router struct {
	name, ip, domain       string
	caller, operator, peer string
	platformLink, peerLink *link.Link
	process                *process
}

// place is an endpoint behind a link.
type place struct {
	name, address string
	link          *link.Link
	process       *process
}

func newFleet(bin, dir string) *fleet {
	return &fleet{bin: bin, dir: dir, keys: map[string]string{}, sends: map[string]*send{}, faults: map[string]any{}}
}

func (f *fleet) process(name, program string, args ...string) *process {
	p := &process{name: name, path: filepath.Join(f.bin, program), args: args, log: filepath.Join(f.dir, name+".log")}
	f.processes = append(f.processes, p)
	return p
}

// close ends every process that the scenario started, by its id.
func (f *fleet) close() {
	for _, p := range f.processes {
		if p.cmd != nil {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
	}
}

func (f *fleet) cli(args ...string) (string, error) {
	var entries []string
	for _, r := range f.routers {
		entries = append(entries, "--entry", r.operator)
	}
	cmd := exec.Command(filepath.Join(f.bin, "hawthornspar"), append(append(entries, "--secret", f.secret), args...)...)
	out, err := cmd.CombinedOutput()
	return string(out), errors.Wrap(err, string(out))
}

func newLink(ip, target string) (string, *link.Link, error) {
	address := freePort(ip)
	l := link.New(target)
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, err
	}
	to, _ := net.ResolveUDPAddr("udp", address)
	udp, err := net.ListenUDP("udp", to)
	if err != nil {
		return "", nil, err
	}
	go l.ServeTCP(tcp)
	go l.ServeUDP(udp)
	return address, l, nil
}

// up starts a fleet of so many routers, engines and runners, and sets it up.
func (f *fleet) up(routers, engines, runners int, engineArgs []string, routerEnv []string) error {
	f.platform = freePort("127.0.0.1")
	if err := f.process("platform", "standin", "platform", "--listen", f.platform).start(); err != nil {
		return err
	}
	if err := until(10*time.Second, func() error { _, err := get("http://" + f.platform + "/vms"); return err }); err != nil {
		return err
	}
	for i := range engines {
		if err := f.addPlace(&f.engines, "engine"+itoa(i+1), "engine", engineArgs...); err != nil {
			return err
		}
	}
	for i := range runners {
		if err := f.addPlace(&f.runners, "runner"+itoa(i+1), "runner"); err != nil {
			return err
		}
	}
	if _, err := f.cli("keys", "authority", "--directory", f.dir); err != nil {
		return err
	}
	for i := range routers {
		if err := f.addRouter(i, routerEnv); err != nil {
			return err
		}
	}
	if err := f.listVMs(f.routers); err != nil {
		return err
	}
	for _, r := range f.routers {
		if err := f.ready(r); err != nil {
			return errors.Wrap(err, logTail(r.process))
		}
	}
	return f.configure()
}

func (f *fleet) addPlace(to *[]*place, name, kind string, args ...string) error {
	own := freePort("127.0.0.1")
	address, l, err := newLink("127.0.0.1", own)
	if err != nil {
		return err
	}
	p := f.process(name, "standin", append([]string{kind, "--listen", own}, args...)...)
	*to = append(*to, &place{name: name, address: address, link: l, process: p})
	return p.start()
}

// bootstrap is the secret of the first operator.
const bootstrap = "bootstrap"

func (f *fleet) addRouter(i int, env []string) error {
	domains := []string{"north", "south", "east"}
	r := &router{name: "r" + itoa(i+1), ip: "127.0.1." + itoa(i+1), domain: domains[i%len(domains)]}
	r.caller, r.operator = freePort("127.0.0.1"), freePort("127.0.0.1")
	own := freePort(r.ip)
	var platform string
	var err error
	if platform, r.platformLink, err = newLink("127.0.0.1", f.platform); err != nil {
		return err
	}
	if r.peer, r.peerLink, err = newLink("127.0.0.1", own); err != nil {
		return err
	}
	if _, err := f.cli("keys", "vm", "--directory", f.dir, r.name); err != nil {
		return err
	}
	pem := filepath.Join(f.dir, r.name)
	r.process = f.process(r.name, "hawthornspard",
		"--name", r.name, "--failure-domain", r.domain, "--listen", r.caller, "--operator-listen", r.operator,
		"--peer-listen", own, "--peer-address", r.peer, "--platform", platform, "--verbosity", "1",
		"--authority", filepath.Join(f.dir, "authority.pem"), "--certificate", pem+".pem", "--key", pem+".key",
		"--bootstrap-hash", hashOf(bootstrap), "--list-lag", "1s")
	r.process.env = env
	f.routers = append(f.routers, r)
	return r.process.start()
}

func (f *fleet) ready(r *router) error {
	return until(20*time.Second, func() error { _, err := get("http://" + r.operator + "/readyz"); return err })
}

// listVMs sets the platform's list.
func (f *fleet) listVMs(routers []*router) error {
	list := protocol.VMs{VMs: []protocol.VM{}}
	for _, r := range routers {
		list.VMs = append(list.VMs, protocol.VM{Name: r.name, Address: r.peer, Domain: r.domain})
	}
	raw, _ := json.Marshal(list)
	_, err := post("http://"+f.platform+"/admin/vms", string(raw))
	return err
}

// configure creates ranks, services, endpoints and the accounts of both users.
func (f *fleet) configure() error {
	f.secret = bootstrap
	steps := [][]string{
		{"rank", "put", "--order", "0", "--target", "1800ms", "--worth", "20", "urgent"},
		{"rank", "put", "--order", "1", "--target", "30s", "--worth", "5", "--floor", "15", "normal"},
		{"rank", "put", "--order", "2", "--target", "60s", "--worth", "1", "--floor", "5", "bulk"},
		{"service", "put", "--max-tokens", "4000", "small"},
		{"service", "put", "--kind", "app", "--price", "10", "orders"},
		{"service", "put", "--kind", "app", "--repeatable", "stock"},
	}
	for _, e := range f.engines {
		steps = append(steps, []string{"endpoint", "add", "--service", "small", "--slots", "16", e.name, e.address})
	}
	for _, r := range f.runners {
		steps = append(steps, []string{"endpoint", "add", "--service", "orders", "--service", "stock", "--slots", "8", r.name, r.address})
	}
	for _, s := range steps {
		if _, err := f.cli(s...); err != nil {
			return err
		}
	}
	return f.settled()
}

// settled waits until every running router has the newest configuration.
func (f *fleet) settled() error {
	return until(14*time.Second, func() error {
		out, err := f.cli("query", "vms")
		if err != nil {
			return err
		}
		versions := map[string]bool{}
		lines := strings.Split(strings.TrimSpace(out), "\n")
		for _, line := range lines[1:] {
			if cells := strings.Fields(line); len(cells) > 5 {
				versions[cells[5]] = true
			}
		}
		if len(versions) != 1 || len(lines) != len(f.routers)+1 {
			return errors.New("configuration differs:\n" + out)
		}
		return nil
	})
}

// account creates a client account with a prepaid budget and one key.
func (f *fleet) account(name, rank, tokens string) error {
	out, err := f.cli("account", "create", "--rank", rank, "--tokens", tokens, name)
	if err != nil {
		return err
	}
	_, secret, ok := strings.Cut(out, "secret=")
	if !ok {
		return errors.New("no secret in: " + out)
	}
	f.keys[name] = strings.TrimSpace(secret)
	return f.settled()
}

func (f *fleet) router(name string) *router {
	for _, r := range f.routers {
		if r.name == name {
			return r
		}
	}
	return nil
}

func (f *fleet) place(name string) *place {
	for _, p := range append(append([]*place{}, f.engines...), f.runners...) {
		if p.name == name {
			return p
		}
	}
	return nil
}

func (f *fleet) processNamed(name string) *process {
	for _, p := range f.processes {
		if p.name == name {
			return p
		}
	}
	return nil
}

// cut or heal one router from the other routers, in both directions.
func (f *fleet) cutPeers(name string, cut bool) {
	for _, r := range f.routers {
		if r.name == name {
			r.peerLink.Set(cut)
			continue
		}
		r.peerLink.Deny(f.router(name).ip, cut)
	}
}

// setFault switches one fault of the platform.
func (f *fleet) setFault(name string, value any) error {
	f.faults[name] = value
	raw, _ := json.Marshal(f.faults)
	_, err := post("http://"+f.platform+"/admin/faults", string(raw))
	return err
}

func (f *fleet) rows(prefix string) ([]protocol.Row, error) {
	out, err := post("http://"+f.platform+"/admin/rows", fmt.Sprintf(`{"prefixes":[%q]}`, prefix))
	if err != nil {
		return nil, err
	}
	var rows protocol.Rows
	return rows.Rows, json.Unmarshal([]byte(out), &rows)
}
