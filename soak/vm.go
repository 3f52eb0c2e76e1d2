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

// Folder is where the soak and the supervisor of its processes meet. For each
// VM the supervisor starts the daemon with NAME.conf, writes its process id to
// NAME.pid, starts it again when it ends, and starts none while NAME.off exists.
type Folder interface {
	Write(name, text string) error
	Read(name string) (string, error)
	Remove(name string) error
}

// vm is one VM with its link to the store.
type vm struct {
	name                         string
	listen, ready, control, peer string
	store                        *link.Link
	storeAddress                 string
	rewrites                     int
}

// loopback returns an address of loopback that belongs to this run.
func loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 1+pid/blockSize%blockSize, 1+pid%blockSize)
}

// blockSize is the number of values that a part of such an address takes.
const blockSize = 250

func newVM(name, store string) (*vm, error) {
	v := &vm{name: name}
	for _, p := range []struct {
		network string
		address *string
	}{{"tcp", &v.listen}, {"tcp", &v.ready}, {"tcp", &v.control}, {"udp", &v.peer}} {
		address, err := standin.FreePort(p.network, loopback())
		if err != nil {
			return nil, err
		}
		*p.address = address
	}
	var err error
	v.store, v.storeAddress, err = newLink(store)
	return v, err
}

// newLink puts a link in front of a target and returns the link's address.
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

// settings returns the text of the VM's settings file.
func (v *vm) settings(seeds []string) string {
	g := settings.Gateway{
		Name: v.name, Domain: "z", Listen: v.listen, Ready: v.ready, Control: v.control, Peer: v.peer, Seeds: seeds,
		Store: v.storeAddress, StoreWrites: 200, BudgetGroups: 4,
		RetryRatio: retryRatio, RetryExtra: retryExtra, RetryWindow: retryWindow, Grace: grace, Report: 500 * time.Millisecond, Verbosity: 1,
	}
	return fmt.Sprintf("%s# rewritten %d times\n", g.Text(), v.rewrites)
}

// signal sends a signal to the VM's process; false when none runs.
func (v *vm) signal(f Folder, s syscall.Signal) bool {
	raw, err := f.Read(v.name + ".pid")
	if err != nil {
		return false
	}
	pid, err := strconv.Atoi(strings.TrimSpace(raw))
	return err == nil && pid > 1 && syscall.Kill(pid, s) == nil
}
