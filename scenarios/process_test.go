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

// process is a program of the fleet. It can be started again after it has
// exited.
type process struct {
	name    string
	path    string
	args    []string
	env     []string // added to the environment of the test
	logPath string   // file that the output of all runs is appended to

	mu     sync.Mutex
	cmd    *exec.Cmd     // latest run; nil before the first one
	exited chan struct{} // closed when the latest run has exited
	err    error         // result of the run that exited last
}

// start runs the program without waiting for it.
func (p *process) start() error {
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
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

// run waits until the program has exited, stores its result and closes exited.
func (p *process) run(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(exited)
}

// signal sends a signal to the process if it is running.
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

// kill ends the process with SIGKILL and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// wait waits until the process has exited and returns the result of
// exec.Cmd.Wait. It returns an error if the process still runs after timeout.
func (p *process) wait(timeout time.Duration) error {
	select {
	case <-p.exited:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.err
	case <-time.After(timeout):
		return errors.New(p.name + " is still running")
	}
}

// portAllocator allocates ports below the range from which the system picks
// the ports of outgoing connections. The first port depends on the process id.
var portAllocator = struct {
	sync.Mutex
	next int
}{next: 20_000 + os.Getpid()%1_000*10}

// freePort returns an address on ip whose port is free for TCP and UDP.
func freePort(ip string) string {
	portAllocator.Lock()
	defer portAllocator.Unlock()
	for {
		portAllocator.next++
		if portAllocator.next >= 32_000 {
			portAllocator.next = 20_000
		}
		address := net.JoinHostPort(ip, itoa(portAllocator.next))
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

// eventually calls probe until it returns nil. After timeout it returns the
// last error.
func eventually(timeout time.Duration, probe func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := probe()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// httpClient sends the requests that are not part of a client's traffic.
var httpClient = &http.Client{Timeout: 5 * time.Second}

// get returns the body of a response and an error unless its status is 200.
func get(url string) (string, error) {
	response, err := httpClient.Get(url)
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

// post sends a JSON body. It returns the body of the response and an error
// unless its status is 200.
func post(url, body string) (string, error) {
	response, err := httpClient.Post(url, "application/json", strings.NewReader(body))
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

// logTail returns the last lines of a process's log file.
func logTail(p *process) string {
	raw, _ := os.ReadFile(filepath.Clean(p.logPath))
	lines := strings.Split(string(raw), "\n")
	return strings.Join(lines[max(0, len(lines)-25):], "\n")
}
