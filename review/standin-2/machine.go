package main

import (
	"errors"
	"fmt"
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

// machine is one process of the project, started with the command of the deploy file.
type machine struct {
	name                          string
	listen, ready, control, peers string
	settings, log                 string
	command                       *exec.Cmd
	ended                         chan error
}

// program is the command of the deploy file.
const program = "target/hawthornspard"

var (
	folder   string // temporary folder of the case
	started  []*machine
	startsMu sync.Mutex
)

// freePort returns a free address. Its port is below those of outgoing connections.
func freePort(network string) string {
	for port := 20000 + os.Getpid()%300*40; port < 32000; port++ {
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if taken[port] {
			continue
		}
		if network == "udp" {
			c, err := net.ListenPacket("udp4", address)
			if err != nil {
				continue
			}
			c.Close()
		} else {
			l, err := net.Listen("tcp4", address)
			if err != nil {
				continue
			}
			l.Close()
		}
		taken[port] = true
		return address
	}
	must(errors.New("no free port"))
	return ""
}

var taken = map[int]bool{}

// newMachine writes the settings of a machine, as the template of the deploy file does with those of a small
// deployment.
func newMachine(name, zone, storeAddress string, seeds []string, memoryMB int) *machine {
	m := &machine{name: name, listen: freePort("tcp"), ready: freePort("tcp"), control: freePort("tcp"), peers: freePort("udp")}
	m.settings, m.log = filepath.Join(folder, name+".conf"), filepath.Join(folder, name+".log")
	lines := []string{
		"NAME=" + name, "FAILURE_DOMAIN=" + zone, "LISTEN=" + m.listen, "READY_LISTEN=" + m.ready,
		"METRICS_LISTEN=" + freePort("tcp"), "STORE=" + storeAddress, "RETRY_RATIO=0.2", "RETRY_EXTRA=56", "RETRY_WINDOW=10s",
		"GRACE=8s", "DRAIN_NOTICE=2000ms", "BUDGET_REPORT=500ms", "BUDGET_GROUPS=4", fmt.Sprintf("MEMORY_MB=%d", memoryMB),
		"LINK_MBPS=1000.0", "VERBOSITY=1", "STORE_WRITES=200", "PEER_LISTEN=" + m.peers, "CONTROL_LISTEN=" + m.control,
		"SEEDS=" + strings.Join(seeds, ","),
	}
	text := ""
	for _, l := range lines {
		text += "HAWTHORNSPAR_" + l + "\n"
	}
	must(os.WriteFile(m.settings, []byte(text), 0o600))
	return m
}

// start starts the process, with no more of the caller's environment than the platform passes on.
func (m *machine) start() {
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer log.Close()
	m.command = exec.Command(program, "gateway")
	m.command.Env = []string{"HAWTHORNSPAR_BOOT=" + m.settings, "HAWTHORNSPAR_COLD_OVERRUN=", "HAWTHORNSPAR_COLD_SLACK=", "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	m.command.Stdout, m.command.Stderr = log, log
	must(m.command.Start())
	startsMu.Lock()
	started = append(started, m)
	startsMu.Unlock()
	m.ended = make(chan error, 1)
	command, ended := m.command, m.ended
	go func() { ended <- command.Wait() }()
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) { _ = m.command.Process.Signal(s) }

// awaitEnd waits until the process has ended, and reports whether it has in time.
func (m *machine) awaitEnd(limit time.Duration) bool {
	select {
	case err := <-m.ended:
		m.ended <- err
		return true
	case <-time.After(limit):
		return false
	}
}

func (m *machine) isReady() bool {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + m.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until the process says that it is ready.
func (m *machine) awaitReady() {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if m.isReady() {
			return
		}
	}
	must(errors.New(m.name + " is not ready"))
}

// cleanUp ends all processes that the case started.
func cleanUp() {
	startsMu.Lock()
	defer startsMu.Unlock()
	for _, m := range started {
		_ = m.command.Process.Signal(syscall.SIGCONT)
		_ = m.command.Process.Kill()
	}
	if folder != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(folder)
	}
}

// peakMemory returns the line of the kernel on the most memory that the process has had.
func (m *machine) peakMemory() string {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.command.Process.Pid))
	must(err)
	for _, l := range strings.Split(string(raw), "\n") {
		if strings.HasPrefix(l, "VmHWM:") {
			return l
		}
	}
	return "unknown"
}
