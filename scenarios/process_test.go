package scenarios

import (
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// process is one program that the scenario started.
type process struct {
	name string
	path string
	args []string
	env  []string
	log  string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	err    error
}

func (p *process) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(p.path, p.args...)
	p.cmd.Env = append(os.Environ(), p.env...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go p.run(p.cmd, p.exited)
	return nil
}

func (p *process) run(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(exited)
}

// signal sends a signal to the process by its id, if it still runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	select {
	case <-p.exited:
	default:
		p.cmd.Process.Signal(s)
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// wait returns the process's end, or an error after the limit.
func (p *process) wait(limit time.Duration) error {
	select {
	case <-p.exited:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.err
	case <-time.After(limit):
		return errors.New(p.name + " still runs")
	}
}

// freePort returns a port that nothing listens on, for TCP and UDP. Ports are
// taken below the range from which the system picks ports of outgoing calls.
var ports = struct {
	sync.Mutex
	next int
}{next: 20_000 + os.Getpid()%1_000*10}

func freePort(ip string) string {
	ports.Lock()
	defer ports.Unlock()
	for {
		ports.next++
		if ports.next >= 32_000 {
			ports.next = 20_000
		}
		address := net.JoinHostPort(ip, itoa(ports.next))
		tcp, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		tcp.Close()
		udp, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		udp.Close()
		return address
	}
}

// until calls probe until it returns nil, and returns its last error after
// the limit.
func until(limit time.Duration, probe func() error) error {
	deadline := time.Now().Add(limit)
	for {
		err := probe()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

var plain = &http.Client{Timeout: 5 * time.Second}

func get(url string) (string, error) {
	response, err := plain.Get(url)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		return string(raw), errors.Errorf("status %d", response.StatusCode)
	}
	return string(raw), err
}

func post(url, body string) (string, error) {
	response, err := plain.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		return string(raw), errors.Errorf("status %d: %s", response.StatusCode, raw)
	}
	return string(raw), err
}

func logTail(p *process) string {
	raw, _ := os.ReadFile(filepath.Clean(p.log))
	lines := strings.Split(string(raw), "\n")
	return strings.Join(lines[max(0, len(lines)-25):], "\n")
}
