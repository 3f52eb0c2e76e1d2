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

// fleet holds the processes of one scenario, which are VMs, endpoints and the
// platform stand-in, and the requests of its clients.
type fleet struct {
	binDir, workDir string
	processes       []*process
	platformAddress string
	vms             []*vm
	engines         []*endpoint
	runners         []*endpoint
	operatorSecret  string
	apiKeys         map[string]string // secrets by client account
	requests        map[string]*clientRequest
	faults          map[string]any // faults set so far at the platform stand-in
}

// vm is a VM of the fleet with its links.
type vm struct {
	name, ip, domain                            string
	clientAddress, operatorAddress, peerAddress string
	platformLink, peerLink                      *link.Link
	process                                     *process
}

// endpoint is an engine or a runner behind a link.
type endpoint struct {
	name, address string // the address is that of the link
	link          *link.Link
	process       *process
}

func newFleet(binDir, workDir string) *fleet {
	return &fleet{binDir: binDir, workDir: workDir, apiKeys: map[string]string{}, requests: map[string]*clientRequest{}, faults: map[string]any{}}
}

// addProcess adds a process to the fleet without starting it.
func (f *fleet) addProcess(name, program string, args ...string) *process {
	p := &process{name: name, path: filepath.Join(f.binDir, program), args: args, logPath: filepath.Join(f.workDir, name+".log")}
	f.processes = append(f.processes, p)
	return p
}

// close kills the processes that the scenario started.
func (f *fleet) close() {
	for _, p := range f.processes {
		if p.cmd != nil {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
	}
}

// cli runs the operators' client with all VMs as entries and returns its
// output.
func (f *fleet) cli(args ...string) (string, error) {
	var entries []string
	for _, v := range f.vms {
		entries = append(entries, "--entry", v.operatorAddress)
	}
	cmd := exec.Command(filepath.Join(f.binDir, "hawthornspar"), append(append(entries, "--secret", f.operatorSecret), args...)...)
	out, err := cmd.CombinedOutput()
	return string(out), errors.Wrap(err, string(out))
}

// newLink starts a link to target on a free port of ip. It returns the address
// of the link.
func newLink(ip, target string) (string, *link.Link, error) {
	address := freePort(ip)
	l := link.New(target)
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, err
	}
	udpAddress, _ := net.ResolveUDPAddr("udp", address)
	udp, err := net.ListenUDP("udp", udpAddress)
	if err != nil {
		return "", nil, err
	}
	go l.ServeTCP(tcp)
	go l.ServeUDP(udp)
	return address, l, nil
}

// startAll starts the platform stand-in, the endpoints and the VMs, waits
// until all VMs are ready and writes the configuration.
func (f *fleet) startAll(vms, engines, runners int, engineArgs []string, vmEnv []string) error {
	f.platformAddress = freePort("127.0.0.1")
	if err := f.addProcess("platform", "standin", "platform", "--listen", f.platformAddress).start(); err != nil {
		return err
	}
	if err := eventually(10*time.Second, func() error { _, err := get("http://" + f.platformAddress + "/vms"); return err }); err != nil {
		return err
	}
	for i := range engines {
		if err := f.addEndpoint(&f.engines, "engine"+itoa(i+1), "engine", engineArgs...); err != nil {
			return err
		}
	}
	for i := range runners {
		if err := f.addEndpoint(&f.runners, "runner"+itoa(i+1), "runner"); err != nil {
			return err
		}
	}
	if _, err := f.cli("keys", "authority", "--directory", f.workDir); err != nil {
		return err
	}
	for i := range vms {
		if err := f.addVM(i, vmEnv); err != nil {
			return err
		}
	}
	if err := f.listVMs(f.vms); err != nil {
		return err
	}
	for _, v := range f.vms {
		if err := f.awaitReady(v); err != nil {
			return errors.Wrap(err, logTail(v.process))
		}
	}
	return f.configure()
}

// addEndpoint starts an endpoint behind a new link and appends it to list.
// kind is the subcommand of standin that runs it.
func (f *fleet) addEndpoint(list *[]*endpoint, name, kind string, args ...string) error {
	listen := freePort("127.0.0.1")
	address, l, err := newLink("127.0.0.1", listen)
	if err != nil {
		return err
	}
	p := f.addProcess(name, "standin", append([]string{kind, "--listen", listen}, args...)...)
	*list = append(*list, &endpoint{name: name, address: address, link: l, process: p})
	return p.start()
}

// bootstrapSecret is the secret of the first operator.
const bootstrapSecret = "bootstrap"

// addVM creates the certificate of the VM with index i and starts the VM
// behind links to the platform and to its peers.
func (f *fleet) addVM(i int, env []string) error {
	domains := []string{"north", "south", "east"}
	v := &vm{name: "r" + itoa(i+1), ip: "127.0.1." + itoa(i+1), domain: domains[i%len(domains)]}
	v.clientAddress, v.operatorAddress = freePort("127.0.0.1"), freePort("127.0.0.1")
	peerListen := freePort(v.ip)
	var platformAddress string
	var err error
	if platformAddress, v.platformLink, err = newLink("127.0.0.1", f.platformAddress); err != nil {
		return err
	}
	if v.peerAddress, v.peerLink, err = newLink("127.0.0.1", peerListen); err != nil {
		return err
	}
	if _, err := f.cli("keys", "vm", "--directory", f.workDir, v.name); err != nil {
		return err
	}
	basePath := filepath.Join(f.workDir, v.name)
	v.process = f.addProcess(v.name, "hawthornspard",
		"--name", v.name, "--failure-domain", v.domain, "--listen", v.clientAddress, "--operator-listen", v.operatorAddress,
		"--peer-listen", peerListen, "--peer-address", v.peerAddress, "--platform", platformAddress, "--verbosity", "1",
		"--authority", filepath.Join(f.workDir, "authority.pem"), "--certificate", basePath+".pem", "--key", basePath+".key",
		"--bootstrap-hash", sha256Hex(bootstrapSecret), "--list-lag", "1s")
	v.process.env = env
	f.vms = append(f.vms, v)
	return v.process.start()
}

// awaitReady waits until a VM reports that it is ready.
func (f *fleet) awaitReady(v *vm) error {
	return eventually(20*time.Second, func() error { _, err := get("http://" + v.operatorAddress + "/readyz"); return err })
}

// listVMs sets the platform's list of VMs.
func (f *fleet) listVMs(vms []*vm) error {
	list := protocol.VMs{VMs: []protocol.VM{}}
	for _, v := range vms {
		list.VMs = append(list.VMs, protocol.VM{Name: v.name, Address: v.peerAddress, Domain: v.domain})
	}
	raw, _ := json.Marshal(list)
	_, err := post("http://"+f.platformAddress+"/admin/vms", string(raw))
	return err
}

// configure creates the ranks, the services and the endpoints.
func (f *fleet) configure() error {
	f.operatorSecret = bootstrapSecret
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
	return f.awaitSameConfiguration()
}

// awaitSameConfiguration waits until the operators' query lists all VMs of the
// fleet with the same configuration version.
func (f *fleet) awaitSameConfiguration() error {
	return eventually(14*time.Second, func() error {
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
		if len(versions) != 1 || len(lines) != len(f.vms)+1 {
			return errors.New("VMs are missing or have different configurations:\n" + out)
		}
		return nil
	})
}

// createAccount creates a client account with a prepaid budget and an API key,
// and waits until all VMs know it.
func (f *fleet) createAccount(name, rank, tokens string) error {
	out, err := f.cli("account", "create", "--rank", rank, "--tokens", tokens, name)
	if err != nil {
		return err
	}
	_, secret, ok := strings.Cut(out, "secret=")
	if !ok {
		return errors.New("no secret in: " + out)
	}
	f.apiKeys[name] = strings.TrimSpace(secret)
	return f.awaitSameConfiguration()
}

// vm returns the VM with the given name, or nil.
func (f *fleet) vm(name string) *vm {
	for _, v := range f.vms {
		if v.name == name {
			return v
		}
	}
	return nil
}

// endpoint returns the endpoint with the given name, or nil.
func (f *fleet) endpoint(name string) *endpoint {
	for _, e := range append(append([]*endpoint{}, f.engines...), f.runners...) {
		if e.name == name {
			return e
		}
	}
	return nil
}

// processNamed returns the process with the given name, or nil.
func (f *fleet) processNamed(name string) *process {
	for _, p := range f.processes {
		if p.name == name {
			return p
		}
	}
	return nil
}

// setPeersCut cuts one VM off from its peers in both directions, or heals its
// links.
func (f *fleet) setPeersCut(name string, cut bool) {
	for _, v := range f.vms {
		if v.name == name {
			v.peerLink.SetCut(cut)
			continue
		}
		v.peerLink.SetSenderDenied(f.vm(name).ip, cut)
	}
}

// setFault sets one fault of the platform stand-in. It sends the faults set
// before again, which resets a count such as loseAnswers to its full value.
func (f *fleet) setFault(name string, value any) error {
	f.faults[name] = value
	raw, _ := json.Marshal(f.faults)
	_, err := post("http://"+f.platformAddress+"/admin/faults", string(raw))
	return err
}

// rows returns the rows of the platform's table whose keys start with prefix.
func (f *fleet) rows(prefix string) ([]protocol.Row, error) {
	out, err := post("http://"+f.platformAddress+"/admin/rows", fmt.Sprintf(`{"prefixes":[%q]}`, prefix))
	if err != nil {
		return nil, err
	}
	var rows protocol.Rows
	return rows.Rows, json.Unmarshal([]byte(out), &rows)
}
