package loadexchange

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// directoryTTL is how long the index of endpoint ids is used. Indexing hundreds of
// ids for each message would cost a collector more than the message itself.
const directoryTTL = 500 * time.Millisecond

// hashOf returns the number that stands for an endpoint id in messages.
func hashOf(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// directory finds known endpoint ids by their hashes.
type directory struct {
	ids     func() []string // ids of all known endpoints
	mu      sync.Mutex
	byHash  map[uint32]string
	indexed time.Time // when byHash was made
}

// index returns the known ids by hash. Ids that share a hash are missing. The
// caller must not change the map.
func (d *directory) index() map[uint32]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byHash == nil || time.Since(d.indexed) > directoryTTL {
		d.byHash, d.indexed = indexByHash(d.ids()), time.Now()
	}
	return d.byHash
}

// indexByHash returns ids by hash, without those that share one.
func indexByHash(ids []string) map[uint32]string {
	byHash := make(map[uint32]string, len(ids))
	shared := map[uint32]bool{}
	for _, id := range ids {
		h := hashOf(id)
		if _, taken := byHash[h]; taken {
			shared[h] = true
		}
		byHash[h] = id
	}
	for h := range shared {
		delete(byHash, h)
	}
	return byHash
}
