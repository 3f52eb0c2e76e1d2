package main

import (
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// vm is one machine of the system with its process.
type vm struct {
	name, ip, listen, ready string
	path                    string // of the settings file
	command                 *exec.Cmd
	exited                  chan struct{}
}

// deployment starts machines with the command and the template of the deploy file.
type deployment struct {
	network  string // the first three numbers of all addresses
	dir      string
	store    *store
	record   *recorder
	template string
	seeds    []string

	mu  sync.Mutex
	vms []*vm
}

func newDeployment(network, dir string, s *store) *deployment {
	raw, err := os.ReadFile("deploy/settings.template")
	if err != nil {
		cannotRun(err.Error())
	}
	return &deployment{network: network, dir: dir, store: s, record: s.record, template: string(raw), seeds: []string{network + ".1:8229", network + ".2:8229", network + ".3:8229"}}
}

// add starts a machine. Its settings are those that fleetbench wire shows for a small
// deployment.
func (d *deployment) add(name string, number string) *vm {
	ip := d.network + "." + number
	v := &vm{name: name, ip: ip, listen: ip + ":8227", ready: ip + ":8220", path: filepath.Join(d.dir, name+".conf")}
	text := strings.NewReplacer(
		"{{NodeName}}", name, "{{Zone}}", "zone-a", "{{Listen.Frontend}}", v.listen, "{{Listen.ReadyAddr}}", v.ready,
		"{{Ip}}", ip, "{{Platform.Address}}", d.store.address, "{{Bounds.RetryBudgetRatio}}", "0.2", "{{Bounds.RetryBudgetExtra}}", "56",
		"{{Bounds.BudgetWindowS}}", "10", "{{Bounds.GraceS}}", "8", "{{Bounds.DrainMs}}", "2000", "{{Limits.MemoryMb}}", "284",
		"{{Limits.LinkMbps}}", "1000.0", "{{Platform.PartWritesPerS}}", "200", "{{InternalPortRange.0}}", "7340",
		"{{Listen.ControlPlane}}", ip+":8229", "{{Seeds}}", strings.Join(d.seeds, ","),
	).Replace(d.template)
	if strings.Contains(text, "{{") {
		cannotRun("the template has a placeholder that this stand-in doesn't know")
	}
	if err := os.WriteFile(v.path, []byte(text), 0o600); err != nil {
		cannotRun(err.Error())
	}
	d.mu.Lock()
	d.vms = append(d.vms, v)
	d.mu.Unlock()
	v.start(d)
	return v
}

// start starts the process of a machine.
func (v *vm) start(d *deployment) {
	log, err := os.OpenFile(filepath.Join(d.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun(err.Error())
	}
	c := exec.Command("target/hawthornspard", "gateway")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HAWTHORNSPAR_BOOT=" + v.path, "HAWTHORNSPAR_COLD_OVERRUN=", "HAWTHORNSPAR_COLD_SLACK="}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		cannotRun(err.Error())
	}
	v.command, v.exited = c, make(chan struct{})
	d.record.note("machine %s started, process %d", v.name, c.Process.Pid)
	go func() {
		err := c.Wait()
		log.Close()
		d.record.note("machine %s: process %d ended: %v", v.name, c.Process.Pid, err)
		close(v.exited)
	}()
}

// awaitReady waits until a machine says that it is ready.
func (v *vm) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if v.isReady() {
			return
		}
	}
	cannotRun(v.name + " isn't ready")
}

func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + v.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// stopAll ends all processes that were started.
func (d *deployment) stopAll() {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, v := range d.vms {
		v.command.Process.Kill()
		<-v.exited
	}
}

// freeNetwork returns the first three numbers of loopback addresses whose ports are free.
func freeNetwork() string {
	for n := os.Getpid()%200 + 20; n < 255; n++ {
		network := "127.77." + itoa(n)
		free := true
		for _, port := range []string{"8227", "8220", "8229", "9464"} {
			l, err := net.Listen("tcp4", network+".1:"+port)
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return network
		}
	}
	cannotRun("no free addresses")
	return ""
}
