package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// vm is the process of one machine.
type vm struct {
	name, ip, listen, ready, control string
	settings                         string // path of the settings file
	command                          *exec.Cmd
}

// freePort returns a port that is free at an address for TCP and UDP.
func freePort(ip string) (int, error) {
	for range 20 {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		u, err := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", ip, port))
		l.Close()
		if err == nil {
			u.Close()
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port at %s", ip)
}

// newVMs prepares machines with the settings that the platform fills into the template
// of the deploy file.
func newVMs(count int, dir, storeAddress string) ([]*vm, error) {
	template, err := os.ReadFile("deploy/settings.template")
	if err != nil {
		return nil, err
	}
	var vms []*vm
	var seeds []string
	peers := map[*vm]int{}
	for i := range count {
		v := &vm{name: fmt.Sprintf("edge-lodz-a-%d", i+1), ip: loopback(10 + i)}
		var ports [4]int
		for n := range ports {
			if ports[n], err = freePort(v.ip); err != nil {
				return nil, err
			}
		}
		address := func(n int) string { return v.ip + ":" + strconv.Itoa(ports[n]) }
		v.listen, v.ready, v.control, peers[v] = address(0), address(1), address(2), ports[3]
		v.settings = filepath.Join(dir, v.name+".conf")
		if len(seeds) < 3 {
			seeds = append(seeds, v.control)
		}
		vms = append(vms, v)
	}
	for _, v := range vms {
		values := map[string]string{
			"NodeName": v.name, "Zone": "lodz-a", "Ip": v.ip, "Listen.Frontend": v.listen, "Listen.ReadyAddr": v.ready, "Listen.ControlPlane": v.control,
			"Platform.Address": storeAddress, "Platform.PartWritesPerS": "200", "InternalPortRange.0": strconv.Itoa(peers[v]), "Seeds": strings.Join(seeds, ","),
			"Bounds.RetryBudgetRatio": "0.2", "Bounds.RetryBudgetExtra": "56", "Bounds.BudgetWindowS": "10", "Bounds.GraceS": "8", "Bounds.DrainMs": "2000",
			"Limits.MemoryMb": "284", "Limits.LinkMbps": "1000.0",
		}
		text := string(template)
		for name, value := range values {
			text = strings.ReplaceAll(text, "{{"+name+"}}", value)
		}
		if strings.Contains(text, "{{") {
			return nil, fmt.Errorf("the settings template has an unknown field: %s", text)
		}
		if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	return vms, nil
}

// start starts the process with the command of the deploy file.
func (v *vm) start(dir string) error {
	log, err := os.OpenFile(filepath.Join(dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	v.command = exec.Command("target/hawthornspard", "gateway")
	v.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HAWTHORNSPAR_BOOT=" + v.settings}
	v.command.Stdout, v.command.Stderr = log, log
	return v.command.Start()
}

func (v *vm) kill() {
	if v.command == nil || v.command.Process == nil {
		return
	}
	_ = v.command.Process.Kill()
	_ = v.command.Wait()
}

// awaitReady waits until the machine is ready.
func (v *vm) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := client.Get("http://" + v.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", v.name)
}
