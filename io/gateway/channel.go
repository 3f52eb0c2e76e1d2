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

const (
	// certificateLife is longer than any VM runs.
	certificateLife = 365 * 24 * time.Hour
	// homeIdle keeps connections to homes over the pauses of a VM's requests.
	homeIdle = 30 * time.Second
	// authorityKey names the fleet's certificate authority in the store.
	authorityKey = "authority"
)

// peerOpener opens the channel between VMs once the store has the fleet's keys.
type peerOpener struct{ gateway *Gateway }

func (o *peerOpener) run(ctx context.Context) {
	if o.gateway.settings.Peer == "" {
		return
	}
	for ctx.Err() == nil {
		node, err := o.open(ctx)
		if err == nil {
			o.gateway.borrower.use(node)
			o.gateway.log.Info("peers open", "address", o.gateway.settings.Peer)
			return
		}
		o.gateway.log.Info("peers not open", "error", err.Error())
		sleep(ctx, jitter(failPause))
	}
}

func (o *peerOpener) open(ctx context.Context) (*peer.Node, error) {
	g := o.gateway
	authority, err := o.authority(ctx)
	if err != nil {
		return nil, err
	}
	own, err := certificate.NewVM(authority, g.settings.Name, time.Now(), certificateLife)
	if err != nil {
		return nil, err
	}
	mutual, err := certificate.Mutual(authority.Certificate, own)
	if err != nil {
		return nil, err
	}
	self := entity.VM{Name: g.settings.Name, Incarnation: g.settings.Incarnation, Address: g.settings.Peer, Domain: g.settings.Domain}
	return peer.Listen(self, g.settings.Peer, mutual, http.HandlerFunc(g.servePeer), func(inbox.Event) {}, g.log, peer.WithIdle(homeIdle))
}

// authority returns the fleet's certificate authority: from the store, or from
// another VM that told it meanwhile.
func (o *peerOpener) authority(ctx context.Context) (certificate.Pair, error) {
	mine, err := certificate.NewAuthority(time.Now(), certificateLife)
	if err != nil {
		return certificate.Pair{}, err
	}
	raw, err := json.Marshal(mine)
	if err != nil {
		return certificate.Pair{}, errors.Wrap(err, "authority")
	}
	raw, err = o.gateway.store.Shared(ctx, authorityKey, raw)
	if known := o.gateway.authority.Load(); known != nil {
		return *known, nil
	}
	if err != nil {
		return certificate.Pair{}, err
	}
	var shared certificate.Pair
	if err := json.Unmarshal(raw, &shared); err != nil {
		return certificate.Pair{}, errors.Wrap(err, "authority")
	}
	o.gateway.authority.Store(&shared)
	return shared, nil
}
