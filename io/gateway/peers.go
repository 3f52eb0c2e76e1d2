package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"hawthornspar/core/entity"
	"hawthornspar/core/inbox"
	"hawthornspar/io/certificate"
	"hawthornspar/io/peer"
)

// The transport between VMs.
const (
	// certificateLifetime is longer than any VM runs.
	certificateLifetime = 365 * 24 * time.Hour
	// peerIdleTimeout keeps connections to home VMs open over the pauses
	// between a VM's requests.
	peerIdleTimeout = 30 * time.Second
	// authorityKey is the store's key of the fleet's certificate authority.
	authorityKey = "authority"
)

// peerListener opens the transport between VMs once the fleet's certificate
// authority is known.
type peerListener struct{ gateway *Gateway }

func (l *peerListener) run(ctx context.Context) {
	if l.gateway.settings.PeerListen == "" {
		return
	}
	for ctx.Err() == nil {
		node, err := l.listen(ctx)
		if err == nil {
			l.gateway.borrower.setNode(node)
			l.gateway.log.Info("peer transport open", "address", l.gateway.settings.PeerListen)
			return
		}
		l.gateway.log.Info("peer transport not open", "error", err.Error())
		sleep(ctx, jitter(failurePause))
	}
}

func (l *peerListener) listen(ctx context.Context) (*peer.Node, error) {
	g := l.gateway
	authority, err := l.authority(ctx)
	if err != nil {
		return nil, err
	}
	own, err := certificate.IssueVM(authority, g.settings.Name, time.Now(), certificateLifetime)
	if err != nil {
		return nil, err
	}
	tlsConfig, err := certificate.MutualTLS(authority.Certificate, own)
	if err != nil {
		return nil, err
	}
	self := entity.VM{Name: g.settings.Name, Incarnation: g.settings.Incarnation, Address: g.settings.PeerListen, Domain: g.settings.FailureDomain}
	return peer.Listen(self, g.settings.PeerListen, tlsConfig, http.HandlerFunc(g.servePeer), func(inbox.Event) {}, g.log, peer.WithIdleTimeout(peerIdleTimeout))
}

// authority returns the fleet's certificate authority: from the store, or from
// another VM that has sent it meanwhile.
func (l *peerListener) authority(ctx context.Context) (certificate.Pair, error) {
	minted, err := certificate.NewAuthority(time.Now(), certificateLifetime)
	if err != nil {
		return certificate.Pair{}, err
	}
	raw, err := json.Marshal(minted)
	if err != nil {
		return certificate.Pair{}, errors.Wrap(err, "authority")
	}
	raw, err = l.gateway.store.Shared(ctx, authorityKey, raw)
	if known := l.gateway.authority.Load(); known != nil {
		return *known, nil
	}
	if err != nil {
		return certificate.Pair{}, err
	}
	var shared certificate.Pair
	if err := json.Unmarshal(raw, &shared); err != nil {
		return certificate.Pair{}, errors.Wrap(err, "authority")
	}
	l.gateway.authority.Store(&shared)
	return shared, nil
}
