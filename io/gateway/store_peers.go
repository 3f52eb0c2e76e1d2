package gateway

import (
	"math/rand/v2"
	"net/http"
	"strings"
)

// peerScheme begins the URLs of other VMs.
const peerScheme = "https://"

// StorePeerLost implements storepath.Peers.
func (g *Gateway) StorePeerLost(baseURL string) {
	address := strings.TrimPrefix(baseURL, peerScheme)
	for _, v := range g.borrower.peers() {
		if v.Address == address {
			g.borrower.pause(v)
		}
	}
}

// StorePeers implements storepath.Peers with the other VMs to which a connection
// is open, and one other: a new connection costs both VMs a handshake, and in an
// outage of the store all VMs would open many of them in vain.
func (g *Gateway) StorePeers() (baseURLs []string, transport http.RoundTripper) {
	node := g.borrower.transport()
	if node == nil {
		return nil, nil
	}
	peers := g.borrower.responsive(g.borrower.peers())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	other := ""
	for _, v := range peers {
		if node.Connected(v.Address) {
			baseURLs = append(baseURLs, peerScheme+v.Address)
		} else {
			other = peerScheme + v.Address
		}
	}
	if other != "" {
		baseURLs = append(baseURLs, other)
	}
	return baseURLs, node
}
