package soak

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"hawthornspar/io/settings"
	"hawthornspar/platform/standin"
	"hawthornspar/standin/link"
)

// SupervisorDir is the directory that the harness shares with the supervisor of
// the daemons. For each VM the supervisor starts a daemon with the settings
// file NAME.conf, writes its process id to NAME.pid, and restarts the daemon when
// it ends. It starts no daemon while NAME.off exists. NAME.log contains the
// daemon's output.
type SupervisorDir interface {
	Write(name, text string) error
	Read(name string) (string, error)
	Remove(name string) error
}

// vm is one VM with the addresses it listens on and its link to the store.
type vm struct {
	name                         string
	listen, ready, control, peer string
	storeLink                    *link.Link // between the VM and the store
	storeAddress                 string     // of storeLink
	seeds                        []string   // control addresses of other VMs
	rewrites                     int        // of the settings file, by Rewrite events
}

// loopbackIP returns a loopback address derived from the process id, so that
// runs at the same time do not use each other's ports.
func loopbackIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 1+pid/octetValues%octetValues, 1+pid%octetValues)
}

// octetValues is the number of values that loopbackIP uses of an octet.
const octetValues = 250

func newVM(name, store string) (*vm, error) {
	v := &vm{name: name}
	for _, p := range []struct {
		network string
		address *string
	}{{"tcp", &v.listen}, {"tcp", &v.ready}, {"tcp", &v.control}, {"udp", &v.peer}} {
		address, err := standin.FreePort(p.network, loopbackIP())
		if err != nil {
			return nil, err
		}
		*p.address = address
	}
	var err error
	v.storeLink, v.storeAddress, err = newLink(store)
	return v, err
}

// newLink starts a link to target and returns it with its own address.
func newLink(target string) (*link.Link, string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, "", errors.Wrap(err, "link")
	}
	k := link.New(target)
	s := &linkServer{link: k, listener: l}
	go s.run()
	return k, l.Addr().String(), nil
}

type linkServer struct {
	link     *link.Link
	listener net.Listener
}

func (s *linkServer) run() { _ = s.link.ServeTCP(s.listener) } // ends with the process

// settings returns the content of the VM's settings file.
func (v *vm) settings() string {
	g := settings.Gateway{
		Name: v.name, FailureDomain: "z", Listen: v.listen, ReadyListen: v.ready, ControlListen: v.control, PeerListen: v.peer, Seeds: v.seeds,
		Store: v.storeAddress, StoreWritesPerSecond: 200, BudgetGroups: 4,
		RetryRatio: retryRatio, RetryExtra: retryExtra, RetryWindow: retryWindow, GracePeriod: gracePeriod, BudgetReportInterval: 500 * time.Millisecond, DrainNotice: maxDrainDelay, Verbosity: 1,
	}
	return fmt.Sprintf("%s# rewritten %d times\n", g.Text(), v.rewrites)
}

// signal sends a signal to the VM's process, and reports whether there was one.
func (v *vm) signal(dir SupervisorDir, s syscall.Signal) bool {
	raw, err := dir.Read(v.name + ".pid")
	if err != nil {
		return false
	}
	pid, err := strconv.Atoi(strings.TrimSpace(raw))
	return err == nil && pid > 1 && syscall.Kill(pid, s) == nil
}
