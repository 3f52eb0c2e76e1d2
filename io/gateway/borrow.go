package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hawthornspar/core/escrow"
	"hawthornspar/core/home"
	"hawthornspar/io/peer"
)

// Limits of borrowing.
const (
	// storeHeadStart is how long the store has to cover a home VM's shortfall,
	// several of its usual response times, before other home VMs get a
	// request.
	storeHeadStart = 40 * time.Millisecond
	// peerRequestTimeout bounds a request to another VM: its wait for the store
	// and a response inside a region.
	peerRequestTimeout = 150 * time.Millisecond
	// firstRequestTimeout bounds a request that opens the connection. When many
	// VMs start at once, the handshakes of all of them take their time, and those
	// that are given up are begun again.
	firstRequestTimeout = 600 * time.Millisecond
	// maxLenders bounds the VMs that get a loan request for one client request.
	maxLenders = home.HomesPerGroup
	// failedPeerPause is how long a VM gets no requests after one has failed.
	failedPeerPause = 2 * time.Second
	// shortfallPause is how long no loan requests follow after the other VMs
	// did not lend enough, about the time until their allocations are next
	// read.
	shortfallPause = 700 * time.Millisecond
	// preconnectSpread spreads the first connections to home VMs over time, as
	// all VMs may start at once.
	preconnectSpread = 3 * time.Second
)

// shortfall is a number of tokens that the other VMs recently did not lend.
type shortfall struct {
	tokens    int64     // tokens that were requested
	retryAt   time.Time // when another request is worthwhile
	exhausted bool      // a home VM reports that no VM can have so many
	expected  bool      // a home VM reports that it may lend them at retryAt
}

// borrower borrows tokens from other VMs, for one request of an account at a
// time.
type borrower struct {
	gateway      *Gateway
	mu           sync.Mutex
	node         *peer.Node
	inProgress   map[string]bool             // accounts for which a borrowing runs
	failedAt     map[string]time.Time        // by VM name: when it last failed to respond
	preconnected map[string]bool             // addresses to which a connection was opened early
	shortfalls   map[string]shortfall        // by account
	rotations    map[string]*escrow.Rotation // by account; used by its borrowing in progress
}

func newBorrower(g *Gateway) *borrower {
	return &borrower{gateway: g, inProgress: map[string]bool{}, failedAt: map[string]time.Time{}, preconnected: map[string]bool{}, shortfalls: map[string]shortfall{}, rotations: map[string]*escrow.Rotation{}}
}

// setNode sets the transport to other VMs once it is open.
func (b *borrower) setNode(n *peer.Node) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.node = n
}

// transport returns the transport to other VMs; nil while it is not open.
func (b *borrower) transport() *peer.Node {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.node
}

// randomPeer returns the address of a random other VM, one to which a connection
// is open if there is any. It returns false when no other VM is known or the
// transport is not open.
func (b *borrower) randomPeer() (string, bool) {
	node, peers := b.transport(), b.peers()
	if node == nil || len(peers) == 0 {
		return "", false
	}
	connected := slices.DeleteFunc(slices.Clone(peers), func(v home.VM) bool { return !node.Connected(v.Address) })
	if len(connected) > 0 {
		peers = connected
	}
	return peers[rand.IntN(len(peers))].Address, true
}

// peers returns the other VMs.
func (b *borrower) peers() []home.VM {
	var peers []home.VM
	b.gateway.state.mu.Lock()
	defer b.gateway.state.mu.Unlock()
	for _, v := range b.gateway.state.members {
		if v.Name != b.gateway.settings.Name && v.Address != "" {
			peers = append(peers, v)
		}
	}
	return peers
}

// preconnect opens a connection to a home VM before the first request needs it.
func (b *borrower) preconnect(v home.VM) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.preconnected[v.Address] || v.Address == "" {
		return
	}
	b.preconnected[v.Address] = true
	pc := &preconnection{borrower: b, to: v}
	go pc.run()
}

// preconnection opens one connection early.
type preconnection struct {
	borrower *borrower
	to       home.VM
}

// run opens the connection by an empty loan request, after a random delay.
func (pc *preconnection) run() {
	time.Sleep(rand.N(preconnectSpread))
	if _, err := pc.borrower.requestLoan(pc.to, loan{}); err != nil {
		pc.borrower.gateway.log.V(1).Info("cannot pre-connect to home VM", "home", pc.to.Name, "error", err.Error())
	}
}

// startBorrowing starts borrowing for a request, unless a borrowing of the
// account is in progress.
func (b *borrower) startBorrowing(gr *group, account string, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.node == nil || b.inProgress[account] {
		return
	}
	b.inProgress[account] = true
	if b.rotations[account] == nil {
		b.rotations[account] = &escrow.Rotation{}
	}
	bw := &borrowing{borrower: b, rotation: b.rotations[account], group: gr, account: account, tokens: tokens}
	go bw.run()
}

// recentShortfall returns the account's last shortfall and reports whether it
// still applies to a request for that many tokens.
func (b *borrower) recentShortfall(account string, tokens int64) (shortfall, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sf, ok := b.shortfalls[account]
	return sf, ok && tokens >= sf.tokens && time.Now().Before(sf.retryAt)
}

func (b *borrower) setShortfall(account string, sf shortfall) {
	b.mu.Lock()
	b.shortfalls[account] = sf
	b.mu.Unlock()
}

// markFailed excludes a VM that did not respond from requests for a while.
func (b *borrower) markFailed(v home.VM, err error) {
	b.pause(v)
	b.gateway.metrics.Increment("lenders_lost", "noAnswer")
	b.gateway.log.Info("lender lost", "lender", v.Name, "error", err.Error())
}

// pause excludes a VM from requests for a while and closes the connection to it.
func (b *borrower) pause(v home.VM) {
	b.mu.Lock()
	b.failedAt[v.Name] = time.Now()
	b.mu.Unlock()
	b.closeConn(v.Address)
}

// closeConn closes the connection to a VM that did not respond: the VM may have
// been replaced since the connection was opened.
func (b *borrower) closeConn(address string) { b.transport().CloseConn(address) }

// responsive returns the VMs of a list that did not recently fail to respond.
func (b *borrower) responsive(vms []home.VM) []home.VM {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []home.VM
	for _, v := range vms {
		if time.Since(b.failedAt[v.Name]) > failedPeerPause {
			list = append(list, v)
		}
	}
	return list
}

// requestLoan requests a loan from another VM.
func (b *borrower) requestLoan(v home.VM, request loan) (loan, error) {
	var response loan
	err := b.post(v, lendPath, request, &response)
	return response, err
}

// post sends a message to another VM and decodes the response into result.
func (b *borrower) post(v home.VM, path string, message, result any) error {
	node := b.transport()
	if node == nil {
		return errors.WithStack(&NoPeerError{})
	}
	raw, err := json.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "message")
	}
	timeout := peerRequestTimeout
	if !node.Connected(v.Address) {
		timeout = firstRequestTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+v.Address+path, bytes.NewReader(raw))
	if err != nil {
		return errors.Wrap(err, "message")
	}
	response, err := node.RoundTrip(request)
	if err != nil {
		return errors.Wrap(err, "VM")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.WithStack(&StatusError{Status: response.StatusCode})
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxMessageBytes)).Decode(result)
	return errors.Wrap(err, "VM's answer")
}
