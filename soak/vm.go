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
	return fmt.Sprintf(`HAWTHORNSPAR_NAME=%s
HAWTHORNSPAR_FAILURE_DOMAIN=z
HAWTHORNSPAR_LISTEN=%s
HAWTHORNSPAR_READY_LISTEN=%s
HAWTHORNSPAR_CONTROL_LISTEN=%s
HAWTHORNSPAR_PEER_LISTEN=%s
HAWTHORNSPAR_SEEDS=%s
HAWTHORNSPAR_STORE=%s
HAWTHORNSPAR_STORE_WRITES=200
HAWTHORNSPAR_BUDGET_GROUPS=4
HAWTHORNSPAR_RETRY_RATIO=0.2
HAWTHORNSPAR_RETRY_EXTRA=%d
HAWTHORNSPAR_RETRY_WINDOW=10s
HAWTHORNSPAR_GRACE=%s
HAWTHORNSPAR_BUDGET_REPORT=500ms
HAWTHORNSPAR_VERBOSITY=1
# rewritten %d times
`, v.name, v.listen, v.ready, v.control, v.peer, strings.Join(seeds, ","), v.storeAddress, retryExtra, grace, v.rewrites)
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

// startWait is how long a process may take from its start to readiness.
const startWait = 2 * time.Second
