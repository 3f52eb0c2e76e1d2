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

// StorePeers implements storepath.Peers with the other VMs.
func (g *Gateway) StorePeers() (baseURLs []string, transport http.RoundTripper) {
	node := g.borrower.transport()
	if node == nil {
		return nil, nil
	}
	for _, v := range g.borrower.responsive(g.borrower.peers()) {
		baseURLs = append(baseURLs, peerScheme+v.Address)
	}
	rand.Shuffle(len(baseURLs), func(i, j int) { baseURLs[i], baseURLs[j] = baseURLs[j], baseURLs[i] })
	return baseURLs, node
}
